#pragma once

#include "papayastep/net/httpserver.h"
#include "papayastep/node/servedanswer.h"

namespace papayastep::node {

/// Forwards a large answer as it arrives, applying the backpressure of the client, until the deadline of its attempt at
/// the latest. Returns whether the client received all of it; if not, the client's message is aborted and never ended
/// cleanly.
net::Awaitable<bool> forwardStream(net::asio::io_context &io,
                                   const base::Clock &clock,
                                   net::ServerExchange &exchange,
                                   ServedAnswer &answer,
                                   net::ResponseHead head);

}
