#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"
#include "papayastep/net/endpoint.h"
#include "papayastep/net/httpmessage.h"
#include "papayastep/net/sparedescriptor.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace papayastep::net {

/// What a server bounds, so that one caller can't take its memory, time or connections.
struct ServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    base::Duration headerTimeout = std::chrono::seconds(10); ///< For a header, once its first byte came.
    base::Duration bodyTimeout = std::chrono::seconds(20);
    base::Duration idleTimeout = std::chrono::seconds(60); ///< Between requests of a connection.
    base::Duration writeTimeout = std::chrono::seconds(30); ///< For a caller that does not read its answer.

    auto operator<=>(const ServerLimits &) const = default;
};

/// One request on a connection, and the means to answer it. Lives until its handler returns.
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    virtual const RequestHead &head() const = 0;
    virtual const std::string &remoteAddress() const = 0;

    /// Reads the whole body. Throws Error(RequestBodyTooLarge, RequestTooSlow or RequestMalformed).
    virtual Awaitable<std::string> readBody() = 0;

    /// Sends an interim (1xx) answer: tells the client that the request arrived.
    virtual Awaitable<void> acknowledge() = 0;

    /// Sends a whole answer. Returns false when the client is gone.
    virtual Awaitable<bool> answer(WholeAnswer answer) = 0;

    /// Sends the head of an answer whose body follows in parts. Returns false when the client is gone.
    virtual Awaitable<bool> beginStream(ResponseHead head) = 0;
    virtual Awaitable<bool> writePart(std::string part) = 0;
    /// Ends a stream cleanly. A stream that is not finished is cut: the client sees a broken message.
    virtual Awaitable<bool> finishStream() = 0;

    /// Calls `gone` once if the client closes its connection before it was answered.
    virtual void watchClient(std::function<void()> gone) = 0;
};

/// Answers requests. Called in the thread of the server's context.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual Awaitable<void> handle(ServerExchange &exchange) = 0;

    /// The answer to a request that the server itself refuses (malformed, too large, too many connections).
    virtual WholeAnswer refusal(base::ResultCode code, const std::string &detail) = 0;
};

class ServerConnection;
using ConnectionSet = std::set<ServerConnection *>;

/// An HTTP/1.1 server on one endpoint, strict about what it takes for a request.
class HttpServer
{
public:
    /// Listens at once. Throws Error(SettingsAddressInUse). A process out of file descriptors closes what connects.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, ServerLimits limits, RequestHandler &handler);
    ~HttpServer();

    /// Holds for requests that begin from now on.
    void setLimits(const ServerLimits &limits);

    /// From now on each answer ends its connection, so that callers go elsewhere without a request being lost.
    void closeAfterAnswers();

    /// Closes the listener and the idle connections; requests in flight go on, each with `Connection: close`.
    void stop();

    /// Requests being handled now.
    std::size_t inFlight() const;
    std::size_t connections() const;
    std::uint64_t refusedConnections() const;

private:
    friend class ServerConnection;
    using ConnectionSet = std::set<ServerConnection *>;
    Awaitable<void> acceptLoop();
    Awaitable<void> waitForConnection();
    bool acceptOrRefuse(tcp::socket &socket);
    Awaitable<void> pauseAfterFailure();
    void noteRefusal(std::string_view cause);

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    SpareDescriptor m_spare;
    ServerLimits m_limits;
    RequestHandler &m_handler;
    std::shared_ptr<ConnectionSet> m_connections;
    std::size_t m_inFlight = 0;
    std::uint64_t m_refused = 0;
    bool m_closesAfterAnswers = false;
    bool m_stopping = false;
};

}
