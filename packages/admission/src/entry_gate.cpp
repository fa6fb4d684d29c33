#include "gypsumstep/admission/entry_gate.h"

#include <algorithm>

namespace gypsumstep::admission {

namespace {

constexpr duration highest_age = 1s;
constexpr duration probe_interval = 20ms;

} // namespace

void entry_gate::learn(home_queue queue, const load_report& report, time_point now)
{
    known& own = m_known[queue];
    own.report = report;
    own.received = now;
}

void entry_gate::forget(home_queue queue)
{
    m_known.erase(queue);
}

std::optional<refused> entry_gate::check(home_queue queue, rank level,
                                         std::optional<time_point> deadline, time_point now)
{
    const std::optional<load_report> report = current(queue, now);
    if (!report) {
        return std::nullopt;
    }
    const rank_load& own = report->ranks[index_of(level)];
    std::optional<refused> refusal;
    if (!report->accepting) {
        refusal = refused{refusal_reason::not_accepting, highest_age};
    }
    else if (own.full && own.estimated_wait > duration{0}) {
        refusal = refused{refusal_reason::queue_full, own.service_time};
    }
    else if (deadline && now + own.estimated_wait + own.service_time > *deadline) {
        const duration late = now + own.estimated_wait + own.service_time - *deadline;
        refusal = refused{refusal_reason::deadline, late};
    }
    if (!refusal) {
        return std::nullopt;
    }
    time_point& next_probe = m_known.at(queue).next_probe[index_of(level)];
    if (report->accepting && now >= next_probe) {
        next_probe = now + probe_interval;
        return std::nullopt;
    }
    return refusal;
}

std::optional<load_report> entry_gate::current(home_queue queue, time_point now) const
{
    const auto found = m_known.find(queue);
    if (found == m_known.end() || now - found->second.received > highest_age) {
        return std::nullopt;
    }
    load_report aged = found->second.report;
    const duration age = std::max(now - found->second.received, duration{0});
    for (rank_load& each : aged.ranks) {
        each.estimated_wait = std::max(each.estimated_wait - age, duration{0});
    }
    return aged;
}

} // namespace gypsumstep::admission
