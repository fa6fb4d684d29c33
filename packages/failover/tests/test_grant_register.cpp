// Tests of the grant register of a backend server.
#include "gypsumstep/failover/grant_register.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::failover;

namespace {

constexpr claim_id first_claim{daemon_id{1}, 1};
constexpr claim_id second_claim{daemon_id{2}, 1};
constexpr log_position log_end{term{1}, 9};

} // namespace

TEST_CASE("a term is granted once, to one claim, also after a restart")
{
    grant_register reg;
    CHECK(reg.grant(term{2}, first_claim));
    CHECK(reg.grant(term{2}, first_claim));
    CHECK_FALSE(reg.grant(term{2}, second_claim));
    CHECK_FALSE(reg.grant(term{1}, second_claim));
    grant_register restarted{reg.record()};
    CHECK_FALSE(restarted.grant(term{2}, second_claim));
    CHECK(restarted.grant(term{3}, second_claim));
}

TEST_CASE("entries of lower terms are refused and entries of a higher term use up that term")
{
    grant_register reg;
    CHECK(reg.grant(term{2}, first_claim));
    CHECK_FALSE(reg.accept_entry(term{1}));
    CHECK(reg.accept_entry(term{2}));
    CHECK(reg.accept_entry(term{3}));
    CHECK_FALSE(reg.grant(term{3}, first_claim));
}

TEST_CASE("a promotion requires the term and the position, and may be repeated")
{
    grant_register reg;
    CHECK(reg.promote(term{2}, first_claim, log_end, {term{1}, 10}) == promotion_answer::behind);
    CHECK(reg.highest() == term{});
    CHECK(reg.promote(term{2}, first_claim, log_end, log_end) == promotion_answer::promoted);
    CHECK(reg.promote(term{2}, first_claim, log_end, log_end) == promotion_answer::promoted);
    CHECK(reg.promote(term{2}, second_claim, log_end, log_end) == promotion_answer::refused);
    CHECK(reg.grant(term{3}, second_claim));
    CHECK(reg.promote(term{2}, first_claim, log_end, log_end) == promotion_answer::refused);
}
