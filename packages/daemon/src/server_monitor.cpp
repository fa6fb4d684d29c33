#include "server_monitor.h"

#include "clock.h"

namespace gypsumstep::daemon {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds{100};
constexpr duration answer_timeout = 400ms;
constexpr std::size_t max_pending_calls = 32;
constexpr const char* monitor_user = "gypsumstep";
constexpr const char* status_call = "SELECT group_status()";

} // namespace

server_monitor::server_monitor(const fleet::server& server, const std::string& database,
                               status_handler on_status, lost_handler on_lost)
    : m_server{server}, m_database{database},
      m_on_status{std::move(on_status)}, m_on_lost{std::move(on_lost)}
{
    connect(&m_timer, &QTimer::timeout, this, &server_monitor::tick);
    m_timer.start(poll_interval);
    reconnect();
}

void server_monitor::call(const std::string& sql, status_handler on_answer)
{
    if (m_calls.size() < max_pending_calls) {
        m_calls.push_back({sql, std::move(on_answer), steady_now()});
    }
    send_next();
}

void server_monitor::tick()
{
    const auto state = m_connection->state();
    const bool overdue = steady_now() - m_busy_since > answer_timeout;
    if (state == backend::connection_state::closed ||
        (state != backend::connection_state::idle && overdue)) {
        on_connection_lost();
        return;
    }
    send_next();
    if (m_connection->state() == backend::connection_state::idle) {
        send({status_call, m_on_status, steady_now()});
    }
}

void server_monitor::reconnect()
{
    m_busy_since = steady_now();
    const backend::connection_target target{m_server.address, m_server.port, m_database,
                                            monitor_user};
    m_connection = std::make_unique<backend::connection>(
        target, [this] { send_next(); }, [] {});
}

void server_monitor::on_connection_lost()
{
    const time_point oldest = steady_now() - answer_timeout;
    std::erase_if(m_calls,
                  [oldest](const pending_call& pending) { return pending.made_at < oldest; });
    m_on_lost();
    reconnect();
}

void server_monitor::send_next()
{
    if (m_calls.empty() || m_connection->state() != backend::connection_state::idle) {
        return;
    }
    const pending_call next = std::move(m_calls.front());
    m_calls.pop_front();
    send(next);
}

void server_monitor::send(const pending_call& pending)
{
    m_busy_since = steady_now();
    backend::work item;
    item.sql = pending.sql;
    m_connection->run(
        item, [this, pending, asked_at = m_busy_since](const backend::work_answer& answer) {
            const auto fields = nlohmann::json::parse(answer.first_value, nullptr, false);
            if (!answer.connection_lost && fields.is_object()) {
                pending.on_answer({asked_at, fields});
            }
            if (!answer.connection_lost) {
                send_next();
            }
        });
}

} // namespace gypsumstep::daemon
