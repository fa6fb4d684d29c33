#include "client_listener.h"

#include "clock.h"

#include "gypsumstep/logging/logging.h"

#include <QHostAddress>

#include <random>
#include <utility>

namespace gypsumstep::daemon {
namespace {

/// Interval at which the clients' time limits are checked; short against the limits.
constexpr std::chrono::milliseconds intake_interval{250};

/// Interval between two log lines on closed sessions: a crowd may be closed many times a second.
constexpr duration drop_log_interval = 1s;

/// Time until connections are accepted again after an error: no descriptor is left then, and trying
/// at once would keep the processor busy.
constexpr std::chrono::milliseconds accept_pause{100};

const logging::logger& log()
{
    static const logging::logger instance{"intake"};
    return instance;
}

intake::limits limits_of(const settings::daemon_settings& settings)
{
    constexpr std::size_t messages_by_default = 4;
    intake::limits limits;
    limits.max_bytes = settings.max_buffered_bytes != 0
                           ? settings.max_buffered_bytes
                           : messages_by_default * settings.max_message_bytes;
    limits.start_timeout = settings.start_timeout;
    limits.message_timeout = settings.message_timeout;
    limits.unread_timeout = settings.unread_timeout;
    return limits;
}

} // namespace

client_listener::client_listener(const settings::daemon_settings& settings,
                                 const fleet::document& document, listener_home_channels& channels,
                                 daemon_metrics& metrics)
    : m_settings{settings}, m_intake{limits_of(settings)},
      m_channels{channels}, m_random{std::random_device{}()}, m_metrics{metrics}
{
    for (const fleet::group& group : document.groups) {
        m_groups[group.name].id = group.id;
        m_group_names[group.id] = group.name;
    }
    connect(&m_server, &QTcpServer::newConnection, this, &client_listener::accept);
    connect(&m_server, &QTcpServer::acceptError, this, [this] {
        log().warn("cannot accept a client", {{"cause", m_server.errorString().toStdString()}});
        // Qt stops accepting after an error.
        QTimer::singleShot(accept_pause, &m_server, [this] { m_server.resumeAccepting(); });
    });
    connect(&m_intake_timer, &QTimer::timeout, this, [this] {
        drop(m_intake.overdue(steady_now()));
        enforce_intake();
        if (m_sessions.empty()) {
            m_intake_timer.stop();
        }
    });
}

client_listener::~client_listener() = default;

bool client_listener::listen()
{
    return m_server.listen(QHostAddress{QString::fromStdString(m_settings.clients.address)},
                           m_settings.clients.port);
}

void client_listener::accept()
{
    while (QTcpSocket* socket = m_server.nextPendingConnection()) {
        if (m_sessions.size() >= m_settings.max_connections) {
            const std::string bytes = pgwire::error_response(
                {"FATAL", "53300", "too many connections to this daemon", "", ""});
            connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
            socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
            socket->disconnectFromHost();
            continue;
        }
        const session_id id{m_next_session++};
        const auto secret = static_cast<std::int32_t>(m_random.below(1ULL << 31U));
        m_intake.add(intake::connection_id{id.value()}, steady_now());
        if (!m_intake_timer.isActive()) {
            m_intake_timer.start(intake_interval);
        }
        m_sessions[id] = std::make_unique<client_session>(
            socket, *this, intake::connection_id{id.value()}, m_settings.max_message_bytes,
            static_cast<std::int32_t>(id.value()), secret, [this, id] { remove(id); });
        m_metrics.sessions().set(static_cast<double>(m_sessions.size()));
    }
}

void client_listener::remove(session_id id)
{
    // Deferred, because the session calls this from one of its own signal handlers.
    QMetaObject::invokeMethod(
        this,
        [this, id] {
            const auto found = m_sessions.find(id);
            if (found == m_sessions.end()) {
                return;
            }
            std::erase_if(m_waiting, [&found](const auto& entry) {
                return entry.second.session == found->second.get();
            });
            m_sessions.erase(found);
            m_intake.remove(intake::connection_id{id.value()});
            m_metrics.sessions().set(static_cast<double>(m_sessions.size()));
            check_drained();
        },
        Qt::QueuedConnection);
}

void client_listener::enforce_intake()
{
    if (m_intake.is_over()) {
        drop(m_intake.over_bound());
    }
}

void client_listener::drop(const std::vector<intake::verdict>& verdicts)
{
    for (const intake::verdict& next : verdicts) {
        // No longer counted from now on; the session itself is removed from the event loop.
        m_intake.remove(next.connection);
        const auto found = m_sessions.find(session_id{next.connection.value()});
        if (found == m_sessions.end()) {
            continue;
        }
        m_metrics.count(next.cause);
        const time_point now = steady_now();
        if (now - m_drop_logged_at >= drop_log_interval) {
            m_drop_logged_at = now;
            log().warn("closed a client's connection to protect the process",
                       {{"cause", intake::to_string(next.cause)},
                        {"others_since_last_line", std::exchange(m_unlogged_drops, 0)},
                        {"held_bytes", static_cast<std::uint64_t>(m_intake.held_bytes())},
                        {"sessions", static_cast<std::uint64_t>(m_sessions.size())}});
        }
        else {
            ++m_unlogged_drops;
        }
        found->second->abort();
    }
}

void client_listener::begin_shutdown(std::function<void()> on_drained)
{
    m_on_drained = std::move(on_drained);
    m_server.close();
    for (const auto& [id, session] : m_sessions) {
        session->begin_shutdown();
    }
    check_drained();
}

void client_listener::check_drained()
{
    if (m_on_drained && m_sessions.empty()) {
        std::exchange(m_on_drained, nullptr)();
    }
}

void client_listener::drain()
{
    m_channels.views.drain(
        [this](const routing::group_view& view) { m_groups[m_group_names[view.id]] = view; });
    m_channels.answers.drain([this](execute_answer answer) { deliver(std::move(answer)); });
}

void client_listener::deliver(execute_answer answer)
{
    const auto found = m_waiting.find(answer.id);
    if (found == m_waiting.end()) {
        // The client has disconnected; no other session may continue its transaction.
        if (answer.binding != binding_id{}) {
            release({answer.server, answer.binding});
        }
        return;
    }
    const waiting_session waiting = found->second;
    m_waiting.erase(found);
    const time_point now = steady_now();
    const bool on_replica = m_groups[m_group_names[waiting.group]].primary != answer.server;
    m_metrics.count(waiting.level, answer.outcome, on_replica, now - waiting.sent_at, now);
    waiting.session->on_answer(std::move(answer));
}

const routing::group_view* client_listener::find_group(const std::string& name)
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : &found->second;
}

bool client_listener::send(client_session& sender, execute_request request)
{
    request.id = request_id{m_next_request++};
    const auto* group = find_group(sender.group());
    const group_id target = group == nullptr ? group_id{} : group->id;
    m_waiting[request.id] = {&sender, target, request.priority, steady_now()};
    if (!m_channels.requests.push(request)) {
        m_waiting.erase(request.id);
        return false;
    }
    return true;
}

void client_listener::release(const release_request& request)
{
    // The channel holds at most one release per session.
    (void)m_channels.releases.push(request);
}

} // namespace gypsumstep::daemon
