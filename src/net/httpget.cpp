#include "papayastep/net/httpget.h"

#include "papayastep/base/error.h"

namespace papayastep::net {

Awaitable<GetResult> httpGet(
    asio::io_context &context, HttpPool &pool, Endpoint endpoint, std::string target, GetLimits limits)
{
    auto exchange = std::make_shared<HttpExchange>(context, pool, endpoint);
    ClientRequest request;
    request.head.method(http::verb::get);
    request.head.target(target);
    request.head.set(http::field::host, toString(endpoint));
    asio::steady_timer timer(context, limits.timeout);
    timer.async_wait([weak = std::weak_ptr<HttpExchange>(exchange)](const beast::error_code &error) {
        const auto overdue = weak.lock();
        if (!error && overdue) {
            overdue->cancel();
        }
    });
    co_await exchange->run(std::move(request), limits.bodyBytes);
    if (exchange->progress() != ExchangeProgress::Complete) {
        // Connections often go silent together, and each of them would cost a call with its timeout.
        pool.closeIdle(endpoint);
        throw base::Error(base::ResultCode::PlatformUnreachable, toString(endpoint));
    }
    GetResult result;
    result.status = exchange->head().result_int();
    result.head = exchange->head();
    result.body = std::move(exchange->body());
    co_return result;
}

}
