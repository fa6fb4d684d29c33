#include "relay_server.h"

#include "socket_options.h"

#include "gypsumstep/logging/logging.h"
#include "gypsumstep/relay/reader_order.h"

#include <QHostAddress>

#include <algorithm>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// Interval of the status messages; short against relay::source_choice::silence_limit.
constexpr std::chrono::milliseconds status_interval{1000};

/// Largest size of the messages buffered for a subscriber, in bytes. One that does not read them
/// is disconnected.
constexpr qint64 max_unread_bytes = 2 * static_cast<qint64>(max_relay_message_bytes);

/// Subscribers at most: those of a reader, and those of another one that is lost. More turn to the
/// next reader.
constexpr std::size_t max_subscribers = 2 * relay::daemons_per_reader;

constexpr keepalive_settings subscriber_keepalive{1, 1, 2, 2500};

const logging::logger& log()
{
    static const logging::logger instance{"relay"};
    return instance;
}

} // namespace

relay_server::relay_server(relay_server_events events, connection_guard& guard)
    : m_events{std::move(events)}, m_guard{guard}
{
    m_guard.watch_accept_errors(m_server);
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
    connect(&m_status_timer, &QTimer::timeout, this, [this] { send_status(); });
}

bool relay_server::listen(const std::string& host, std::uint16_t port)
{
    return m_server.listen(QHostAddress{QString::fromStdString(host)}, port);
}

void relay_server::close()
{
    m_server.close();
    m_status_timer.stop();
    while (!m_subscriptions.empty()) {
        QTcpSocket* const socket = m_subscriptions.begin()->first;
        remove(socket);
        socket->disconnectFromHost();
    }
}

void relay_server::accept()
{
    while (QTcpSocket* const socket = m_server.nextPendingConnection()) {
        if (m_subscriptions.size() >= max_subscribers) {
            log().warn("refused a subscriber: this daemon has as many as it serves",
                       {{"address", socket->peerAddress().toString().toStdString()}});
            socket->abort();
            socket->deleteLater();
            continue;
        }
        socket->setParent(this);
        if (!m_guard.has_room(*socket, connection_port::daemons)) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        socket->setReadBufferSize(read_buffer_bytes);
        set_socket_options(*socket, subscriber_keepalive);
        auto accepted = std::make_unique<subscription>();
        accepted->socket = socket;
        accepted->guarded = m_guard.add([this, socket](const char* /*cause*/) {
            remove(socket);
            socket->abort();
        });
        m_subscriptions.emplace(socket, std::move(accepted));
        connect(socket, &QTcpSocket::readyRead, this, [this, socket] { read(socket); });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] { remove(socket); });
        if (!m_status_timer.isActive()) {
            m_status_timer.start(status_interval);
        }
        if (socket->bytesAvailable() > 0) {
            read(socket);
        }
    }
}

void relay_server::remove(QTcpSocket* socket)
{
    const auto found = m_subscriptions.find(socket);
    if (found == m_subscriptions.end()) {
        return;
    }
    m_guard.remove(found->second->guarded);
    m_subscriptions.erase(found);
    socket->disconnect(this);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    if (socket->state() == QAbstractSocket::UnconnectedState) {
        socket->deleteLater();
    }
    if (m_subscriptions.empty()) {
        m_status_timer.stop();
    }
    m_events.urgency_changed();
}

void relay_server::read(QTcpSocket* socket)
{
    m_guard.enforce();
    auto found = m_subscriptions.find(socket);
    if (found == m_subscriptions.end()) {
        return;
    }
    bool completed = false;
    found->second->decoder.feed(socket->readAll());
    // Handling a message may end the subscription.
    while ((found = m_subscriptions.find(socket)) != m_subscriptions.end()) {
        const auto message = found->second->decoder.next();
        if (message.has_error()) {
            m_guard.count("message_malformed");
            log().warn("closed a subscriber's connection",
                       {{"cause", message.error().message},
                        {"address", socket->peerAddress().toString().toStdString()}});
            remove(socket);
            socket->abort();
            return;
        }
        if (!message.value()) {
            m_guard.set_input(found->second->guarded, found->second->decoder.held_bytes(),
                              completed);
            return;
        }
        completed = true;
        on_message(*found->second, *message.value());
    }
}

void relay_server::on_message(subscription& subscriber, const relay_message& message)
{
    if (const auto* hello = std::get_if<relay_hello>(&message)) {
        subscriber.daemon = hello->daemon;
        subscriber.digests = hello->digests;
        m_guard.set_started(subscriber.guarded);
        send(subscriber, encode_relay_message(m_events.status()));
        for (const store_subject subject : {store_subject::configuration, store_subject::daemons}) {
            if (m_newest.at(index_of(subject))) {
                send_newest(subscriber, subject);
            }
        }
        return;
    }
    const auto* urgency = std::get_if<relay_urgency>(&message);
    if (urgency == nullptr || !subscriber.daemon) {
        log().warn("ignored a subscriber's message that is not for a reader", {});
        return;
    }
    subscriber.servers = urgency->servers;
    constexpr std::size_t servers = index_of(store_subject::servers);
    if (urgency->servers == proxy::listing_urgency::none) {
        subscriber.is_current.at(servers) = false;
    }
    else if (!subscriber.is_current.at(servers) && m_newest.at(servers)) {
        send_newest(subscriber, store_subject::servers);
    }
    m_events.urgency_changed();
}

void relay_server::send_newest(subscription& subscriber, store_subject subject)
{
    const std::size_t index = index_of(subject);
    const relay_rows& newest = *m_newest.at(index);
    subscriber.is_current.at(index) = true;
    if (!subscriber.digests) {
        send(subscriber, encode_relay_message(newest));
        return;
    }
    if (std::exchange(subscriber.digests->at(index), m_digests.at(index)) == m_digests.at(index)) {
        send(subscriber, encode_relay_message(relay_unchanged{subject, newest.rows.moment}));
        return;
    }
    if (m_encoded.at(index).isEmpty()) {
        m_encoded.at(index) = encode_compressed(newest);
    }
    send(subscriber, m_encoded.at(index));
}

void relay_server::publish(store_subject subject, const adapter::stored_rows& rows, bool changed)
{
    const std::size_t index = index_of(subject);
    auto& newest = m_newest.at(index);
    QByteArray changes;
    if (changed || !newest) {
        m_digests.at(index) = digest_of(rows.rows);
        if (newest && !m_subscriptions.empty()) {
            changes = encode_relay_message(
                relay_changes{subject, newest->rows.moment, rows.moment,
                              changes_between(newest->rows.rows, rows.rows), m_digests.at(index)});
        }
        newest = relay_rows{subject, rows};
    }
    else {
        newest->rows.moment = rows.moment;
    }
    m_encoded.at(index).clear();
    const QByteArray unchanged =
        encode_relay_message(relay_unchanged{subject, newest->rows.moment});
    for (const auto& [socket, subscriber] : m_subscriptions) {
        if (!subscriber->daemon) {
            continue;
        }
        if (subject == store_subject::servers &&
            subscriber->servers == proxy::listing_urgency::none) {
            subscriber->is_current.at(index) = false;
        }
        else if (!subscriber->is_current.at(index) ||
                 (!changes.isEmpty() && !subscriber->digests)) {
            send_newest(*subscriber, subject);
        }
        else if (changes.isEmpty()) {
            send(*subscriber, unchanged);
        }
        else {
            subscriber->digests->at(index) = m_digests.at(index);
            send(*subscriber, changes);
        }
    }
}

void relay_server::on_store_rolled_back()
{
    // Subscribers drop their lists as well, so each gets all rows of the next reading.
    for (const store_subject list : {store_subject::servers, store_subject::daemons}) {
        const std::size_t index = index_of(list);
        m_newest.at(index).reset();
        m_encoded.at(index).clear();
        for (auto& [socket, subscriber] : m_subscriptions) {
            subscriber->is_current.at(index) = false;
            if (subscriber->digests) {
                subscriber->digests->at(index) = 0;
            }
        }
    }
    // The status tells the subscribers of the new era at once.
    send_status();
}

void relay_server::send(subscription& subscriber, const QByteArray& bytes)
{
    if (subscriber.is_ending) {
        return;
    }
    // Neither flushed nor aborted here: both emit signals that end the subscription, which the
    // callers still use. The event loop writes the bytes.
    QTcpSocket* const socket = subscriber.socket;
    socket->write(bytes);
    if (socket->bytesToWrite() > max_unread_bytes) {
        m_guard.count("answers_too_long");
        log().warn("closed a subscriber's connection", {{"cause", "it does not read"}});
        subscriber.is_ending = true;
        QMetaObject::invokeMethod(
            socket, [socket] { socket->abort(); }, Qt::QueuedConnection);
    }
}

void relay_server::send_status()
{
    const QByteArray bytes = encode_relay_message(m_events.status());
    std::vector<QTcpSocket*> sockets;
    for (const auto& [socket, subscriber] : m_subscriptions) {
        if (subscriber->daemon) {
            sockets.push_back(socket);
        }
    }
    for (QTcpSocket* const socket : sockets) {
        if (const auto found = m_subscriptions.find(socket); found != m_subscriptions.end()) {
            send(*found->second, bytes);
        }
    }
}

proxy::listing_urgency relay_server::server_listing_urgency() const
{
    auto most = proxy::listing_urgency::none;
    for (const auto& [socket, subscriber] : m_subscriptions) {
        most = std::max(most, subscriber->servers);
    }
    return most;
}

std::vector<homes::daemon_entry> relay_server::subscribers() const
{
    std::vector<homes::daemon_entry> daemons;
    for (const auto& [socket, subscriber] : m_subscriptions) {
        if (subscriber->daemon) {
            daemons.push_back(*subscriber->daemon);
        }
    }
    return daemons;
}

} // namespace gypsumstep::edge
