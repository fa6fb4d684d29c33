#include "draft.h"
#include "gypsumstep/fleet/parse.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace gypsumstep::fleet {

namespace {

using nlohmann::json;

std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json server_json(const server& one, const document& owner)
{
    return {{"address", one.address},
            {"port", one.port},
            {"domain", owner.domains.at(one.failure_domain.value()).name},
            {"slots", one.slots},
            {"connections", one.connections},
            {"connect_ms", milliseconds(one.connect_time)},
            {"leaving", one.leaving}};
}

json group_json(const group& one, const document& owner)
{
    json servers = json::object();
    for (const server_id id : one.servers) {
        const server& member = owner.servers.at(id.value());
        servers[member.name] = server_json(member, owner);
    }
    return {{"service", one.service}, {"automation", one.automation}, {"servers", servers}};
}

json rank_json(const rank_target& target)
{
    return {{"target_ms", milliseconds(target.latency)},
            {"objective", target.objective},
            {"slot_floor", target.slot_floor},
            {"queue_limit", target.queue_limit}};
}

} // namespace

json to_json(const document& value)
{
    json domains = json::object();
    for (const domain& one : value.domains) {
        domains[one.name] = {{"region", one.region}};
    }
    json groups = json::object();
    for (const group& one : value.groups) {
        groups[one.name] = group_json(one, value);
    }
    json ranks = json::object();
    for (const rank one : all_ranks) {
        ranks[detail::rank_names.at(index_of(one))] = rank_json(value.ranks.at(index_of(one)));
    }
    return {{"version", value.version.value()},
            {"domains", domains},
            {"groups", groups},
            {"ranks", ranks}};
}

} // namespace gypsumstep::fleet
