// Embeds gypsumstep's decisions without its daemon: reads a configuration, asks which daemons
// serve a group, and where a read should run.
#include "gypsumstep/fleet/parse.h"
#include "gypsumstep/homes/home_table.h"
#include "gypsumstep/routing/choose_server.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <variant>
#include <vector>

namespace {

using namespace gypsumstep;

/// A group whose first server is primary; the replicas have applied less.
routing::group_view make_view(const fleet::group& group, time_point now)
{
    routing::group_view view;
    view.id = group.id;
    view.current_term = term{1};
    view.primary = group.servers.front();
    std::uint64_t applied = 100;
    for (const server_id id : group.servers) {
        routing::server_view server;
        server.id = id;
        server.applied = {term{1}, applied};
        server.current_at = now;
        server.reachable = true;
        view.servers.push_back(server);
        applied -= 10;
    }
    return view;
}

/// The server that a read of a session at \p seen runs on.
routing::route route_read(const routing::group_view& view, log_position seen, time_point now)
{
    routing::route_request request;
    request.declared.mode = session::access_mode::read;
    request.session_position = seen;
    return routing::choose_server(view, request, now);
}

/// With room for two daemons at each server, two of six serve a group.
bool show_homes(const fleet::document& configuration)
{
    std::vector<homes::daemon_entry> daemons;
    for (const fleet::domain& domain : configuration.domains) {
        for (const char* place : {"-1", "-2"}) {
            daemons.push_back({domain.name + place, domain.name, "127.0.0.1", 6433});
        }
    }
    homes::home_table table{daemons.front().name, daemons.front().domain, {}};
    table.set_daemons(daemons);
    const std::uint32_t room = 2 * homes::home_table::connections_per_home;
    bool has_all = true;
    for (const fleet::group& group : configuration.groups) {
        const auto chosen = table.homes_of(group.name, room);
        has_all = has_all && chosen.size() == 2;
        std::cout << group.name << " is served by " << chosen.size() << " of " << daemons.size()
                  << " daemons\n";
    }
    return has_all;
}

bool show_routes(const fleet::document& configuration)
{
    const time_point now{1s};
    const auto view = make_view(configuration.groups.front(), now);
    const auto fresh = route_read(view, {term{1}, 95}, now);
    const auto old = route_read(view, {term{1}, 50}, now);
    const auto* at_primary = std::get_if<routing::chosen_server>(&fresh);
    const auto* at_replica = std::get_if<routing::chosen_server>(&old);
    if (at_primary == nullptr || at_replica == nullptr) {
        return false;
    }
    std::cout << "a session ahead of the replicas reads from "
              << (at_primary->is_primary ? "the primary" : "a replica") << "\n"
              << "a session behind them reads from "
              << (at_replica->is_primary ? "the primary" : "a replica") << "\n";
    return at_primary->is_primary && !at_replica->is_primary;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: embed CONFIGURATION\n";
        return EXIT_FAILURE;
    }
    std::ifstream file{argv[1]};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    const auto loaded = fleet::parse(text, argv[1]);
    for (const finding& one : loaded.problems) {
        std::cerr << to_string(one) << "\n";
    }
    if (!loaded.has_value()) {
        return EXIT_FAILURE;
    }
    const bool has_homes = show_homes(*loaded.value);
    const bool has_routes = show_routes(*loaded.value);
    return has_homes && has_routes ? EXIT_SUCCESS : EXIT_FAILURE;
}
