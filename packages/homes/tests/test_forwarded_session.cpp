// Tests of the answer to the client of a forwarded session whose home is lost.
#include "gypsumstep/homes/forwarded_session.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::homes;
using statement::error_class;
using statement::transaction_state;
using statement::verb;

namespace {

const time_point start{100s};

statement::statement make_statement(verb kind, const std::string& name = {},
                                    statement::access prepared = statement::access::read)
{
    statement::statement result;
    result.kind = kind;
    result.name = name;
    result.prepared_access = prepared;
    return result;
}

error_class error_for_lost_home(const forwarded_session& session)
{
    const auto answer = session.answer_for_lost_home();
    return answer ? answer->error : error_class::none;
}

} // namespace

TEST_CASE("an idle session gets no answer when its home is lost")
{
    const forwarded_session session;
    CHECK(session.is_idle());
    CHECK_FALSE(session.answer_for_lost_home());
}

TEST_CASE("a lost read has no effect, a lost write may have run")
{
    forwarded_session reader;
    reader.on_statement(make_statement(verb::read), start);
    CHECK(error_for_lost_home(reader) == error_class::aborted);
    CHECK(reader.oldest_wait(start + 2s) == 2s);

    forwarded_session writer;
    writer.on_statement(make_statement(verb::write), start);
    CHECK(error_for_lost_home(writer) == error_class::outcome_unknown);
}

TEST_CASE("a write in a transaction has no effect until the commit is sent")
{
    forwarded_session session;
    session.on_statement(make_statement(verb::begin), start);
    session.on_answer(transaction_state::open);
    CHECK_FALSE(session.is_idle());
    session.on_statement(make_statement(verb::write), start);
    CHECK(error_for_lost_home(session) == error_class::aborted);
    session.on_answer(transaction_state::open);
    session.on_statement(make_statement(verb::commit), start);
    CHECK(error_for_lost_home(session) == error_class::outcome_unknown);
    session.on_answer(transaction_state::idle);
    CHECK(session.is_idle());
}

TEST_CASE("a commit of a transaction that only read has no effect")
{
    forwarded_session session;
    session.on_statement(make_statement(verb::begin), start);
    session.on_answer(transaction_state::open);
    session.on_statement(make_statement(verb::read), start);
    session.on_answer(transaction_state::open);
    session.on_statement(make_statement(verb::commit), start);
    CHECK(error_for_lost_home(session) == error_class::aborted);
}

TEST_CASE("a prepared statement counts as a write unless it was prepared as a read")
{
    forwarded_session session;
    session.on_statement(make_statement(verb::prepare, "r"), start);
    session.on_answer(transaction_state::idle);
    session.on_statement(make_statement(verb::execute, "r"), start);
    CHECK(error_for_lost_home(session) == error_class::aborted);
    session.on_answer(transaction_state::idle);
    session.on_statement(make_statement(verb::execute, "other"), start);
    CHECK(error_for_lost_home(session) == error_class::outcome_unknown);
}
