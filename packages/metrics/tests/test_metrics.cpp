// Tests of counting, quantile estimates and the text format.
#include "gypsumstep/base/random.h"
#include "gypsumstep/metrics/registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::metrics;

namespace {

constexpr time_point start{};

} // namespace

TEST_CASE("counters and gauges are exposed with their labels")
{
    registry metric_registry;
    metric_registry.make_counter("requests_total", "Requests.", {{"rank", "urgent"}}).add(3);
    metric_registry.make_counter("requests_total", "Requests.", {{"rank", "urgent"}}).add();
    metric_registry.make_counter("requests_total", "Requests.", {{"rank", "a\"b\\c\nd"}}).add();
    metric_registry.make_gauge("queue_length", "Queued\nnow.").set(2.5);
    CHECK(metric_registry.expose(start) == "# HELP queue_length Queued\\nnow.\n"
                                           "# TYPE queue_length gauge\n"
                                           "queue_length 2.5\n"
                                           "# HELP requests_total Requests.\n"
                                           "# TYPE requests_total counter\n"
                                           "requests_total{rank=\"a\\\"b\\\\c\\nd\"} 1\n"
                                           "requests_total{rank=\"urgent\"} 4\n");
}

TEST_CASE("a small window has exact quantiles")
{
    summary latency{10s};
    for (int i = 1; i <= 10; ++i) {
        latency.observe(i * 1ms, start + 1s);
    }
    CHECK_FALSE(latency.values(start + 2s).quantiles.has_value());
    const auto values = latency.values(start + 11s);
    CHECK(values.count == 10);
    CHECK(values.sum == 55ms);
    REQUIRE(values.quantiles.has_value());
    CHECK(values.quantiles->at(0) == 5ms);
    CHECK(values.quantiles->at(2) == 10ms);
    CHECK(values.window_max == 10ms);
}

TEST_CASE("quantiles cover only the last window that has passed")
{
    summary latency{10s};
    latency.observe(500ms, start + 1s);
    latency.observe(1ms, start + 12s);
    CHECK(latency.values(start + 21s).quantiles->at(3) == 1ms);
    const auto idle = latency.values(start + 60s);
    CHECK_FALSE(idle.quantiles.has_value());
    CHECK(idle.count == 2);
}

TEST_CASE("estimates of a large window are near the exact quantiles")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    random_source random{seed};
    summary latency{10s};
    std::vector<duration> observations;
    for (int i = 0; i < 20'000; ++i) {
        observations.push_back(1ms + random.exponential(20ms));
        latency.observe(observations.back(), start + 1s);
    }
    std::ranges::sort(observations);
    const auto values = latency.values(start + 11s);
    REQUIRE(values.quantiles.has_value());
    for (std::size_t i = 0; i < 3; ++i) {
        const auto rank = summary_quantiles.at(i) * static_cast<double>(observations.size());
        const auto exact =
            static_cast<double>(observations[static_cast<std::size_t>(rank)].count());
        CHECK(static_cast<double>(values.quantiles->at(i).count()) == Approx(exact).epsilon(0.05));
    }
}

TEST_CASE("a summary is exposed in seconds")
{
    registry metric_registry;
    metric_registry.make_summary("latency_seconds", "Latency.").observe(250ms, start + 1s);
    const auto text = metric_registry.expose(start + 10s);
    CHECK_THAT(text, Catch::Contains("# TYPE latency_seconds summary\n"));
    CHECK_THAT(text, Catch::Contains("latency_seconds{quantile=\"0.99\"} 0.25\n"));
    CHECK_THAT(text, Catch::Contains("latency_seconds_sum 0.25\nlatency_seconds_count 1\n"));
}

TEST_CASE("observations of many threads are all counted, none is lost")
{
    constexpr std::uint64_t thread_count = 4;
    constexpr std::uint64_t observations_per_thread = 5'000;
    registry metric_registry;
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (std::uint64_t i = 0; i < thread_count; ++i) {
        threads.emplace_back([&metric_registry] {
            auto& requests = metric_registry.make_counter("requests_total", "Requests.");
            auto& latency = metric_registry.make_summary("latency_seconds", "Latency.");
            for (std::uint64_t observation = 0; observation < observations_per_thread;
                 ++observation) {
                requests.add();
                latency.observe(1ms, start + std::chrono::milliseconds{observation});
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(metric_registry.make_counter("requests_total", "").value() ==
          thread_count * observations_per_thread);
    const auto values = metric_registry.make_summary("latency_seconds", "").values(start + 10s);
    CHECK(values.count == thread_count * observations_per_thread);
    CHECK(values.sum == thread_count * observations_per_thread * 1ms);
}
