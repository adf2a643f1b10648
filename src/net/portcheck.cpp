#include "papayastep/net/portcheck.h"

#include "papayastep/base/clock.h"

#include <chrono>

namespace papayastep::net {

namespace {

constexpr base::Duration connectTimeout = std::chrono::milliseconds(100);

/// A process that ends closes its connections one after the other, and its listening socket possibly last.
constexpr base::Duration delayBeforeSecondCheck = std::chrono::milliseconds(20);

Awaitable<beast::error_code> connectOnce(asio::io_context &context, Endpoint endpoint)
{
    beast::tcp_stream stream(context);
    stream.expires_after(connectTimeout);
    beast::error_code error;
    co_await stream.async_connect(toTcp(endpoint), into(error));
    co_return error;
}

}

Awaitable<bool> refusesConnections(asio::io_context &context, Endpoint endpoint)
{
    beast::error_code error = co_await connectOnce(context, endpoint);
    if (!error) {
        asio::steady_timer delay(context, delayBeforeSecondCheck);
        beast::error_code ignored;
        co_await delay.async_wait(into(ignored));
        error = co_await connectOnce(context, endpoint);
    }
    co_return error == asio::error::connection_refused;
}

}
