#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/asio.h"

/// Socket options by which the operating system detects that the peer of a connection disappeared without closing it.
namespace papayastep::net {

/// Enables TCP keep-alive probes, so that an idle connection to a dead peer breaks after about `timeout`.
void enableKeepAlive(tcp::socket &socket, base::Duration timeout);

/// Sets the TCP user timeout: the time for which sent bytes may stay unacknowledged before the connection breaks.
void setUserTimeout(tcp::socket &socket, base::Duration timeout);

}
