#include "request_queue.h"

#include <utility>

namespace gypsumstep::daemon {
namespace {

admission::queue_settings settings_from(const std::array<fleet::rank_target, rank_count>& ranks)
{
    admission::queue_settings settings;
    for (const rank level : all_ranks) {
        settings.ranks[index_of(level)].slot_floor = ranks[index_of(level)].slot_floor;
        settings.ranks[index_of(level)].queue_limit = ranks[index_of(level)].queue_limit;
    }
    return settings;
}

admission::request to_admission_request(const execute_request& request)
{
    admission::request converted;
    converted.id = request.id;
    converted.level = request.priority;
    converted.client_account = request.client_account;
    converted.deadline = request.deadline;
    converted.kind = request.binding == binding_id{} ? admission::request_kind::new_work
                                                     : admission::request_kind::open_transaction;
    return converted;
}

} // namespace

request_queue::request_queue(const fleet::server& server,
                             const std::array<fleet::rank_target, rank_count>& ranks)
    : m_queue{settings_from(ranks), server.slots}
{
}

std::optional<admission::refused> request_queue::offer(execute_request request, time_point now)
{
    const admission::decision decided = m_queue.offer(to_admission_request(request), now);
    if (const auto* refused = std::get_if<admission::refused>(&decided)) {
        return *refused;
    }
    if (std::holds_alternative<admission::admitted>(decided)) {
        m_ready.push_back(std::move(request));
    }
    else {
        m_waiting.emplace(request.id, std::move(request));
    }
    return std::nullopt;
}

std::optional<execute_request> request_queue::take_ready()
{
    if (m_ready.empty()) {
        return std::nullopt;
    }
    execute_request next = std::move(m_ready.front());
    m_ready.pop_front();
    return next;
}

void request_queue::put_back(execute_request request)
{
    m_ready.push_front(std::move(request));
}

void request_queue::finished(request_id id, duration service_time, bool ok, time_point now)
{
    if (m_queue.finished(id, service_time, ok, now)) {
        start_next(now);
    }
}

std::vector<execute_request> request_queue::take_expired(time_point now)
{
    auto late = take_waiting(m_queue.take_expired(now));
    std::deque<execute_request> in_time;
    for (execute_request& request : m_ready) {
        if (request.deadline > now) {
            in_time.push_back(std::move(request));
            continue;
        }
        // The request held a slot but was not sent to the server.
        (void)m_queue.finished(request.id, duration{0}, false, now);
        late.push_back(std::move(request));
    }
    m_ready = std::move(in_time);
    start_next(now);
    return late;
}

std::vector<execute_request> request_queue::take_all(time_point now)
{
    auto taken = take_waiting(m_queue.drain(now));
    for (execute_request& request : m_ready) {
        (void)m_queue.finished(request.id, duration{0}, false, now);
        taken.push_back(std::move(request));
    }
    m_ready.clear();
    return taken;
}

void request_queue::start_next(time_point now)
{
    for (execute_request& request : take_waiting(m_queue.start_next(now))) {
        m_ready.push_back(std::move(request));
    }
}

std::vector<execute_request> request_queue::take_waiting(const std::vector<request_id>& ids)
{
    std::vector<execute_request> taken;
    taken.reserve(ids.size());
    for (const request_id id : ids) {
        const auto found = m_waiting.find(id);
        if (found != m_waiting.end()) {
            taken.push_back(std::move(found->second));
            m_waiting.erase(found);
        }
    }
    return taken;
}

} // namespace gypsumstep::daemon
