#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/endpoint.h"
#include "papayastep/net/httpmessage.h"
#include "papayastep/net/sharedbody.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayastep::net {

/// How far an exchange has progressed. The order matters: the request of an exchange that is not beyond Connecting has
/// not reached the server.
enum class ExchangeProgress { Connecting, Sending, Acknowledged, HeadReceived, Complete };

/// Why an exchange ended without a complete answer.
enum class ExchangeFailure {
    None,
    ConnectionRefused,
    ConnectTimeout,
    Broken,
    Cancelled,
    Malformed,
    InvalidStatus ///< The number in the place of the status is none; head() has the head in which it stands.
};

struct ClientRequest
{
    RequestHead head;
    SharedBody body;
};

class ClientConnection;

/// One request and its answer on a connection that no other exchange uses at the same time. The connection returns to
/// its pool only after a complete answer in time, so that a late answer is never taken for the answer to another
/// request. An answer without a length is complete only if the server has closed its side of the connection in order.
class HttpExchange
{
public:
    HttpExchange(asio::io_context &context, class HttpPool &pool, const Endpoint &endpoint);
    ~HttpExchange();

    /// Sets the function that is called when the server acknowledges the request with an interim (1xx) answer.
    void onAcknowledged(std::function<void()> callback);

    /// Sets the function that checks the head of each final answer. An answer that it rejects belongs to another
    /// request (a server answered twice or late on this connection): its body is read to the end and discarded, and the
    /// exchange waits for the next answer.
    void onHead(std::function<bool(const ResponseHead &head)> accept);

    /// Sends `request` and reads the answer until it is complete or `bufferBytes` of its body are buffered. Network
    /// errors are never thrown; failure() returns them.
    Awaitable<void> run(ClientRequest request, std::size_t bufferBytes);

    /// Aborts the exchange at once by closing the connection. run() returns soon afterwards.
    void cancel();

    ExchangeProgress progress() const;
    ExchangeFailure failure() const;

    const ResponseHead &head() const;
    /// The buffered part of the body, which is the whole body if progress() is Complete after run().
    std::string &body();
    /// Reads the next part of a body that is larger than the buffered part. Returns an empty string at the end of the
    /// body (progress() is Complete) or after a failure.
    Awaitable<std::string> readPart();

private:
    Awaitable<bool> connect(bool &reused);
    struct Sending;

    void beginSending(ClientRequest request);
    Awaitable<bool> readHead(bool isHead);
    Awaitable<bool> readAnyHead(bool isHead);
    Awaitable<bool> discardBody();
    Awaitable<std::string> readBytes();
    Awaitable<bool> hasEndedInOrder();
    Awaitable<void> readBufferedBody(std::size_t bufferBytes);
    bool mayReuse() const;
    void fail(const beast::error_code &error);
    void finish();

    asio::io_context &m_context;
    HttpPool &m_pool;
    Endpoint m_endpoint;
    std::shared_ptr<ClientConnection> m_connection;
    std::shared_ptr<Sending> m_sending;
    std::function<bool(const ResponseHead &)> m_accept;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::function<void()> m_acknowledged;
    std::string m_body;
    ResponseHead m_head;
    ExchangeProgress m_progress = ExchangeProgress::Connecting;
    ExchangeFailure m_failure = ExchangeFailure::None;
    bool m_cancelled = false;
    bool m_foreignAnswer = false; ///< Whether an answer to another request arrived on this connection.
};

/// A pool of idle keep-alive connections to servers, by endpoint.
class HttpPool
{
public:
    struct Limits
    {
        std::size_t idlePerEndpoint = 64;
        /// Shorter than the idle timeouts of the servers, so that a server does not close a connection first.
        base::Duration idleTimeout = std::chrono::seconds(20);
        base::Duration connectTimeout = std::chrono::milliseconds(500);
        /// Time after which a connection counts as broken if its peer has disappeared without closing it. Without it, a
        /// request on such a connection hangs until its deadline. The timeout is many times as long as three round
        /// trips with the scheduling delays.
        base::Duration deadPeerTimeout = std::chrono::seconds(2);
    };

    HttpPool(asio::io_context &context, const base::Clock &clock, Limits limits);
    ~HttpPool();

    const Limits &limits() const;

    /// Removes an idle connection that is still open from the pool and returns it, or returns null if there is none.
    std::shared_ptr<ClientConnection> take(const Endpoint &endpoint);
    /// Returns `connection` to the pool. `idleTimeout` is the idle time after which the server has announced to close
    /// it.
    void put(const Endpoint &endpoint,
             std::shared_ptr<ClientConnection> connection,
             std::optional<base::Duration> idleTimeout);

    /// Closes the connections that have been idle for too long.
    void sweep();
    /// Closes the idle connections to `endpoint`, after one of them has shown that they may no longer work.
    void closeIdle(const Endpoint &endpoint);
    void clear();

private:
    struct Idle
    {
        base::TimePoint until;
        std::shared_ptr<ClientConnection> connection;
    };

    asio::io_context &m_context;
    const base::Clock &m_clock;
    Limits m_limits;
    std::map<Endpoint, std::vector<Idle>> m_idle;
};

}
