#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/asio.h"

/// How the system notices that the other end of a connection went away without a word.
namespace papayastep::net {

/// Probes an idle connection, so that it breaks after about `timeout`.
void enableKeepAlive(tcp::socket &socket, base::Duration timeout);

/// Bounds how long sent bytes may stay unacknowledged.
void setUserTimeout(tcp::socket &socket, base::Duration timeout);

}
