#include "gypsumstep/routing/choose_server.h"

#include <algorithm>

namespace gypsumstep::routing {
namespace {

bool was_tried(const route_request& request, server_id id)
{
    return std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
}

bool is_usable(const server_view& server, const route_request& request)
{
    return server.reachable && !server.leaving && !was_tried(request, server.id);
}

bool satisfies_token(const server_view& server, const route_request& request)
{
    return !request.session_position || server.applied >= *request.session_position;
}

bool satisfies_age(const server_view& server, const route_request& request, time_point now)
{
    const auto& max_age = request.declared.max_age;
    return !max_age || now - server.current_at <= *max_age;
}

std::optional<chosen_server> choose_primary(const group_view& group, const route_request& request)
{
    for (const server_view& server : group.servers) {
        if (server.id == group.primary && server.reachable && !was_tried(request, server.id)) {
            return chosen_server{server.id, true};
        }
    }
    return std::nullopt;
}

std::optional<chosen_server> choose_replica(const group_view& group, const route_request& request,
                                            time_point now)
{
    // Without a session position or a declared age, nothing limits how old an answer may be.
    if (!request.session_position && !request.declared.max_age) {
        return std::nullopt;
    }
    const server_view* best = nullptr;
    for (const server_view& server : group.servers) {
        const bool eligible = server.id != group.primary && is_usable(server, request) &&
                              satisfies_token(server, request) &&
                              satisfies_age(server, request, now);
        if (eligible && (best == nullptr || server.expected_wait < best->expected_wait)) {
            best = &server;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{chosen_server{best->id, false}};
}

} // namespace

route choose_server(const group_view& group, const route_request& request, time_point now)
{
    if (request.declared.mode == session::access_mode::read) {
        if (const auto replica = choose_replica(group, request, now)) {
            return *replica;
        }
        if (const auto primary = choose_primary(group, request)) {
            return *primary;
        }
        return route_refusal::no_fresh_server;
    }
    if (const auto primary = choose_primary(group, request)) {
        return *primary;
    }
    return route_refusal::no_primary;
}

} // namespace gypsumstep::routing
