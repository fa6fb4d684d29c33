// Simulates a burst of statements of the lowest priority against one group of servers, and
// compares how many statements of each priority are answered in time with priority order and
// with first come, first served.
//
// The load is the burst of a heavy day: 2.5 times the usual rate of the lowest priority for
// six seconds, on three servers of five slots.
#include "simulated_slots.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/dispatch/wait_queue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::dispatch;

namespace {

constexpr std::size_t slots = 15;
constexpr duration load_duration = 14s;
constexpr duration burst_begin = 3s;
constexpr duration burst_end = 9s;
constexpr double burst_factor = 2.5;

/// Service time, arrival rate and target latency of the statements of one priority.
struct priority_load {
    duration mean_service_time;
    double per_second;
    duration target_latency;
};

constexpr std::array<priority_load, 3> loads{
    {{30ms, 27.0, 800ms}, {90ms, 27.0, 1200ms}, {52ms, 126.0, 3s}}};

struct item : queued_statement {
    std::size_t load_index{0};
};

/// Returns the share of the statements of each priority that were answered within the target
/// latency.
std::array<double, loads.size()> simulate(bool by_priority, std::uint64_t seed)
{
    random_source random{seed};
    std::vector<std::unique_ptr<item>> all;
    for (std::size_t load_index = 0; load_index < loads.size(); ++load_index) {
        duration at{0};
        while (at < load_duration) {
            const bool burst = load_index == 2 && at >= burst_begin && at < burst_end;
            const double rate = loads.at(load_index).per_second * (burst ? burst_factor : 1.0);
            at += random.exponential(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>{1.0 / rate}));
            auto statement = std::make_unique<item>();
            statement->load_index = load_index;
            statement->priority = by_priority ? static_cast<std::uint32_t>(load_index) : 0;
            statement->arrived = time_point{at};
            all.push_back(std::move(statement));
        }
    }
    std::sort(all.begin(), all.end(),
              [](const auto& left, const auto& right) { return left->arrived < right->arrived; });
    std::array<std::size_t, loads.size()> arrived_count{};
    std::array<std::size_t, loads.size()> in_time{};
    test::simulated_slots servers{slots};
    wait_queue queue;
    const auto start_next = [&](time_point now) {
        queue.visit([&](queued_statement& first) {
            queue.remove(first);
            const item& chosen = static_cast<item&>(first);
            const time_point end =
                now + random.exponential(loads.at(chosen.load_index).mean_service_time);
            servers.occupy(end);
            in_time.at(chosen.load_index) +=
                end - chosen.arrived <= loads.at(chosen.load_index).target_latency ? 1 : 0;
            return false;
        });
    };
    for (const auto& statement : all) {
        servers.advance_to(statement->arrived, start_next);
        ++arrived_count.at(statement->load_index);
        queue.push(*statement);
        if (servers.has_free()) {
            start_next(statement->arrived);
        }
    }
    servers.advance_to(time_point::max(), start_next);
    std::array<double, loads.size()> shares{};
    for (std::size_t load_index = 0; load_index < loads.size(); ++load_index) {
        shares.at(load_index) = static_cast<double>(in_time.at(load_index)) /
                                static_cast<double>(arrived_count.at(load_index));
    }
    return shares;
}

} // namespace

TEST_CASE("urgent statements meet their target latency through a burst of the least urgent")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const auto by_priority = simulate(true, seed);
        const auto by_arrival = simulate(false, seed);
        CHECK(by_priority[0] >= 0.95);
        CHECK(by_priority[1] >= 0.95);
        CHECK(by_priority[0] > by_arrival[0]);
    }
}
