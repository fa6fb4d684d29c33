/// \file
/// A TCP proxy on loopback that harms the connections through it.
#pragma once

#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <map>

namespace gypsumstep::soak {

/// What happens to bytes on their way.
enum class link_trouble : std::uint8_t {
    none,
    delayed,        ///< each piece arrives late
    cut_one_way,    ///< nothing arrives at the callers; what they send goes through
    silenced,       ///< nothing arrives at either end; connections stay open
    refusing_resets ///< new connections are reset at once
};

/// Passes connections on to one target.
class fault_proxy : public QObject {
public:
    explicit fault_proxy(std::uint16_t target);
    ~fault_proxy() override;
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Listens on a free port of loopback; returns it.
    std::uint16_t listen();

    /// Bytes that a silenced link swallowed are lost: its connections are reset when it heals.
    void set_trouble(link_trouble trouble, std::chrono::milliseconds delay);

    /// Resets all open connections.
    void reset_all();

private:
    struct pair {
        QTcpSocket* caller{nullptr};
        QTcpSocket* target{nullptr};
    };

    void accept();
    void pass(std::uint64_t id, bool to_caller);
    void deliver(std::uint64_t id, bool to_caller, const QByteArray& bytes);
    void close(std::uint64_t id, bool reset);

    std::uint16_t m_target;
    QTcpServer m_server;
    std::map<std::uint64_t, pair> m_pairs;
    std::uint64_t m_next{1};
    link_trouble m_trouble{link_trouble::none};
    std::chrono::milliseconds m_delay{0};
};

} // namespace gypsumstep::soak
