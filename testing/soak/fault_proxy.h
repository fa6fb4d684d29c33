/// \file
/// A TCP proxy on loopback that injects network faults into the connections through it.
#pragma once

#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <map>

namespace gypsumstep::soak {

/// A network fault of a link.
enum class link_fault : std::uint8_t {
    none,
    delayed,     ///< every chunk of bytes is delivered after a delay
    cut_one_way, ///< bytes to the clients are dropped; bytes to the target pass
    silenced,    ///< bytes in both directions are dropped; connections stay open
    resetting    ///< new connections are reset immediately
};

/// Forwards connections to one target port on loopback.
class fault_proxy : public QObject {
public:
    explicit fault_proxy(std::uint16_t target);
    ~fault_proxy() override;
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Listens on a free port of loopback. Returns the port; 0 on failure.
    std::uint16_t listen();

    /// Sets the fault of the link; \p delay applies to link_fault::delayed. When a fault that
    /// drops bytes ends, the open connections are reset, because the dropped bytes are lost.
    void set_fault(link_fault fault, std::chrono::milliseconds delay);

    /// Resets all open connections.
    void reset_all();

private:
    struct proxied_connection {
        QTcpSocket* client{nullptr};
        QTcpSocket* target{nullptr};
    };

    void accept();
    void forward(std::uint64_t id, bool to_client);
    void deliver(std::uint64_t id, bool to_client, const QByteArray& bytes);
    void close(std::uint64_t id, bool reset);

    std::uint16_t m_target;
    QTcpServer m_server;
    std::map<std::uint64_t, proxied_connection> m_connections;
    std::uint64_t m_next_id{1};
    link_fault m_fault{link_fault::none};
    std::chrono::milliseconds m_delay{0};
};

} // namespace gypsumstep::soak
