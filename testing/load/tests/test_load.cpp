// Tests of the load generator's calculations and of its error without a server.
#include "load/load_run.h"
#include "load/process_time.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::load;

TEST_CASE("quantiles of the histogram are within one percent")
{
    latency_histogram histogram;
    for (int i = 1; i <= 10'000; ++i) {
        histogram.add(duration{i * 10});
    }
    CHECK(static_cast<double>(histogram.quantile(0.5).count()) == Approx(50'000).epsilon(0.011));
    CHECK(static_cast<double>(histogram.quantile(0.99).count()) == Approx(99'000).epsilon(0.011));
    CHECK(histogram.highest() == 100ms);
    CHECK(latency_histogram{}.quantile(0.5) == duration{0});
}

TEST_CASE("process time is read after a name with spaces and brackets")
{
    const std::string stat = "7 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0";
    CHECK(parse_process_time(stat, 100) == duration{2s});
    CHECK_FALSE(parse_process_time("", 100));
    CHECK_FALSE(parse_process_time("7 (a) S 1", 100));
}

TEST_CASE("run_load reports an error if the server is not there")
{
    load_settings settings;
    settings.port = 1;
    CHECK_FALSE(run_load(settings));
}
