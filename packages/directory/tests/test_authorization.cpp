#include "gypsumstep/directory/authorization.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::directory;

namespace {

accounts::key_digest digest(std::uint8_t value)
{
    accounts::key_digest made;
    made.bytes.back() = value;
    return made;
}

configuration with_account()
{
    configuration made;
    made.accounts.emplace();
    made.accounts->add({"north", 1, 10, 10, {digest(1)}});
    return made;
}

} // namespace

// Guards against clients without a valid key that get in.
TEST_CASE("Only the key of an account opens a route that is not public", "[directory]")
{
    route used;
    CHECK(authorize(with_account(), used, digest(1), true) == authorization{true, "north"});
    CHECK_FALSE(authorize(with_account(), used, digest(2), true).granted);
    CHECK_FALSE(authorize(with_account(), used, std::nullopt, true).granted);
    CHECK_FALSE(authorize(with_account(), used, std::nullopt, false).granted);
    CHECK_FALSE(authorize(configuration{}, used, digest(1), true).granted);
    used.is_public = true;
    CHECK(authorize(with_account(), used, digest(2), true) == authorization{true, ""});
    CHECK(authorize(with_account(), used, digest(1), true) == authorization{true, "north"});
}

// Guards against deployments without accounts that start to refuse their clients.
TEST_CASE("Without accounts any key is accepted", "[directory]")
{
    CHECK(authorize(configuration{}, route{}, digest(1), false) == authorization{true, ""});
    CHECK(authorize(configuration{}, route{}, std::nullopt, false) == authorization{true, ""});
}
