#include "papayastep/node/hophandler.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/signal.h"
#include "papayastep/net/task.h"
#include "papayastep/node/refusals.h"
#include "papayastep/node/streamedanswer.h"

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "hop";

/// The pending answer of the serving side, shared by the coroutines of the serving side and of the connection.
struct Pending
{
    explicit Pending(net::asio::io_context &io)
        : changed(io)
    {
    }
    net::Signal changed;
    std::optional<ServedAnswer> answer;
    bool hangSuspected = false; ///< The attempt seems to hang, and the entry has not been notified yet.
};

net::ClientRequest backendRequest(const net::RequestHead &head, std::string body)
{
    net::ClientRequest request;
    request.head.method_string(head.method_string());
    request.head.target(head.target());
    net::copyEndToEnd(head, request.head);
    request.head.erase(net::http::field::content_length);
    request.body = net::SharedBody(std::move(body));
    return request;
}

}

HopHandler::HopHandler(NodeContext &context, ServingNode &serving)
    : m_context(context)
    , m_serving(serving)
{
}

net::Awaitable<void> HopHandler::handle(net::ServerExchange &exchange)
{
    wire::HopRequest hop;
    std::string body;
    if (!co_await authenticate(exchange, hop, body)) {
        co_return;
    }
    auto pending = std::make_shared<Pending>(m_context.io);
    auto serve = [this,
                  pending,
                  hop,
                  request = backendRequest(exchange.head(), std::move(body))]() mutable -> net::Awaitable<void> {
        auto onHangSuspected = [pending] {
            pending->hangSuspected = true;
            pending->changed.notify();
        };
        pending->answer = co_await m_serving.serve(std::move(hop), std::move(request), std::move(onHangSuspected));
        pending->changed.notify();
    };
    net::spawnTask(m_context.io, "serve", std::move(serve));
    exchange.watchClient([this, id = hop.requestId(), attempt = static_cast<int>(hop.attempt)] {
        m_serving.entryDisconnected(id, attempt);
    });

    // A fast answer needs no acknowledgement; only a slower one is acknowledged by a separate message.
    const auto acknowledgeAt = m_context.clock.now() + m_context.settings.acknowledgeAfter;
    const bool quick = pending->answer || co_await pending->changed.waitUntil(acknowledgeAt);
    if (!quick) {
        co_await exchange.acknowledge();
    }
    while (!pending->answer) {
        const bool reportHang = std::exchange(pending->hangSuspected, false);
        if (reportHang) {
            // A second acknowledgement tells the entry that the attempt seems to hang; the first one only confirms
            // receipt.
            co_await exchange.acknowledge();
            continue;
        }
        co_await pending->changed.waitUntil(m_context.clock.now() + std::chrono::hours(1));
    }
    co_await forwardAnswer(exchange, std::move(*pending->answer));
}

net::WholeAnswer HopHandler::refusal(base::ResultCode code, const std::string &detail)
{
    return refusalAnswer(notRunRefusal(code), {}, detail);
}

net::Awaitable<bool> HopHandler::authenticate(net::ServerExchange &exchange, wire::HopRequest &hop, std::string &body)
{
    auto code = base::ResultCode::HopUnauthenticated;
    try {
        const net::RequestHead &head = exchange.head();
        const auto sealed = head[wire::hopHeader];
        if (!sealed.empty()) {
            body = co_await exchange.readBody();
            hop = m_context.hopCodec.openRequest(
                net::view(sealed), net::view(head.method_string()), net::view(head.target()), body);
            co_return true;
        }
    } catch (const base::Error &error) {
        code = error.code();
    }
    PAPAYASTEP_LOG(WARNING, logPrefix) << "Refused a request that is not a hop of this fleet."
                                       << base::field("remote", exchange.remoteAddress())
                                       << base::field("code", number(code));
    net::WholeAnswer answer = refusal(code, {});
    answer.close = true;
    co_await exchange.answer(std::move(answer));
    co_return false;
}

net::Awaitable<void> HopHandler::forwardAnswer(net::ServerExchange &exchange, ServedAnswer answer)
{
    net::ResponseHead head;
    net::copyEndToEnd(answer.head, head);
    head.set(wire::hopReplyHeader, m_context.hopCodec.sealReply(answer.reply));
    if (answer.outcome() != wire::HopOutcome::Answered) {
        head.result(net::http::status::service_unavailable);
        net::WholeAnswer empty(std::move(head), {});
        co_await exchange.answer(std::move(empty));
        co_return;
    }
    head.result(answer.head.result_int());
    if (!answer.remainingBody) {
        net::WholeAnswer whole(std::move(head), std::move(answer.body));
        co_await exchange.answer(std::move(whole));
        co_return;
    }
    co_await forwardStream(m_context.io, m_context.clock, exchange, answer, std::move(head));
}

}
