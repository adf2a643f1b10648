#pragma once

#include "papayastep/net/asio.h"
#include "papayastep/net/endpoint.h"

/// Finds out whether a server still listens.
namespace papayastep::net {

/// Whether `endpoint` refuses connections, as when its process has ended. False if it accepts one or does not respond
/// in time. To be called after a connection to it has broken.
Awaitable<bool> refusesConnections(asio::io_context &context, Endpoint endpoint);

}
