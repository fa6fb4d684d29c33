// Tests of reads that leave their region because its server has too much work.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

namespace {

/// A replica in the daemon's own region that takes 150 ms for a read, and a primary and a replica
/// in another one that take 100 and 50 ms. The daemon has measured all of them.
class two_regions {
public:
    explicit two_regions(duration target)
    {
        world.servers["far"];
        world.target = target;
        world.script =
            [this](const received_command& received) -> std::optional<statement::answer> {
            if (received.command.kind == command_kind::forward) {
                world.now += response_times.at(received.server);
            }
            return std::nullopt;
        };
        world.configure();
        list({"r", "far"});
        client = world.connect("bounded");
        read(40);
        list({"r"});
        read(40);
        list({"far"});
        read(12);
        list({});
        world.log.clear();
        world.decisions.clear();
    }

    void list(std::set<std::string> draining)
    {
        world.draining = std::move(draining);
        std::vector<directory::server_entry> listing;
        for (const auto* const name : {"p", "r", "far"}) {
            directory::server_entry entry = world.entry_of(name);
            entry.domain = entry.name == "r" ? "a" : "b";
            listing.push_back(entry);
        }
        world.proxy_under_test().on_servers(listing, world.now);
        world.advance_time(100ms);
    }

    void read(int count)
    {
        for (int i = 0; i < count; ++i) {
            REQUIRE(world.ask(client, harness::read()));
        }
    }

    std::size_t reads_at(const std::string& server) const
    {
        return world.commands(command_kind::forward, server).size();
    }

    std::size_t decisions(const std::string& message) const
    {
        return static_cast<std::size_t>(
            std::count_if(world.decisions.begin(), world.decisions.end(),
                          [&](const auto& decision) { return decision.message == message; }));
    }

    harness world;
    std::map<std::string, duration> response_times{{"p", 100ms}, {"far", 50ms}, {"r", 150ms}};
    session_id client;
};

} // namespace

// Load: the own server is slower than the hop and its price, yet within the target.
TEST_CASE("reads stay in their region while they meet their target there")
{
    two_regions regions{2s};
    regions.read(10);
    CHECK(regions.reads_at("r") == 10);
    CHECK(regions.decisions("sending reads to another region") == 0);
}

TEST_CASE("reads without a target latency leave by the fixed penalties, as before")
{
    two_regions regions{0s};
    regions.read(10);
    CHECK(regions.reads_at("far") == 10);
    CHECK(regions.decisions("sending reads to another region") == 0);
}

// Load: the own server takes a quarter of the target and more.
TEST_CASE("reads leave their region when its server takes too much of the target")
{
    two_regions regions{400ms};
    regions.read(10);
    CHECK(regions.reads_at("far") == 10);
    CHECK(regions.decisions("sending reads to another region") == 1);
    regions.world.advance_time(5s);
    CHECK(regions.decisions("reads stay in their region again") == 1);
}

// Failure: reads that leave must not be older than allowed.
TEST_CASE("a read leaves only for a server that has the position it needs")
{
    two_regions regions{400ms};
    const session_id writer = regions.world.connect("own");
    REQUIRE(regions.world.ask(writer, harness::write())->ok());
    const log_position own_commit = regions.world.servers["p"].position;
    regions.world.servers["r"].position = own_commit;
    const auto answer = regions.world.ask(writer, harness::read());
    REQUIRE(answer);
    CHECK(answer->signature != "sig-far");
    for (const auto& sent : regions.world.commands(command_kind::forward, "far")) {
        CHECK(*sent.command.min_position >= own_commit);
    }
}
