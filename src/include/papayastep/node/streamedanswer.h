#pragma once

#include "papayastep/net/httpserver.h"
#include "papayastep/node/servedanswer.h"

namespace papayastep::node {

/// Passes a large answer on as it comes, with the client's backpressure. Returns whether the client got all of it; if
/// not, its message is broken, never ended cleanly.
net::Awaitable<bool> forwardStream(net::ServerExchange &exchange, ServedAnswer &answer, net::ResponseHead head);

}
