/// \file
/// One daemon process with stand-ins of the platform, and the checks that hold after every crowd.
#pragma once

#include "crowd.h"
#include "daemon_set.h"
#include "group_standin.h"
#include "store_standin.h"

#include <QTimer>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace gypsumstep::hostile {

/// The limits that the settings of the daemon state. Lower than those of the smallest VM (160 MB,
/// 4,300 descriptors), so that a small crowd exceeds them on code without protection.
inline constexpr std::uint64_t memory_mb = 64;
inline constexpr std::uint64_t max_descriptors = 400;

/// The limits that the settings of a daemon state.
struct stated_limits {
    std::uint64_t memory_mb{hostile::memory_mb};
    std::uint64_t max_descriptors{hostile::max_descriptors};
    bool usual_times{false}; ///< default time limits instead of short ones
};

/// Those of the smallest VM.
inline constexpr stated_limits smallest_vm{160, 4300, true};

/// Descriptors that are reserved for files: sockets may use only the others.
inline constexpr std::uint64_t reserved_for_files = 200;

/// Largest message that a client may send, in bytes.
inline constexpr std::size_t max_message_bytes = 1UL << 20;

/// A line of \p size bytes with its end, a legal statement.
[[nodiscard]] std::string long_statement(std::size_t size);

/// A daemon that serves ordinary requests when the constructor returns.
class hostile_set : public QObject {
public:
    explicit hostile_set(stated_limits limits = {});

    [[nodiscard]] std::uint16_t client_port() const { return m_daemons->client_port(0); }
    [[nodiscard]] std::uint16_t readiness_port() const;
    [[nodiscard]] std::uint16_t forwarding_port() const;
    [[nodiscard]] std::uint16_t relay_port() const;
    [[nodiscard]] adapter::standins::group_standin& group() { return m_group; }

    /// Checks that the process lives and is within its limits.
    void check_limits() const;

    /// Checks the limits, and that an ordinary request is answered.
    void check_served() const;

private:
    void write_registrations();

    stated_limits m_limits;
    adapter::standins::group_standin m_group;
    adapter::standins::store_standin m_store;
    std::array<std::uint16_t, adapter::standins::group_standin::server_count> m_server_ports{};
    QTimer m_registration_timer;
    std::unique_ptr<soak::daemon_set> m_daemons;
    qint64 m_process{0};
};

} // namespace gypsumstep::hostile
