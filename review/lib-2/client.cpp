#include "client.h"

#include <QHostAddress>

#include <cstdio>
#include <utility>

namespace review {
namespace {

/// The time budget of a request.
constexpr std::chrono::milliseconds time_budget{8000};

} // namespace

std::string client::next_id()
{
    static std::uint64_t number = 0;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(0x5c0e7a2100000000ULL + ++number));
    return text;
}

void client::start(std::function<void(bool)> on_started)
{
    drop();
    m_on_started = std::move(on_started);
    m_splitter = {};
    m_socket = new QTcpSocket{this};
    connect(m_socket, &QTcpSocket::connected, this,
            [this] { m_socket->write(("START " + m_database + "\r\n").c_str()); });
    connect(m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(m_socket, &QTcpSocket::errorOccurred, this, [this] {
        read();
        outcome broken = m_partial;
        broken.is_broken = true;
        end(broken);
    });
    m_timer.setSingleShot(true);
    m_timer.disconnect();
    connect(&m_timer, &QTimer::timeout, this, [this] {
        outcome broken = m_partial;
        broken.is_broken = true;
        end(broken);
    });
    m_timer.start(std::chrono::milliseconds{2000});
    m_socket->connectToHost(QHostAddress::LocalHost, m_port);
}

void client::send(const std::string& id, const std::string& text, handler on_answer)
{
    m_on_answer = std::move(on_answer);
    m_partial = {};
    if (!m_open) {
        outcome broken;
        broken.is_broken = true;
        end(broken);
        return;
    }
    m_timer.start(time_budget);
    const std::string line = "QUERY " + id + ' ' + text + "\r\n";
    m_socket->write(line.data(), static_cast<qint64>(line.size()));
    m_socket->flush();
}

void client::drop()
{
    m_open = false;
    m_timer.stop();
    if (m_socket != nullptr) {
        m_socket->disconnect(this);
        m_socket->abort();
        m_socket->deleteLater();
        m_socket = nullptr;
    }
}

void client::end(const outcome& result)
{
    m_timer.stop();
    if (result.is_broken) {
        drop();
    }
    if (auto started = std::exchange(m_on_started, nullptr)) {
        started(m_open);
        return;
    }
    if (auto answered = std::exchange(m_on_answer, nullptr)) {
        answered(result);
    }
}

void client::read()
{
    if (m_socket == nullptr) {
        return;
    }
    const QByteArray bytes = m_socket->readAll();
    m_partial.bytes += static_cast<std::size_t>(bytes.size());
    m_splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    while (m_socket != nullptr) {
        const auto line = m_splitter.next();
        if (line.has_error() || !line.value()) {
            return;
        }
        const std::string& text = *line.value();
        if (text.starts_with("ROW ")) {
            ++m_partial.rows;
        }
        else if (text.starts_with("DONE ")) {
            m_partial.done = true;
        }
        else if (text.starts_with("ERROR ")) {
            m_partial.error = text.substr(6, text.find(' ', 6) - 6);
            if (m_on_started) {
                outcome refused;
                refused.is_broken = true;
                end(refused);
                return;
            }
        }
        else if (text.starts_with("READY ")) {
            m_open = true;
            end(std::exchange(m_partial, {}));
        }
    }
}

} // namespace review
