#include "draft.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumstep::fleet::detail {

namespace {

constexpr std::size_t smallest_safe_group = 3;

/// Remembers names and endpoints to find those used twice.
struct used_names {
    std::set<std::string> servers;
    std::set<std::pair<std::string, std::uint16_t>> endpoints;
};

void check_server(const server_draft& one, const document_draft& draft, used_names& used,
                  findings& problems)
{
    if (!draft.domains.contains(one.domain_name)) {
        problems.push_back({one.domain_place, one.path + "/domain", "unknown domain"});
    }
    if (!used.servers.insert(one.values.name).second) {
        problems.push_back({one.place, one.path, "another group has a server of this name"});
    }
    if (!used.endpoints.insert({one.values.address, one.values.port}).second) {
        problems.push_back({one.place, one.path, "another server has this address and port"});
    }
    if (one.values.slots > one.values.connections) {
        problems.push_back({one.place, one.path, "slots must not exceed connections"});
    }
}

void check_size(const group_draft& one, findings& problems)
{
    const std::size_t size = one.servers.size();
    if (size == 0) {
        problems.push_back({one.place, one.path + "/servers", "a group needs a server"});
        return;
    }
    if (size < smallest_safe_group) {
        problems.push_back({one.place, one.path + "/servers",
                            "fewer than 3 servers: no failure leaves a majority",
                            severity::warning});
    }
    else if (size % 2 == 0) {
        problems.push_back({one.place, one.path + "/servers",
                            "an even number of servers bears no more failures than one fewer",
                            severity::warning});
    }
}

void check_spread(const group_draft& one, const document_draft& draft, findings& problems)
{
    std::set<std::string> domains;
    for (const auto& server : one.servers) {
        domains.insert(server.domain_name);
    }
    if (one.servers.size() > 1 && domains.size() == 1 && draft.domains.size() > 1) {
        problems.push_back({one.place, one.path + "/servers",
                            "all servers stand in one failure domain", severity::warning});
    }
}

} // namespace

void check(const document_draft& draft, findings& problems)
{
    used_names used;
    for (const auto& [name, one] : draft.groups) {
        check_size(one, problems);
        check_spread(one, draft, problems);
        for (const auto& server : one.servers) {
            check_server(server, draft, used, problems);
        }
    }
    double floors = 0.0;
    for (const auto& target : draft.ranks) {
        floors += target.slot_floor;
    }
    if (floors >= 1.0) {
        problems.push_back(
            {draft.ranks_place, "/ranks", "the slot floors must sum to less than 1"});
    }
}

} // namespace gypsumstep::fleet::detail
