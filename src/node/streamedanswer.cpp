#include "papayastep/node/streamedanswer.h"

namespace papayastep::node {

namespace {

/// Ends a stream at the deadline of its attempt, whether it waits for the backend server or for the client.
class StreamDeadline
{
public:
    StreamDeadline(net::asio::io_context &io, const base::Clock &clock, net::ServerExchange &exchange, AnswerBody &body)
        : m_timer(io)
        , m_stream(std::make_shared<Stream>(Stream{exchange, body, false}))
    {
        m_timer.expires_after(body.deadline() - clock.now());
        m_timer.async_wait([weak = std::weak_ptr<Stream>(m_stream)](const net::beast::error_code &error) {
            const auto stream = weak.lock();
            if (error || !stream) {
                return;
            }
            stream->body.abort();
            // A stream that waits for earlier answers of its connection must not end those.
            if (stream->hasBegun) {
                stream->exchange.abort();
            }
        });
    }

    void recordBegin()
    {
        m_stream->hasBegun = true;
    }

private:
    struct Stream
    {
        net::ServerExchange &exchange;
        AnswerBody &body;
        bool hasBegun = false;
    };

    net::asio::steady_timer m_timer;
    std::shared_ptr<Stream> m_stream; ///< Only the timer's handler may outlive this object, and it has a weak pointer.
};

}

net::Awaitable<bool> forwardStream(net::asio::io_context &io,
                                   const base::Clock &clock,
                                   net::ServerExchange &exchange,
                                   ServedAnswer &answer,
                                   net::ResponseHead head)
{
    StreamDeadline deadline(io, clock, exchange, *answer.remainingBody);
    bool open = co_await exchange.beginStream(std::move(head));
    deadline.recordBegin();
    if (open && !answer.body.empty()) {
        open = co_await exchange.writePart(std::move(answer.body));
    }
    while (open && !answer.remainingBody->complete()) {
        std::string part = co_await answer.remainingBody->readPart();
        if (part.empty()) {
            break;
        }
        open = co_await exchange.writePart(std::move(part));
    }
    if (!open || !answer.remainingBody->complete()) {
        co_return false;
    }
    co_return co_await exchange.finishStream();
}

}
