/// \file
/// The settings of one daemon that it needs before it can reach other daemons or the platform.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/document/checked.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::settings {

/// An IP address and a TCP port.
struct endpoint {
    std::string address;   ///< IPv4 or IPv6 address in numeric form
    std::uint16_t port{0}; ///< 1 to 65535

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Returns "ADDRESS:PORT", with an IPv6 address in brackets.
[[nodiscard]] std::string to_string(const endpoint& value);

/// All settings of a daemon. docs/SETTINGS.md describes each key.
struct daemon_settings {
    std::string name;           ///< unique among the daemons
    std::string failure_domain; ///< failure domain of this VM
    endpoint clients;           ///< listens for PostgreSQL clients; settings key "callers"
    std::uint32_t max_connections{4096};
    std::uint32_t max_message_bytes{16U * 1024 * 1024};
    /// Bytes held for all client connections; 0 for four times max_message_bytes.
    std::uint32_t max_buffered_bytes{0};
    duration start_timeout{10'000'000};    ///< for a client's startup message
    duration message_timeout{120'000'000}; ///< for a message to be complete
    duration unread_timeout{30'000'000};   ///< for a client to accept some of its answers
    endpoint mesh;                         ///< listens for other daemons
    endpoint operators;                    ///< listens for gypsumstepctl and metric scrapers
    std::vector<endpoint> seeds;           ///< mesh endpoints that are contacted first
    std::string platform_url;              ///< http:// or https://
    std::uint32_t platform_timeout_ms{2000};
    std::string log_level{"info"};      ///< trace, debug, info, warn or error
    std::string log_file;               ///< empty: standard error
    std::vector<std::string> mesh_keys; ///< the first is sent to other daemons, all are accepted
    std::vector<std::string> operator_keys; ///< all are accepted
    std::string tls_certificate;            ///< PEM file; empty: no TLS for clients
    std::string tls_key;                    ///< PEM file
    duration shutdown_limit{30'000'000};    ///< time for requests in flight to finish at shutdown

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

/// Parses \p text; \p file_name only appears in findings. No finding contains a key.
[[nodiscard]] document::checked<daemon_settings> parse(std::string_view text,
                                                       const std::string& file_name);

/// Reads and parses a file. An unreadable file gives one finding with line 0.
[[nodiscard]] document::checked<daemon_settings> load_file(const std::string& path);

} // namespace gypsumstep::settings
