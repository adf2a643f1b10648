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

/// Limits of a server, which prevent a single caller from using up its memory, time or connections.
struct ServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    base::Duration headerTimeout = std::chrono::seconds(10); ///< Time from the first byte of a header to its end.
    base::Duration bodyTimeout = std::chrono::seconds(20);
    base::Duration idleTimeout = std::chrono::seconds(60); ///< Maximum time between two requests of a connection.
    base::Duration writeTimeout = std::chrono::seconds(30); ///< Per write, for callers that do not read their answer.
    /// Number of requests of a connection that are handled concurrently. Connections that were opened while it was 1
    /// continue to handle one request after the other.
    std::size_t pipelinedRequests = 1;
    std::size_t pipelinedBytes = 256 * 1024; ///< Of the answers of a connection that wait for earlier ones.

    auto operator<=>(const ServerLimits &) const = default;
};

/// One request on a connection, with the operations to answer it. It is valid until its handler returns.
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    virtual const RequestHead &head() const = 0;
    virtual const std::string &remoteAddress() const = 0;

    /// Reads the whole body. Throws Error(RequestBodyTooLarge, RequestTooSlow or RequestMalformed).
    virtual Awaitable<std::string> readBody() = 0;

    /// Sends an interim (1xx) answer, which tells the client that the request has arrived.
    virtual Awaitable<void> acknowledge() = 0;

    /// Sends a complete answer. Returns false if the client has disconnected.
    virtual Awaitable<bool> answer(WholeAnswer answer) = 0;

    /// Sends the head of an answer whose body follows in parts. Returns false if the client has disconnected.
    virtual Awaitable<bool> beginStream(ResponseHead head) = 0;
    virtual Awaitable<bool> writePart(std::string part) = 0;
    /// Ends a stream cleanly. A stream that is not finished is cut off, so that the client receives an incomplete
    /// message.
    virtual Awaitable<bool> finishStream() = 0;

    /// Closes the connection at once. A write in progress returns false.
    virtual void abort() = 0;

    /// Calls `gone` once if the client closes its connection before it is answered.
    virtual void watchClient(std::function<void()> gone) = 0;
};

/// Counts what the pipelined connections of a server do.
struct PipelineCounters
{
    std::uint64_t startedConcurrently = 0; ///< Requests that were started while an earlier one was open.
    std::uint64_t pauses = 0; ///< Times that a connection was not read further because of a bound.
};

/// Answers requests. Called in the thread of the server's context.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual Awaitable<void> handle(ServerExchange &exchange) = 0;

    /// Makes the answer to a request that the server itself refuses (malformed, too large, too many connections).
    virtual WholeAnswer refusal(base::ResultCode code, const std::string &detail) = 0;
};

class ServerConnection;

/// An HTTP/1.1 server on one endpoint that checks strictly what it accepts as a request.
class HttpServer
{
public:
    /// Starts to listen. Throws Error(SettingsAddressInUse) if it can't. While the process has no free file descriptor,
    /// new connections are closed.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, ServerLimits limits, RequestHandler &handler);
    ~HttpServer();

    /// Sets the limits of the requests that begin after this call.
    void setLimits(const ServerLimits &limits);

    /// Closes each connection after its next answer, so that callers switch to another node without losing a request.
    void closeAfterAnswers();

    /// Closes the listener and the idle connections. Requests in flight continue, and are answered with `Connection:
    /// close`.
    void stop();

    /// Number of requests that are being handled.
    std::size_t inFlight() const;
    std::size_t connections() const;
    std::uint64_t refusedConnections() const;
    const PipelineCounters &pipelineCounters() const;

private:
    friend class SerialConnection;
    friend class PipelinedConnection;
    using ConnectionSet = std::set<ServerConnection *>;
    Awaitable<void> acceptLoop();
    std::shared_ptr<ServerConnection> makeConnection(tcp::socket socket);
    Awaitable<void> waitForConnection();
    bool acceptOrRefuse(tcp::socket &socket);
    Awaitable<void> pauseAfterFailure();
    void recordRefusal(std::string_view cause);

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    SpareDescriptor m_spare;
    ServerLimits m_limits;
    RequestHandler &m_handler;
    std::shared_ptr<ConnectionSet> m_connections;
    std::size_t m_inFlight = 0;
    std::uint64_t m_refused = 0;
    PipelineCounters m_pipelineCounters;
    bool m_closesAfterAnswers = false;
    bool m_stopping = false;
};

}
