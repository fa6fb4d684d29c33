// Tests of applying configurations to the route table.
#include "gypsumstep/directory/route_table.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::directory;

namespace {

configuration make_configuration(std::uint64_t version, const std::string& database)
{
    configuration result;
    result.version = config_version{version};
    route entry;
    entry.database = database;
    entry.service = "ledger";
    entry.max_staleness = 1500ms;
    result.routes.push_back(entry);
    return result;
}

} // namespace

TEST_CASE("an older configuration is never applied")
{
    route_table table;
    CHECK_FALSE(table.loaded());
    CHECK(table.apply(make_configuration(7, "orders")));
    CHECK_FALSE(table.apply(make_configuration(6, "old")));
    CHECK_FALSE(table.apply(make_configuration(7, "same")));
    CHECK(table.find("orders") != nullptr);
    CHECK(table.find("old") == nullptr);
    CHECK(table.max_staleness() == 1500ms);
}

TEST_CASE("a removed route is gone with the version that removed it")
{
    route_table table;
    table.apply(make_configuration(7, "orders"));
    table.apply(make_configuration(12, "drawings"));
    CHECK(table.find("orders") == nullptr);
    CHECK(table.find("drawings") != nullptr);
}
