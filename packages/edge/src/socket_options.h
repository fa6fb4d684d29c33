/// \file
/// Socket options that end a connection when its peer no longer responds.
#pragma once

#include <QTcpSocket>

namespace gypsumstep::edge {

/// How soon a peer that no longer responds is detected.
struct keepalive_settings {
    int idle_s{1};             ///< idle time before the first probe, in seconds
    int interval_s{1};         ///< time between probes, in seconds
    int probes{2};             ///< unanswered probes that end the connection
    int user_timeout_ms{2500}; ///< longest time that sent bytes stay unacknowledged
};

/// Turns on keep-alive probes and turns off the delay of small messages (TCP_NODELAY). The
/// socket must be connected.
void set_socket_options(QTcpSocket& socket, const keepalive_settings& keepalive);

} // namespace gypsumstep::edge
