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

json server_json(const server& source, const document& configuration)
{
    return {{"address", source.address},
            {"port", source.port},
            {"domain", configuration.domains.at(source.failure_domain.value()).name},
            {"slots", source.slots},
            {"connections", source.connections},
            {"connect_ms", milliseconds(source.connect_time)},
            {"leaving", source.leaving}};
}

json group_json(const group& source, const document& configuration)
{
    json servers = json::object();
    for (const server_id id : source.servers) {
        const server& member = configuration.servers.at(id.value());
        servers[member.name] = server_json(member, configuration);
    }
    return {{"service", source.service}, {"automation", source.automation}, {"servers", servers}};
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
    for (const domain& source : value.domains) {
        domains[source.name] = {{"region", source.region}};
    }
    json groups = json::object();
    for (const group& source : value.groups) {
        groups[source.name] = group_json(source, value);
    }
    json ranks = json::object();
    for (const rank level : all_ranks) {
        ranks[detail::rank_names.at(index_of(level))] = rank_json(value.ranks.at(index_of(level)));
    }
    return {{"version", value.version.value()},
            {"domains", domains},
            {"groups", groups},
            {"ranks", ranks}};
}

} // namespace gypsumstep::fleet
