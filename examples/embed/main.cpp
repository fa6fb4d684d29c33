// Embeds gypsumstep's decisions without its daemon: reads a configuration, asks which daemons
// are the homes of a server, and where a read should run.
#include "gypsumstep/fleet/parse.h"
#include "gypsumstep/homes/home_map.h"
#include "gypsumstep/routing/choose_server.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <variant>

namespace {

using namespace gypsumstep;

constexpr std::uint32_t loopback = 0x7F000001; // 127.0.0.1

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
    request.seen = seen;
    return routing::choose_server(view, request, now);
}

bool show_homes(const fleet::document& configuration)
{
    homes::home_map map{configuration};
    std::uint16_t port = 6433;
    for (const fleet::domain& domain : configuration.domains) {
        map.add({loopback, port++}, domain.id);
        map.add({loopback, port++}, domain.id);
    }
    bool has_all = true;
    for (const fleet::server& server : configuration.servers) {
        const auto homes = map.homes_of(server.id);
        has_all = has_all && homes.first && homes.second;
        std::cout << server.name << " has " << (homes.second ? "two homes" : "too few homes")
                  << "\n";
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
