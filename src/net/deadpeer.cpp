#include "deadpeer.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayastep::net {

namespace {

void setOption(tcp::socket &socket, int level, int name, int value)
{
    // Fails only if the system lacks the option; the timeouts of requests still apply then.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}

void enableKeepAlive(tcp::socket &socket, base::Duration timeout)
{
    constexpr int probes = 2;
    const auto probeInterval = std::chrono::duration_cast<std::chrono::seconds>(timeout / probes).count();
    const int seconds = std::max(1, static_cast<int>(probeInterval));
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

void setUserTimeout(tcp::socket &socket, base::Duration timeout)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds));
}

}
