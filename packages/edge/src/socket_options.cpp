#include "socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gypsumstep::edge {
namespace {

void set(int descriptor, int level, int name, int value)
{
    // A kernel without the option leaves its default; the time limits above still hold.
    (void)::setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

void set_options(QTcpSocket& socket, const liveness& chosen)
{
    const int descriptor = static_cast<int>(socket.socketDescriptor());
    set(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, chosen.idle_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, chosen.interval_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, chosen.probes);
    set(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, chosen.unacknowledged_ms);
}

} // namespace gypsumstep::edge
