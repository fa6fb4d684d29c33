// Tests of a server's grant register.
#include "gypsumstep/failover/grant_register.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::failover;

namespace {

constexpr claim_id mine{daemon_id{1}, 1};
constexpr claim_id other{daemon_id{2}, 1};
constexpr log_position end{term{1}, 9};

} // namespace

TEST_CASE("a term is granted once, to one claim, also after a restart")
{
    grant_register reg;
    CHECK(reg.grant(term{2}, mine));
    CHECK(reg.grant(term{2}, mine));
    CHECK_FALSE(reg.grant(term{2}, other));
    CHECK_FALSE(reg.grant(term{1}, other));
    grant_register restarted{reg.record()};
    CHECK_FALSE(restarted.grant(term{2}, other));
    CHECK(restarted.grant(term{3}, other));
}

TEST_CASE("entries of lower terms are refused and those of higher terms take the term")
{
    grant_register reg;
    CHECK(reg.grant(term{2}, mine));
    CHECK_FALSE(reg.accept_entry(term{1}));
    CHECK(reg.accept_entry(term{2}));
    CHECK(reg.accept_entry(term{3}));
    CHECK_FALSE(reg.grant(term{3}, mine));
}

TEST_CASE("a promotion needs the term and the position, and may be repeated")
{
    grant_register reg;
    CHECK(reg.promote(term{2}, mine, end, {term{1}, 10}) == promotion_answer::behind);
    CHECK(reg.highest() == term{});
    CHECK(reg.promote(term{2}, mine, end, end) == promotion_answer::promoted);
    CHECK(reg.promote(term{2}, mine, end, end) == promotion_answer::promoted);
    CHECK(reg.promote(term{2}, other, end, end) == promotion_answer::refused);
    CHECK(reg.grant(term{3}, other));
    CHECK(reg.promote(term{2}, mine, end, end) == promotion_answer::refused);
}
