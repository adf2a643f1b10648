#pragma once

#include "papayastep/net/httpclient.h"

#include <string>

namespace papayastep::net {

/// A whole answer to a read.
struct GetResult
{
    unsigned status = 0;
    ResponseHead head;
    std::string body;
};

struct GetLimits
{
    base::Duration timeout = std::chrono::seconds(3); ///< For the whole answer.
    std::size_t bodyBytes = 2'000'000; ///< A longer answer counts as none.
};

/// Reads `target` at `endpoint` over a connection of `pool`. A server that is silent would otherwise hold its reader
/// for as long as the connection stands, so the exchange is cut at the timeout. Throws Error(PlatformUnreachable) where
/// no whole answer came.
Awaitable<GetResult> httpGet(
    asio::io_context &context, HttpPool &pool, Endpoint endpoint, std::string target, GetLimits limits);

}
