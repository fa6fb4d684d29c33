#include "homes_load.h"

#include "allocation_counter.h"
#include "gypsumstep/homes/home_map.h"
#include "gypsumstep/homes/share_ledger.h"

#include <algorithm>
#include <string>

namespace gypsumstep::experiments {
namespace {

using namespace homes; // NOLINT: this file is about nothing else

constexpr std::uint32_t servers_per_group = 3;
constexpr std::uint32_t regions = 6;
constexpr server_limits limits{30, 5};

fleet::document make_document(std::uint32_t servers, std::uint16_t domains)
{
    fleet::document result;
    for (std::uint16_t id = 0; id < domains; ++id) {
        result.domains.push_back({domain_id{id}, "d", std::to_string(id % regions)});
    }
    for (std::uint32_t id = 0; id < servers; ++id) {
        fleet::server item;
        item.id = server_id{id};
        item.group = group_id{id / servers_per_group};
        item.failure_domain = domain_id{static_cast<std::uint16_t>(id % domains)};
        if (id % servers_per_group == 0) {
            result.groups.push_back({item.group, "g", "s", {}, true});
        }
        result.groups.back().servers.push_back(item.id);
        result.servers.push_back(item);
    }
    return result;
}

endpoint daemon(std::uint32_t number)
{
    return {0x0A000000U + number, 7400};
}

} // namespace

home_map_cost run_home_map(std::uint32_t servers, std::uint32_t daemons, std::uint16_t domains)
{
    const fleet::document document = make_document(servers, domains);
    const auto domain_of = [&](std::uint32_t number) {
        return domain_id{static_cast<std::uint16_t>(number % domains)};
    };
    home_map_cost cost;
    const std::size_t heap_before = heap_bytes();
    double start = processor_seconds();
    home_map map{document};
    for (std::uint32_t number = 0; number < daemons; ++number) {
        map.add(daemon(number), domain_of(number));
    }
    cost.build_milliseconds = (processor_seconds() - start) * 1e3;
    cost.state_bytes = static_cast<double>(heap_bytes() - heap_before);
    constexpr std::uint32_t rounds = 200;
    std::size_t moved = 0;
    start = processor_seconds();
    for (std::uint32_t round = 0; round < rounds; ++round) {
        const std::uint32_t number = (round * 7919) % daemons;
        moved += map.remove(daemon(number)).size();
        moved += map.add(daemon(number), domain_of(number)).size();
    }
    cost.change_microseconds = (processor_seconds() - start) * 1e6 / (2.0 * rounds);
    cost.servers_moved = static_cast<double>(moved) / (2.0 * rounds);
    for (std::uint32_t number = 0; number < daemons; ++number) {
        const auto homed = static_cast<double>(map.servers_of(daemon(number)).size());
        cost.homed_by_busiest = std::max(cost.homed_by_busiest, homed);
    }
    return cost;
}

ledger_cost run_share_ledger(std::uint32_t servers)
{
    ledger_cost cost;
    const std::size_t heap_before = heap_bytes();
    share_ledger ledger{{}, random_source{1}};
    double start = processor_seconds();
    for (std::uint32_t id = 0; id < servers; ++id) {
        const server_id server{id};
        static_cast<void>(ledger.step(duty_changed{server, home_duty::sole, {}, limits}, {}));
        for (std::uint32_t opened = 0; opened < limits.connections; ++opened) {
            static_cast<void>(ledger.step(connect_finished{server, connect_outcome::opened}, {}));
        }
    }
    cost.take_over_microseconds = (processor_seconds() - start) * 1e6;
    cost.state_bytes = static_cast<double>(heap_bytes() - heap_before);
    constexpr std::uint32_t statements = 200'000;
    start = processor_seconds();
    for (std::uint32_t statement = 0; statement < statements; ++statement) {
        const server_id server{statement % servers};
        if (ledger.start_statement(server)) {
            static_cast<void>(ledger.step(statement_finished{server}, {}));
        }
    }
    cost.statement_nanoseconds = (processor_seconds() - start) * 1e9 / statements;
    return cost;
}

} // namespace gypsumstep::experiments
