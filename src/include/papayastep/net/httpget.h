#pragma once

#include "papayastep/net/httpclient.h"

#include <string>

namespace papayastep::net {

/// A complete answer to a GET request.
struct GetResult
{
    unsigned status = 0;
    ResponseHead head;
    std::string body;
};

struct GetLimits
{
    base::Duration timeout = std::chrono::seconds(3); ///< For the whole exchange.
    std::size_t bodyBytes = 2'000'000; ///< An answer with a longer body is treated as incomplete.
};

/// Sends a GET request for `target` to `endpoint` over a connection of `pool`. The exchange is aborted at the timeout,
/// since a server that does not answer would otherwise block the caller for as long as the connection is open. Throws
/// Error(PlatformUnreachable) if no complete answer is received; the next call then uses a new connection.
Awaitable<GetResult> httpGet(
    asio::io_context &context, HttpPool &pool, Endpoint endpoint, std::string target, GetLimits limits);

}
