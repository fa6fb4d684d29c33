#include "fault_run.h"

#include "gossip_fleet.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace gypsumstep::experiments {
namespace {

using namespace membership; // NOLINT: this file is about nothing else
using membership::test::address_of;
using membership::test::gossip_fleet;

constexpr std::uint16_t domains = 19;
constexpr std::uint32_t cut_domain = 1;
constexpr std::uint32_t deaths = 5;
constexpr duration settle_time = 20s;
constexpr duration death_time = 30s;
constexpr duration cut_time = 600s;
constexpr duration heal_time = 300s;
constexpr duration join_time = 600s;

double seconds_since(const gossip_fleet& fleet, time_point start)
{
    return std::chrono::duration<double>(fleet.now() - start).count();
}

bool is_inside(std::uint32_t number)
{
    return number % domains == cut_domain;
}

void measure_deaths(gossip_fleet& fleet, std::uint32_t members, fault_result& result)
{
    for (std::uint32_t death = 0; death < deaths; ++death) {
        // Members of different domains, none of them of the domain to be cut.
        const std::uint32_t victim = 2 + death;
        const time_point start = fleet.now();
        std::uint32_t told = 0;
        fleet.observe([&](std::uint32_t member, const action& item) {
            const auto* change = std::get_if<member_changed>(&item);
            if (change == nullptr || change->record.address != address_of(victim) ||
                change->record.status != member_status::dead) {
                return;
            }
            told += 1;
            const double elapsed = seconds_since(fleet, start);
            result.dead_everywhere = std::max(result.dead_everywhere, elapsed);
            if (member % domains == victim % domains) {
                result.dead_own_domain = std::max(result.dead_own_domain, elapsed);
            }
        });
        fleet.kill(victim);
        fleet.run_for(death_time);
        if (told < members - 1 - death) {
            result.dead_everywhere = std::chrono::duration<double>(death_time).count();
        }
    }
}

void measure_cut(gossip_fleet& fleet, std::uint32_t members, fault_result& result)
{
    time_point start = fleet.now();
    std::vector<double> noticed;
    std::vector<double> healed;
    fleet.observe([&](std::uint32_t member, const action& item) {
        const auto* change = std::get_if<member_changed>(&item);
        result.cut_deaths +=
            change != nullptr && change->record.status == member_status::dead ? 1 : 0;
        const auto* link = std::get_if<domain_changed>(&item);
        if (link != nullptr && link->domain == domain_id{cut_domain} && !is_inside(member)) {
            (link->reachable ? healed : noticed).push_back(seconds_since(fleet, start));
        }
    });
    fleet.partition(is_inside);
    fleet.run_for(cut_time);
    std::uint32_t outside = 0;
    for (std::uint32_t number = 0; number < members; ++number) {
        outside += fleet.alive(number) && !is_inside(number) ? 1 : 0;
    }
    const double never = std::chrono::duration<double>(cut_time).count();
    noticed.resize(std::max<std::size_t>(noticed.size(), outside), never);
    std::ranges::sort(noticed);
    result.cut_median = noticed[noticed.size() / 2];
    result.cut_worst = noticed.back();
    start = fleet.now();
    fleet.network().heal_all();
    fleet.run_for(heal_time);
    result.heal_worst = healed.empty() ? 0 : *std::ranges::max_element(healed);
}

void measure_join(gossip_fleet& fleet, std::uint32_t members, fault_result& result)
{
    const time_point start = fleet.now();
    fleet.observe([&](std::uint32_t member, const action& item) {
        const auto* progress = std::get_if<snapshot_progressed>(&item);
        if (member != members || progress == nullptr) {
            return;
        }
        if (result.join_own_domain == 0) {
            result.join_own_domain = seconds_since(fleet, start);
        }
        if (progress->stage == snapshot_stage::complete) {
            result.join_complete = seconds_since(fleet, start);
            const auto bytes = static_cast<double>(fleet.core(members).counters().bytes_in);
            result.join_bytes_in = bytes / result.join_complete;
        }
    });
    fleet.start(members, 1, {address_of(0)});
    fleet.run_for(join_time);
}

} // namespace

fault_result run_faults(std::uint32_t members, double loss, std::uint64_t seed)
{
    const sim::link_conditions conditions{.delay_low = 500us, .delay_high = 20ms, .loss = loss};
    gossip_fleet fleet{seed, domains, conditions};
    fleet.start_joined(members);
    fleet.run_for(settle_time);
    fault_result result;
    measure_deaths(fleet, members, result);
    measure_cut(fleet, members, result);
    measure_join(fleet, members, result);
    return result;
}

} // namespace gypsumstep::experiments
