// Plays a burst of the least urgent statements against one group of servers and checks what
// callers of each priority get, with the queue's order and first come, first served.
//
// The load is the burst of a heavy day: 2.5 times the usual rate of the lowest priority for
// six seconds, on three servers of five slots.
#include "played_slots.h"

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
constexpr duration day = 14s;
constexpr duration burst_begin = 3s;
constexpr duration burst_end = 9s;
constexpr double burst_factor = 2.5;

/// Work, rate and aim of one priority.
struct kind {
    duration work;
    double per_second;
    duration aim;
};

constexpr std::array<kind, 3> kinds{{{30ms, 27.0, 800ms}, {90ms, 27.0, 1200ms}, {52ms, 126.0, 3s}}};

struct item : queued_statement {
    std::size_t which{0};
};

/// Share of each priority that was answered within its aim.
std::array<double, kinds.size()> play(bool by_priority, std::uint64_t seed)
{
    random_source random{seed};
    std::vector<std::unique_ptr<item>> all;
    for (std::size_t which = 0; which < kinds.size(); ++which) {
        duration at{0};
        while (at < day) {
            const bool burst = which == 2 && at >= burst_begin && at < burst_end;
            const double rate = kinds.at(which).per_second * (burst ? burst_factor : 1.0);
            at += random.exponential(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>{1.0 / rate}));
            auto made = std::make_unique<item>();
            made->which = which;
            made->priority = by_priority ? static_cast<std::uint32_t>(which) : 0;
            made->arrived = time_point{at};
            all.push_back(std::move(made));
        }
    }
    std::sort(all.begin(), all.end(),
              [](const auto& left, const auto& right) { return left->arrived < right->arrived; });
    std::array<std::size_t, kinds.size()> asked{};
    std::array<std::size_t, kinds.size()> in_aim{};
    test::played_slots servers{slots};
    wait_queue queue;
    const auto start_next = [&](time_point now) {
        queue.visit([&](queued_statement& first) {
            queue.remove(first);
            const item& chosen = static_cast<item&>(first);
            const time_point end = now + random.exponential(kinds.at(chosen.which).work);
            servers.occupy(end);
            in_aim.at(chosen.which) += end - chosen.arrived <= kinds.at(chosen.which).aim ? 1 : 0;
            return false;
        });
    };
    for (const auto& each : all) {
        servers.pass_until(each->arrived, start_next);
        ++asked.at(each->which);
        queue.push(*each);
        if (servers.has_free()) {
            start_next(each->arrived);
        }
    }
    servers.pass_until(time_point::max(), start_next);
    std::array<double, kinds.size()> shares{};
    for (std::size_t which = 0; which < kinds.size(); ++which) {
        shares.at(which) =
            static_cast<double>(in_aim.at(which)) / static_cast<double>(asked.at(which));
    }
    return shares;
}

} // namespace

TEST_CASE("urgent statements stay within their aim through a burst of the least urgent")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const auto ranked = play(true, seed);
        const auto unranked = play(false, seed);
        CHECK(ranked[0] >= 0.95);
        CHECK(ranked[1] >= 0.95);
        CHECK(ranked[0] > unranked[0]);
    }
}
