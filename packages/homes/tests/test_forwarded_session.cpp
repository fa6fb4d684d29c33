// Tests of ending a forwarded session truthfully.
#include "gypsumstep/homes/forwarded_session.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::homes;
using statement::error_class;
using statement::transaction_state;
using statement::verb;

namespace {

const time_point start{100s};

statement::statement make(verb kind, const std::string& name = {},
                          statement::access prepared = statement::access::read)
{
    statement::statement made;
    made.kind = kind;
    made.name = name;
    made.prepared_access = prepared;
    return made;
}

error_class lost(const forwarded_session& session)
{
    const auto answer = session.answer_for_lost_home();
    return answer ? answer->error : error_class::none;
}

} // namespace

TEST_CASE("an idle session owes no answer")
{
    const forwarded_session session;
    CHECK(session.is_idle());
    CHECK_FALSE(session.answer_for_lost_home());
}

TEST_CASE("a read keeps nothing, a write may have run")
{
    forwarded_session reader;
    reader.on_statement(make(verb::read), start);
    CHECK(lost(reader) == error_class::aborted);
    CHECK(reader.oldest_wait(start + 2s) == 2s);

    forwarded_session writer;
    writer.on_statement(make(verb::write), start);
    CHECK(lost(writer) == error_class::outcome_unknown);
}

TEST_CASE("a write inside a transaction keeps nothing without its commit")
{
    forwarded_session session;
    session.on_statement(make(verb::begin), start);
    session.on_answer(transaction_state::open);
    CHECK_FALSE(session.is_idle());
    session.on_statement(make(verb::write), start);
    CHECK(lost(session) == error_class::aborted);
    session.on_answer(transaction_state::open);
    session.on_statement(make(verb::commit), start);
    CHECK(lost(session) == error_class::outcome_unknown);
    session.on_answer(transaction_state::idle);
    CHECK(session.is_idle());
}

TEST_CASE("a commit of a transaction that only read keeps nothing")
{
    forwarded_session session;
    session.on_statement(make(verb::begin), start);
    session.on_answer(transaction_state::open);
    session.on_statement(make(verb::read), start);
    session.on_answer(transaction_state::open);
    session.on_statement(make(verb::commit), start);
    CHECK(lost(session) == error_class::aborted);
}

TEST_CASE("a prepared statement is a write unless it was prepared to read")
{
    forwarded_session session;
    session.on_statement(make(verb::prepare, "r"), start);
    session.on_answer(transaction_state::idle);
    session.on_statement(make(verb::execute, "r"), start);
    CHECK(lost(session) == error_class::aborted);
    session.on_answer(transaction_state::idle);
    session.on_statement(make(verb::execute, "other"), start);
    CHECK(lost(session) == error_class::outcome_unknown);
}
