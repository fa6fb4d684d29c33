#include "client_listener.h"

#include "socket_options.h"

#include <QHostAddress>

#include <algorithm>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// Largest size of the answers buffered for a client that does not read them, in bytes. A
/// client that exceeds it is disconnected.
constexpr qint64 max_unread_bytes = 2 * static_cast<qint64>(adapter::max_message_bytes);

/// As above, while all connections together hold more than they may.
constexpr qint64 max_unread_when_over = max_unread_bytes / 8;

/// A statement is held as its text and once more as what is on its way to a server or a home.
constexpr std::size_t copies_of_statement = 2;

/// Size of the pieces in which a large answer is passed on, in bytes.
constexpr std::size_t piece_bytes = 64UL << 10;

/// Connections that may wait to be accepted. If the queue is full, a client's attempt to
/// connect takes seconds.
constexpr int backlog = 512;

/// Long enough that a client keeps its session during a short network outage.
constexpr keepalive_settings client_keepalive{5, 2, 4, 12'000};

/// Writes in pieces, so that Qt's buffer holds only what the kernel does not take.
void write_through(QTcpSocket& socket, const std::string& bytes)
{
    // A flush that fails closes the socket.
    for (std::size_t place = 0; place < bytes.size() && socket.isOpen(); place += piece_bytes) {
        const std::size_t size = std::min(piece_bytes, bytes.size() - place);
        socket.write(bytes.data() + place, static_cast<qint64>(size));
        socket.flush();
    }
}

} // namespace

client_listener::client_listener(client_events events, session_id first_session,
                                 adapter::line_sender sender, connection_guard& guard)
    : m_events{std::move(events)},
      m_next_session{first_session.value()}, m_sender{sender}, m_guard{guard}
{
    m_server.setListenBacklogSize(backlog);
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
    m_guard.watch_accept_errors(m_server);
}

bool client_listener::listen(const std::string& host, std::uint16_t port)
{
    return m_server.listen(QHostAddress{QString::fromStdString(host)}, port);
}

void client_listener::accept()
{
    const auto port = m_sender == adapter::line_sender::client ? connection_port::clients
                                                               : connection_port::daemons;
    while (QTcpSocket* const socket = m_server.nextPendingConnection()) {
        const session_id id{m_next_session++};
        socket->setParent(this);
        if (!m_guard.has_room(*socket, port)) {
            refuse(*socket);
            continue;
        }
        set_socket_options(*socket, client_keepalive);
        socket->setReadBufferSize(read_buffer_bytes);
        auto accepted = std::make_unique<connection>();
        accepted->socket = socket;
        accepted->guarded = m_guard.add([this, id](const char* /*cause*/) { drop(id); });
        m_connections.emplace(id, std::move(accepted));
        connect(socket, &QTcpSocket::readyRead, this, [this, id] { read(id); });
        connect(socket, &QTcpSocket::bytesWritten, this, [this, id] {
            const auto found = m_connections.find(id);
            if (found != m_connections.end() && found->second->unread > 0) {
                update_unread(*found->second);
                schedule_read(id, *found->second);
            }
        });
        connect(socket, &QTcpSocket::disconnected, this, [this, id] {
            if (m_connections.contains(id)) {
                remove_connection(id);
                m_events.closed(id);
            }
        });
        m_events.connected(id);
        if (socket->bytesAvailable() > 0) {
            read(id);
        }
    }
}

void client_listener::refuse(QTcpSocket& socket)
{
    statement::answer answer;
    answer.error = statement::error_class::busy;
    answer.error_text = "too many connections to this daemon; retry";
    const std::string bytes = adapter::encode_start_answer(answer);
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.flush();
    socket.abort();
    socket.deleteLater();
}

void client_listener::drop(session_id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket* const socket = found->second->socket;
    remove_connection(id);
    socket->abort();
    m_events.closed(id);
}

void client_listener::read(session_id id)
{
    m_guard.enforce();
    auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection& member = *found->second;
    member.read_scheduled = false;
    if (!m_guard.may_read(member.guarded)) {
        // The rest waits in the kernel, and the client with it.
        return;
    }
    const QByteArray bytes = member.socket->readAll();
    member.splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    const bool completed = handle_lines(id);
    if (found = m_connections.find(id); found != m_connections.end()) {
        m_guard.set_input(found->second->guarded, found->second->splitter.held_bytes(), completed);
    }
}

bool client_listener::handle_lines(session_id id)
{
    bool completed = false;
    // Handling a message may close the connection.
    for (auto found = m_connections.find(id);
         found != m_connections.end() && m_guard.may_read(found->second->guarded);
         found = m_connections.find(id)) {
        connection& member = *found->second;
        const auto line = member.splitter.next();
        if (line.has_value() && !line.value()) {
            return completed;
        }
        if (line.has_error()) {
            m_guard.count("message_too_long");
            m_events.malformed(id, line.error().message);
            close(id);
            m_events.closed(id);
            return completed;
        }
        completed = true;
        if (member.on_line) {
            m_guard.add_statement(member.guarded, copies_of_statement * line.value()->size());
            // Copied, since the handler may end the session, which destroys the stored function.
            const auto on_line = member.on_line;
            on_line(*line.value());
            continue;
        }
        if (!handle_message(id, *line.value())) {
            return completed;
        }
    }
    return completed;
}

void client_listener::schedule_read(session_id id, connection& member)
{
    const bool waiting = member.splitter.held_bytes() > 0 || member.socket->bytesAvailable() > 0;
    if (waiting && !member.read_scheduled && m_guard.may_read(member.guarded)) {
        member.read_scheduled = true;
        // Deferred, since this is called while an answer is sent.
        QMetaObject::invokeMethod(
            this, [this, id] { read(id); }, Qt::QueuedConnection);
    }
}

void client_listener::update_unread(connection& member)
{
    member.unread = member.socket->bytesToWrite();
    m_guard.set_unread(member.guarded, static_cast<std::size_t>(member.unread));
}

bool client_listener::handle_message(session_id id, const std::string& line)
{
    auto message = adapter::decode_client_line(line, m_sender);
    if (message.has_error()) {
        m_events.malformed(id, message.error().message);
        close(id);
        m_events.closed(id);
        return false;
    }
    if (const auto* start = std::get_if<adapter::start_message>(&message.value())) {
        m_guard.set_started(m_connections.at(id)->guarded);
        m_events.started(id, *start);
        return true;
    }
    if (auto* query = std::get_if<adapter::statement_message>(&message.value())) {
        m_guard.add_statement(m_connections.at(id)->guarded, copies_of_statement * line.size());
        m_events.statement_received(id, std::move(query->request));
        return true;
    }
    close(id);
    m_events.closed(id);
    return false;
}

void client_listener::set_line_handler(session_id id,
                                       std::function<void(const std::string&)> on_line)
{
    if (const auto found = m_connections.find(id); found != m_connections.end()) {
        found->second->on_line = std::move(on_line);
    }
}

void client_listener::set_kept(session_id id, std::size_t bytes)
{
    if (const auto found = m_connections.find(id); found != m_connections.end()) {
        m_guard.set_kept(found->second->guarded, bytes);
    }
}

void client_listener::send_answer(session_id id, const statement::answer& answer)
{
    write(id, adapter::encode_answer(answer), 1);
}

void client_listener::send_start_answer(session_id id, const statement::answer& answer)
{
    write(id, adapter::encode_start_answer(answer));
}

void client_listener::write(session_id id, const std::string& bytes, std::size_t answers)
{
    auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket& socket = *found->second->socket;
    for (; answers > 0; --answers) {
        m_guard.remove_statement(found->second->guarded);
    }
    write_through(socket, bytes);
    // A write that fails ends the connection before it returns; the socket is deleted later.
    found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection& member = *found->second;
    if (socket.bytesToWrite() > max_unread_bytes) {
        m_guard.count("answers_too_long");
        m_events.malformed(id, "the client does not read its answers");
        socket.abort();
        return;
    }
    if (member.unread > 0 || socket.bytesToWrite() > 0) {
        update_unread(member);
        if (m_guard.is_over() && socket.bytesToWrite() > max_unread_when_over) {
            // Without waiting for the event loop: the next answer may follow at once.
            m_guard.count(intake::to_string(intake::closing::memory));
            socket.abort();
            return;
        }
    }
    schedule_read(id, member);
}

void client_listener::close(session_id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket* const socket = found->second->socket;
    remove_connection(id);
    if (socket->bytesToWrite() > 0) {
        guard_pending(*socket);
    }
    socket->disconnectFromHost();
}

void client_listener::guard_pending(QTcpSocket& socket)
{
    QTcpSocket* const pending = &socket;
    const intake::connection_id guarded =
        m_guard.add([pending](const char* /*cause*/) { pending->abort(); });
    m_guard.set_started(guarded);
    const auto update = [this, pending, guarded] {
        m_guard.set_unread(guarded, static_cast<std::size_t>(pending->bytesToWrite()));
    };
    update();
    connect(pending, &QTcpSocket::bytesWritten, this, update);
    ++m_closing;
    connect(pending, &QTcpSocket::disconnected, this, [this, guarded] {
        --m_closing;
        m_guard.remove(guarded);
    });
}

bool client_listener::has_unsent_answers() const
{
    return m_closing > 0 ||
           std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto& entry) { return entry.second->socket->bytesToWrite() > 0; });
}

void client_listener::remove_connection(session_id id)
{
    const auto found = m_connections.find(id);
    QTcpSocket* const socket = found->second->socket;
    m_guard.remove(found->second->guarded);
    m_connections.erase(found);
    socket->disconnect(this);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    if (socket->state() == QAbstractSocket::UnconnectedState) {
        socket->deleteLater();
    }
}

} // namespace gypsumstep::edge
