/// \file
/// Options that let a connection end when its other side went silent.
#pragma once

#include <QTcpSocket>

namespace gypsumstep::edge {

/// How soon silence on a connection is noticed.
struct liveness {
    int idle_s{1};               ///< rest before the first probe
    int interval_s{1};           ///< between probes
    int probes{2};               ///< unanswered ones until the connection ends
    int unacknowledged_ms{2500}; ///< bytes sent and not acknowledged
};

/// Sends small messages at once and probes the other side. The socket is connected.
void set_options(QTcpSocket& socket, const liveness& chosen);

} // namespace gypsumstep::edge
