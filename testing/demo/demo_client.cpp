// Sets up one group on the stand-ins, writes an order through one daemon and
// reads it back through another with its session token.
#include "pg_client.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, backends, "", "comma-separated ADDRESS:PORT of the three servers");
ABSL_FLAG(std::string, daemons, "", "comma-separated ADDRESS:PORT; empty: only start the group");
// NOLINTEND

namespace {

using namespace gypsumstep::demo;

void start_group(const std::vector<place>& backends)
{
    bool granted = true;
    for (const place& each : backends) {
        granted = granted &&
                  connect_when_up(each, "").run("SELECT group_grant(1, 1, 1)").find("granted") !=
                      std::string::npos;
    }
    step(granted, "three backend servers granted term 1");
    const std::string status = client{backends[0], ""}.run("SELECT group_promote(1, 1, 1, '0/0')");
    step(status.find("promoted") != std::string::npos, "the first server is primary of term 1");
    const std::string from =
        "'" + backends[0].address + "', " + std::to_string(backends[0].port + 1);
    for (std::size_t i = 1; i < backends.size(); ++i) {
        client follower{backends[i], ""};
        (void)follower.run("SELECT group_set_lag_ms(300)");
        step(follower.run("SELECT group_follow(1, " + from + ", 'ledger-1-a')").find("following") !=
                 std::string::npos,
             "server " + std::to_string(i + 1) + " replicates from it, 300 ms behind");
    }
}

void write_and_read(const std::vector<place>& daemons)
{
    client writer = connect_when_up(daemons[0], "-c gypsumstep.rank=urgent");
    step(writer.connected(), "a client connected to the first daemon");
    const std::string created = writer.run("CREATE TABLE orders (id TEXT PRIMARY KEY, item TEXT)");
    step(created == "CREATE", "created the table of orders: " + created);
    step(writer.run("SET gypsumstep.request_key = 'order-17'") == "SET",
         "named the write order-17");
    const std::string written =
        writer.run("INSERT INTO orders VALUES ($1, $2)", {"17", "garden gate"});
    step(written == "INSERT 0 1", "wrote order 17, held by a majority: " + written);
    const std::string token = writer.token();
    step(!token.empty(), "the session token is " + token);
    const std::string again =
        writer.run("INSERT INTO orders VALUES ($1, $2)", {"17", "garden gate"});
    step(again.find("already run") != std::string::npos, "sent again, it was not run twice");

    for (std::size_t i = 1; i < daemons.size(); ++i) {
        client reader =
            connect_when_up(daemons[i], "-c gypsumstep.mode=read -c gypsumstep.session=" + token);
        const std::string item = reader.run("SELECT item FROM orders WHERE id = $1", {"17"});
        step(item == "garden gate",
             "read it back at once through daemon " + std::to_string(i + 1) + ": " + item);
    }
    client reader = connect_when_up(daemons[1], "-c gypsumstep.mode=read -c gypsumstep.session=x");
    step(!reader.connected(), "a malformed token is refused");
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_daemons).empty()) {
        start_group(parse_places(absl::GetFlag(FLAGS_backends)));
        return 0;
    }
    write_and_read(parse_places(absl::GetFlag(FLAGS_daemons)));
    return 0;
}
