#include "flood/measurements.h"

#include <algorithm>
#include <numeric>

namespace gypsumstep::flood {

namespace {

duration quantile(std::vector<duration>& values, double share)
{
    if (values.empty()) {
        return duration{0};
    }
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace

double rank_result::within_target() const
{
    return offered == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(offered);
}

double span_result::goodput() const
{
    const double good = std::accumulate(
        ranks.begin(), ranks.end(), 0.0,
        [](double sum, const rank_result& measured) { return sum + measured.eligible_slot_time; });
    return eligible_capacity > 0 ? good / eligible_capacity : 0.0;
}

span_result measurements::evaluate(time_point from, time_point until) const
{
    span_result result;
    std::array<std::vector<duration>, rank_count> latencies;
    for (const sample& request : m_samples) {
        rank_result& measured = result.ranks[index_of(request.level)];
        const time_point ended = request.offered + request.latency;
        if (request.good && ended >= from && ended < until) {
            const double seconds = std::chrono::duration<double>{request.service_time}.count();
            measured.good_slot_time += seconds;
            measured.eligible_slot_time += request.on_eligible_server ? seconds : 0.0;
        }
        if (request.offered < from || request.offered >= until) {
            continue;
        }
        if (request.part_of_flood) {
            measured.flood_offered += 1;
        }
        else {
            measured.offered += 1;
            measured.good += request.good ? 1 : 0;
        }
        if (request.answered) {
            latencies[index_of(request.level)].push_back(request.latency);
        }
    }
    for (std::size_t i = 0; i < rank_count; ++i) {
        result.ranks[i].p50 = quantile(latencies[i], 0.5);
        result.ranks[i].p99 = quantile(latencies[i], 0.99);
    }
    return result;
}

std::vector<rank_latencies> measurements::p99_series(time_point from, time_point until,
                                                     duration span) const
{
    std::vector<rank_latencies> series;
    for (time_point start = from; start + span <= until; start += 1s) {
        const span_result span_results = evaluate(start, start + span);
        rank_latencies& added = series.emplace_back();
        for (std::size_t i = 0; i < rank_count; ++i) {
            added[i] = span_results.ranks[i].p99;
        }
    }
    return series;
}

} // namespace gypsumstep::flood
