#include "relay_client.h"

#include "socket_options.h"

#include "gypsumstep/logging/logging.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::edge {
namespace {

constexpr keepalive_settings reader_keepalive{1, 1, 2, 2500};

const logging::logger& log()
{
    static const logging::logger instance{"relay"};
    return instance;
}

} // namespace

relay_client::relay_client(homes::daemon_entry self, relay_client_events events)
    : m_self{std::move(self)}, m_events{std::move(events)}
{
}

void relay_client::subscribe(const homes::daemon_entry& reader, std::uint16_t port)
{
    unsubscribe();
    m_reader = reader.name;
    m_decoder = relay_decoder{};
    m_is_current = {};
    m_socket = new QTcpSocket{this};
    connect(m_socket, &QTcpSocket::connected, this, [this] { on_connected(); });
    connect(m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(m_socket, &QTcpSocket::errorOccurred, this,
            [this] { on_lost(m_socket->errorString().toStdString()); });
    m_socket->connectToHost(QHostAddress{QString::fromStdString(reader.host)}, port);
}

void relay_client::unsubscribe()
{
    m_reader.reset();
    if (m_socket == nullptr) {
        return;
    }
    m_socket->disconnect(this);
    m_socket->abort();
    m_socket->deleteLater();
    m_socket = nullptr;
}

void relay_client::on_connected()
{
    set_socket_options(*m_socket, reader_keepalive);
    row_digests digests{};
    for (const store_subject subject : all_store_subjects) {
        if (const auto& rows = m_rows.at(index_of(subject))) {
            digests.at(index_of(subject)) = digest_of(rows->rows.rows);
        }
    }
    send(relay_hello{m_self, digests});
    if (m_urgency != proxy::listing_urgency::none) {
        send(relay_urgency{m_urgency});
    }
}

void relay_client::set_urgency(proxy::listing_urgency urgency)
{
    if (urgency == m_urgency) {
        return;
    }
    m_urgency = urgency;
    if (m_socket != nullptr && m_socket->state() == QAbstractSocket::ConnectedState) {
        send(relay_urgency{urgency});
    }
}

void relay_client::send(const relay_message& message)
{
    // Not flushed: a failed write would end the subscription, and its socket, which the callers
    // still use.
    m_socket->write(encode_relay_message(message));
}

void relay_client::read()
{
    QTcpSocket* const socket = m_socket;
    m_decoder.feed(socket->readAll());
    // Handling a message may end the subscription or start another one.
    while (m_socket == socket) {
        auto message = m_decoder.next();
        if (message.has_error()) {
            on_lost(message.error().message);
            return;
        }
        if (!message.value()) {
            return;
        }
        const auto completed = complete(std::move(*message.value()));
        if (!completed) {
            on_lost("a message of the reader is missing");
            return;
        }
        const std::string reader = *m_reader;
        m_events.received(reader, *completed);
    }
}

std::optional<relay_message> relay_client::complete(relay_message message)
{
    if (const auto* whole = std::get_if<relay_rows>(&message)) {
        m_rows.at(index_of(whole->subject)) = *whole;
        m_is_current.at(index_of(whole->subject)) = true;
    }
    else if (const auto* again = std::get_if<relay_unchanged>(&message)) {
        auto& rows = m_rows.at(index_of(again->subject));
        if (!rows) {
            return std::nullopt;
        }
        rows->rows.moment = again->moment;
        // The first message says that the reader has the rows that this daemon got from a reader
        // before. It may have read others from the store since, so they are passed on again.
        if (!std::exchange(m_is_current.at(index_of(again->subject)), true)) {
            return *rows;
        }
    }
    else if (const auto* changes = std::get_if<relay_changes>(&message)) {
        auto& rows = m_rows.at(index_of(changes->subject));
        const bool fits = m_is_current.at(index_of(changes->subject)) &&
                          rows->rows.moment == changes->base &&
                          apply_changes(rows->rows.rows, changes->changes) &&
                          digest_of(rows->rows.rows) == changes->digest;
        if (!fits) {
            rows.reset();
            return std::nullopt;
        }
        rows->rows.moment = changes->moment;
        return *rows;
    }
    return message;
}

void relay_client::on_lost(const std::string& cause)
{
    const std::string reader = m_reader.value_or("");
    log().info("lost the daemon that reads the store", {{"daemon", reader}, {"cause", cause}});
    unsubscribe();
    m_events.lost(reader);
}

} // namespace gypsumstep::edge
