#include "socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gypsumstep::edge {
namespace {

void set(int descriptor, int level, int name, int value)
{
    // A kernel without the option keeps its default; the timeouts of the layers above still
    // apply.
    (void)::setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

void set_socket_options(QTcpSocket& socket, const keepalive_settings& keepalive)
{
    const int descriptor = static_cast<int>(socket.socketDescriptor());
    set(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive.idle_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepalive.interval_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepalive.probes);
    set(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, keepalive.user_timeout_ms);
}

} // namespace gypsumstep::edge
