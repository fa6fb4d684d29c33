/// \file
/// Passes HTTP calls on to a server of the platform; chosen ones late and without an answer.
#pragma once

#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

class late_calls : public QObject {
public:
    /// \param delay returns how late a call is carried out, which then gets no answer; nothing for
    ///     one that is carried out at once
    late_calls(std::uint16_t target,
               std::function<std::optional<std::chrono::milliseconds>()> delay,
               std::function<void(const std::string&)> note);

    /// Listens on a free port of the loopback interface and returns it.
    std::uint16_t listen();

private:
    void read(QTcpSocket* caller);
    void carry_out(const QByteArray& request, QTcpSocket* caller);

    std::uint16_t m_target;
    std::function<std::optional<std::chrono::milliseconds>()> m_delay;
    std::function<void(const std::string&)> m_note;
    std::map<QTcpSocket*, QByteArray> m_received;
    QTcpServer m_server; ///< last member: closing its connections changes the one above
};

} // namespace review
