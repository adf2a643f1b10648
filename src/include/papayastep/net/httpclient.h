#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/endpoint.h"
#include "papayastep/net/httpmessage.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayastep::net {

/// How far an exchange came. The order matters: what is not beyond Connecting was never seen by the server.
enum class ExchangeProgress { Connecting, Sending, Acknowledged, HeadReceived, Complete };

/// Why an exchange ended without a whole answer.
enum class ExchangeFailure { None, ConnectionRefused, ConnectTimeout, Broken, Cancelled, Malformed };

struct ClientRequest
{
    RequestHead head;
    std::string body;
};

class ClientConnection;

/// One request and its answer on a connection of its own. The connection goes back to its pool only after a whole,
/// timely answer: a late answer can then never be taken for the answer to another request.
class HttpExchange
{
public:
    HttpExchange(asio::io_context &context, class HttpPool &pool, const Endpoint &endpoint);
    ~HttpExchange();

    /// Called when the server acknowledged the request with an interim (1xx) answer.
    void onAcknowledged(std::function<void()> callback);

    /// `accept` sees the head of each final answer. One that it refuses belongs to another request (a server answered
    /// twice or late on this connection): it is read to its end and dropped, and the next one is awaited.
    void onHead(std::function<bool(const ResponseHead &head)> accept);

    /// Sends `request` and reads the answer until it is whole or `holdBytes` of its body are held.
    /// Never throws for what the network does; see failure().
    Awaitable<void> run(ClientRequest request, std::size_t holdBytes);

    /// Ends the exchange at once by closing the connection. run() returns soon after.
    void cancel();

    ExchangeProgress progress() const;
    ExchangeFailure failure() const;

    const ResponseHead &head() const;
    /// What was read of the body: all of it once progress() is Complete.
    std::string &body();
    /// Reads the next part of a body larger than the held part. Empty at its end (progress() Complete) or failure.
    Awaitable<std::string> readPart();

private:
    Awaitable<bool> connect(bool &reused);
    struct Sending;

    void beginSending(ClientRequest request);
    Awaitable<bool> readHead(bool isHead);
    Awaitable<bool> readAnyHead(bool isHead);
    Awaitable<bool> dropBody();
    Awaitable<std::string> readBytes();
    Awaitable<void> readHeldBody(std::size_t holdBytes);
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
    bool m_foreignAnswer = false; ///< An answer to another request came on this connection.
};

/// Idle keep-alive connections to servers, by endpoint.
class HttpPool
{
public:
    struct Limits
    {
        std::size_t idlePerEndpoint = 64;
        base::Duration idleTimeout
            = std::chrono::seconds(20); ///< Shorter than the servers', so that they don't close first.
        base::Duration connectTimeout = std::chrono::milliseconds(500);
        /// A connection whose other end went away without a word counts as broken after it. Without that, a request on
        /// it hangs until its deadline; three round trips and some scheduling fit in many times over.
        base::Duration deadPeerTimeout = std::chrono::seconds(2);
    };

    HttpPool(asio::io_context &context, const base::Clock &clock, Limits limits);
    ~HttpPool();

    const Limits &limits() const;

    /// An idle connection that is still open, or null.
    std::shared_ptr<ClientConnection> take(const Endpoint &endpoint);
    /// `idleTimeout`: after which the server says that it closes the connection.
    void put(const Endpoint &endpoint,
             std::shared_ptr<ClientConnection> connection,
             std::optional<base::Duration> idleTimeout);

    /// Closes connections that were idle for too long.
    void sweep();
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
