#include "spread_run.h"

#include "allocation_counter.h"
#include "gossip_fleet.h"

#include <algorithm>
#include <vector>

namespace gypsumstep::experiments {
namespace {

using namespace membership; // NOLINT: this file is about nothing else
using membership::test::gossip_fleet;

constexpr std::uint16_t domains = 19;

/// 12,000 changes a day.
constexpr duration change_period = 7'200ms;

constexpr std::size_t config_body_bytes = 250;
constexpr duration settle_time = 20s;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// When each member received the current payload.
struct arrivals {
    std::uint64_t version{0};
    time_point published;
    std::vector<double> seconds;
    double suspicions{0};

    void note(const action& item, time_point now)
    {
        if (const auto* arrived = std::get_if<payload_received>(&item)) {
            if (arrived->value.version == version) {
                seconds.push_back(to_seconds(now - published));
            }
        }
        if (const auto* change = std::get_if<member_changed>(&item)) {
            suspicions += change->record.status == member_status::suspect ? 1 : 0;
        }
    }
};

} // namespace

spread_result run_spread(std::uint32_t members, double loss, int rounds, std::uint64_t seed)
{
    const std::size_t heap_before = heap_bytes();
    const sim::link_conditions conditions{.delay_low = 500us, .delay_high = 20ms, .loss = loss};
    gossip_fleet fleet{seed, domains, conditions};
    fleet.start_joined(members);
    fleet.run_for(settle_time);
    spread_result result;
    result.state_bytes = static_cast<double>(heap_bytes() - heap_before) / members;

    arrivals seen;
    fleet.observe([&](std::uint32_t, const action& item) { seen.note(item, fleet.now()); });
    std::vector<std::uint64_t> bytes_before;
    std::uint64_t messages_before = 0;
    for (std::uint32_t number = 0; number < members; ++number) {
        bytes_before.push_back(fleet.core(number).counters().bytes_out);
        messages_before += fleet.core(number).counters().messages_out;
    }
    random_source random{seed};
    std::vector<double> medians;
    const time_point start = fleet.now();
    for (int round = 0; round < rounds; ++round) {
        seen.version += 1;
        seen.published = fleet.now();
        seen.seconds.clear();
        const payload change{"config/head", seen.version, payload_retention::latest,
                             std::string(config_body_bytes, 'c')};
        fleet.give(static_cast<std::uint32_t>(random.below(members)), publish{change});
        fleet.run_for(change_period);
        std::ranges::sort(seen.seconds);
        medians.push_back(seen.seconds[seen.seconds.size() / 2]);
        result.worst_seconds = std::max(result.worst_seconds, seen.seconds.back());
        result.unreached += static_cast<double>(members - 1 - seen.seconds.size());
    }
    std::ranges::sort(medians);
    result.median_seconds = medians[medians.size() / 2];
    result.false_suspicions = seen.suspicions;
    const double elapsed = to_seconds(fleet.now() - start);
    std::uint64_t messages = 0;
    for (std::uint32_t number = 0; number < members; ++number) {
        const traffic& counters = fleet.core(number).counters();
        const double sent =
            static_cast<double>(counters.bytes_out - bytes_before[number]) / elapsed;
        result.bytes_out += sent / members;
        result.worst_bytes_out = std::max(result.worst_bytes_out, sent);
        messages += counters.messages_out;
    }
    result.messages_out = static_cast<double>(messages - messages_before) / elapsed / members;
    return result;
}

} // namespace gypsumstep::experiments
