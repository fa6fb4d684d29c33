#include "draft.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumstep::fleet::detail {

namespace {

constexpr std::size_t min_majority_group_size = 3;

/// Names and endpoints of the servers checked so far, to find duplicates.
struct used_names {
    std::set<std::string> servers;
    std::set<std::pair<std::string, std::uint16_t>> endpoints;
};

void check_server(const server_draft& server, const document_draft& draft, used_names& used,
                  findings& problems)
{
    if (!draft.domains.contains(server.domain_name)) {
        problems.push_back({server.domain_place, server.path + "/domain", "unknown domain"});
    }
    if (!used.servers.insert(server.values.name).second) {
        problems.push_back({server.place, server.path, "another group has a server of this name"});
    }
    if (!used.endpoints.insert({server.values.address, server.values.port}).second) {
        problems.push_back({server.place, server.path, "another server has this address and port"});
    }
    if (server.values.slots > server.values.connections) {
        problems.push_back({server.place, server.path, "slots must not exceed connections"});
    }
}

void check_group_size(const group_draft& group, findings& problems)
{
    const std::size_t size = group.servers.size();
    if (size == 0) {
        problems.push_back({group.place, group.path + "/servers", "a group needs a server"});
        return;
    }
    if (size < min_majority_group_size) {
        problems.push_back({group.place, group.path + "/servers",
                            "fewer than 3 servers: no failure leaves a majority",
                            severity::warning});
    }
    else if (size % 2 == 0) {
        problems.push_back({group.place, group.path + "/servers",
                            "an even number of servers bears no more failures than one fewer",
                            severity::warning});
    }
}

void check_failure_domains(const group_draft& group, const document_draft& draft,
                           findings& problems)
{
    std::set<std::string> domains;
    for (const auto& server : group.servers) {
        domains.insert(server.domain_name);
    }
    if (group.servers.size() > 1 && domains.size() == 1 && draft.domains.size() > 1) {
        problems.push_back({group.place, group.path + "/servers",
                            "all servers stand in one failure domain", severity::warning});
    }
}

} // namespace

void check(const document_draft& draft, findings& problems)
{
    used_names used;
    for (const auto& [name, group] : draft.groups) {
        check_group_size(group, problems);
        check_failure_domains(group, draft, problems);
        for (const auto& server : group.servers) {
            check_server(server, draft, used, problems);
        }
    }
    double slot_floor_sum = 0.0;
    for (const auto& target : draft.ranks) {
        slot_floor_sum += target.slot_floor;
    }
    if (slot_floor_sum >= 1.0) {
        problems.push_back(
            {draft.ranks_place, "/ranks", "the slot floors must sum to less than 1"});
    }
}

} // namespace gypsumstep::fleet::detail
