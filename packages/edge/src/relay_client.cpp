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
    send(relay_hello{m_self});
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
    m_socket->write(encode_relay_message(message));
    m_socket->flush();
}

void relay_client::read()
{
    QTcpSocket* const socket = m_socket;
    m_decoder.feed(socket->readAll());
    // Handling a message may end the subscription or start another one.
    while (m_socket == socket) {
        const auto message = m_decoder.next();
        if (message.has_error()) {
            on_lost(message.error().message);
            return;
        }
        if (!message.value()) {
            return;
        }
        const std::string reader = *m_reader;
        m_events.received(reader, *message.value());
    }
}

void relay_client::on_lost(const std::string& cause)
{
    const std::string reader = m_reader.value_or("");
    log().info("lost the daemon that reads the store", {{"daemon", reader}, {"cause", cause}});
    unsubscribe();
    m_events.lost(reader);
}

} // namespace gypsumstep::edge
