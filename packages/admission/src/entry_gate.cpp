#include "gypsumstep/admission/entry_gate.h"

#include <algorithm>

namespace gypsumstep::admission {

namespace {

constexpr duration max_report_age = 1s;
constexpr duration probe_interval = 20ms; // for each queue and rank

} // namespace

void entry_gate::add_report(home_queue queue, const load_report& report, time_point now)
{
    queue_state& state = m_queues[queue];
    state.report = report;
    state.received = now;
}

void entry_gate::remove(home_queue queue)
{
    m_queues.erase(queue);
}

std::optional<refused> entry_gate::check(home_queue queue, rank level,
                                         std::optional<time_point> deadline, time_point now)
{
    const std::optional<load_report> report = current(queue, now);
    if (!report) {
        return std::nullopt;
    }
    const rank_load& load = report->ranks[index_of(level)];
    std::optional<refused> refusal;
    if (!report->accepting) {
        refusal = refused{refusal_reason::not_accepting, max_report_age};
    }
    else if (load.full && load.estimated_wait > duration{0}) {
        refusal = refused{refusal_reason::queue_full, load.service_time};
    }
    else if (deadline && now + load.estimated_wait + load.service_time > *deadline) {
        const duration excess = now + load.estimated_wait + load.service_time - *deadline;
        refusal = refused{refusal_reason::deadline, excess};
    }
    if (!refusal) {
        return std::nullopt;
    }
    time_point& next_probe = m_queues.at(queue).next_probe[index_of(level)];
    if (report->accepting && now >= next_probe) {
        next_probe = now + probe_interval;
        return std::nullopt;
    }
    return refusal;
}

std::optional<load_report> entry_gate::current(home_queue queue, time_point now) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || now - found->second.received > max_report_age) {
        return std::nullopt;
    }
    load_report aged = found->second.report;
    const duration age = std::max(now - found->second.received, duration{0});
    for (rank_load& load : aged.ranks) {
        load.estimated_wait = std::max(load.estimated_wait - age, duration{0});
    }
    return aged;
}

} // namespace gypsumstep::admission
