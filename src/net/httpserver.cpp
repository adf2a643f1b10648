#include "disconnectdetector.h"
#include "requesthead.h"
#include "serverconnection.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/httpserver.h"
#include "papayastep/net/task.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>

namespace papayastep::net {

namespace {

constexpr std::string_view logPrefix = "net";

bool isOutOfDescriptors(const beast::error_code &error)
{
    return error == asio::error::no_descriptors || error == beast::errc::too_many_files_open_in_system;
}

}

/// A connection that reads one request after the other and passes each to the handler.
class SerialConnection final : public ServerConnection,
                               public ServerExchange,
                               public std::enable_shared_from_this<SerialConnection>
{
public:
    SerialConnection(HttpServer &server, tcp::socket socket)
        : m_server(server)
        , m_stream(std::move(socket))
        , m_buffer(server.m_limits.headerBytes + readAhead)
        , m_registry(server.m_connections)
        , m_detector(m_stream.socket())
    {
        beast::error_code error;
        const auto remote = m_stream.socket().remote_endpoint(error);
        m_remoteAddress = error ? std::string() : remote.address().to_string();
        m_registry->insert(this);
    }

    ~SerialConnection() override
    {
        m_registry->erase(this);
    }

    Awaitable<void> run() override
    {
        beast::error_code error;
        m_stream.socket().set_option(tcp::no_delay(true), error);
        while (!m_closing) {
            const bool hasBytes = co_await waitForBytes();
            if (!hasBytes) {
                break;
            }
            ++m_server.m_inFlight;
            bool whole = false;
            try {
                whole = co_await readHead();
                if (whole) {
                    co_await handleRequest();
                }
            } catch (...) {
                // A request that remained counted would delay a planned stop until the stop times out.
                taskFaults(m_server.m_context).record("request", std::current_exception());
                whole = false;
            }
            --m_server.m_inFlight;
            if (!whole || m_server.m_stopping) {
                m_closing = true;
            }
        }
        shutDownAndClose();
    }

    /// Ends the wait for the next request. If its first bytes have been read but not yet processed, the wait ends with
    /// them and the request is answered: closing the connection here would drop a request that has been received, which
    /// its caller can't send again.
    void stop() override
    {
        if (m_waiting) {
            m_stream.cancel();
        }
    }

    const RequestHead &head() const override
    {
        return m_parser->get().base();
    }

    const std::string &remoteAddress() const override
    {
        return m_remoteAddress;
    }

    Awaitable<std::string> readBody() override
    {
        beast::error_code error;
        if (beast::iequals(head()[http::field::expect], "100-continue")) {
            co_await writeInterim("HTTP/1.1 100 Continue\r\n\r\n");
        }
        m_stream.expires_after(m_server.m_limits.bodyTimeout);
        m_parser->eager(true);
        while (!error && !m_parser->is_done()) {
            error = co_await parseMore();
        }
        m_stream.expires_never();
        if (error) {
            m_closing = true;
            throw base::Error(codeOfParserError(error), error.message());
        }
        co_return std::move(m_parser->get().body());
    }

    Awaitable<void> acknowledge() override
    {
        return writeInterim("HTTP/1.1 102 Processing\r\n\r\n");
    }

    Awaitable<bool> answer(WholeAnswer answer) override
    {
        http::response<http::string_body> response(std::move(answer.head), std::move(answer.body));
        prepareHead(response.base(), answer.close);
        setLength(response, head().method() == http::verb::head);
        m_answered = true;
        beast::error_code error;
        m_stream.expires_after(m_server.m_limits.writeTimeout);
        if (head().method() == http::verb::head) {
            http::response<http::empty_body> headOnly(std::move(response.base()));
            http::response_serializer<http::empty_body> serializer(headOnly);
            co_await http::async_write_header(m_stream, serializer, into(error));
        } else {
            co_await http::async_write(m_stream, response, into(error));
        }
        m_stream.expires_never();
        closeOnWriteError(error);
        co_return !error;
    }

    Awaitable<bool> beginStream(ResponseHead head) override
    {
        m_streamed = std::make_unique<http::response<http::buffer_body>>(std::move(head));
        m_streamed->body().data = nullptr;
        m_streamed->body().more = true;
        prepareHead(m_streamed->base(), false);
        if (!m_streamed->has_content_length()) {
            m_streamed->chunked(true);
        }
        m_serializer = std::make_unique<http::response_serializer<http::buffer_body>>(*m_streamed);
        m_answered = true;
        beast::error_code error;
        m_stream.expires_after(m_server.m_limits.writeTimeout);
        co_await http::async_write_header(m_stream, *m_serializer, into(error));
        m_stream.expires_never();
        closeOnWriteError(error);
        co_return !error;
    }

    Awaitable<bool> writePart(std::string part) override
    {
        return writeStreamBuffer(std::move(part), true);
    }

    Awaitable<bool> finishStream() override
    {
        const bool written = co_await writeStreamBuffer({}, false);
        m_streamFinished = written;
        co_return written;
    }

    void abort() override
    {
        m_closing = true;
        m_stream.close();
    }

    void watchClient(std::function<void()> gone) override
    {
        m_detector.start([self = weak_from_this(), gone = std::move(gone)] {
            const auto connection = self.lock();
            if (connection && !connection->m_answered) {
                gone();
            }
        });
    }

private:
    static constexpr std::size_t readAhead = 64 * 1024;

    /// Waits for the first bytes of a request. Returns false if the connection ends instead.
    Awaitable<bool> waitForBytes()
    {
        if (m_buffer.size() > 0) {
            co_return true;
        }
        beast::error_code error;
        m_stream.expires_after(m_server.m_limits.idleTimeout);
        m_waiting = true;
        auto got = co_await m_stream.async_read_some(m_buffer.prepare(readAhead / 8), into(error));
        m_waiting = false;
        beast::error_code ignored;
        if (error == asio::error::operation_aborted && m_stream.socket().available(ignored) > 0) {
            // The bytes arrived just before the stop. If the connection were closed now, their sender could not tell
            // whether the request has run.
            got = co_await m_stream.async_read_some(m_buffer.prepare(readAhead / 8), into(error));
        }
        m_buffer.commit(got);
        co_return !error;
    }

    Awaitable<bool> readHead()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server.m_limits.headerBytes));
        // The limit may have been raised since the connection was opened, and a buffer with the old limit would throw
        // when full.
        m_buffer.max_size(std::max(m_buffer.max_size(), m_server.m_limits.headerBytes + readAhead));
        m_parser->body_limit(m_server.m_limits.bodyBytes);
        m_answered = false;
        m_streamFinished = true;

        beast::error_code error;
        m_stream.expires_after(m_server.m_limits.headerTimeout);
        if (!co_await checkRawBytes()) {
            co_return false;
        }
        m_parser->eager(false);
        while (!error && !m_parser->is_header_done()) {
            error = co_await parseMore();
        }
        m_stream.expires_never();
        base::ResultCode code = error ? codeOfParserError(error) : checkHead(m_parser->get().base());
        if (code != base::ResultCode::Ok) {
            // The value is a named variable, since GCC 12 destroys the temporary of a ?: inside a co_await expression
            // twice.
            const std::string detail = error ? error.message() : "the header fields are not valid";
            co_await refuse(code, detail);
            co_return false;
        }
        co_return true;
    }

    /// Parses the bytes that have been read, and reads more if they are not enough. Beast throws for a field that is
    /// longer than it can count, in a header or after a chunked body. From its own read operations the exception would
    /// leave the event loop and end the requests of all callers; here it becomes an error of this request.
    Awaitable<beast::error_code> parseMore()
    {
        beast::error_code error;
        std::size_t used = 0;
        try {
            if (m_buffer.size() > 0) {
                used = m_parser->put(m_buffer.cdata(), error);
            }
        } catch (const std::length_error &) {
            error = http::error::header_limit;
        }
        m_buffer.consume(used);
        const bool madeNoProgress = !error && used == 0;
        if (!madeNoProgress && error != http::error::need_more) {
            co_return error;
        }
        error = co_await readMore();
        co_return error;
    }

    Awaitable<beast::error_code> readMore()
    {
        beast::error_code error = http::error::buffer_overflow;
        const std::size_t freeBytes = m_buffer.max_size() - m_buffer.size();
        if (freeBytes > 0) {
            const auto got
                = co_await m_stream.async_read_some(m_buffer.prepare(std::min(freeBytes, readAhead)), into(error));
            m_buffer.commit(got);
        }
        co_return error;
    }

    Awaitable<bool> checkRawBytes()
    {
        for (;;) {
            const HeadBlock block = checkHeadBlock(m_buffer.cdata(), m_server.m_limits.headerBytes);
            if (block.code != base::ResultCode::Ok) {
                const std::string detail(block.detail);
                co_await refuse(block.code, detail);
                co_return false;
            }
            if (block.isComplete) {
                co_return true;
            }
            beast::error_code error;
            const auto got = co_await m_stream.async_read_some(m_buffer.prepare(readAhead / 8), into(error));
            m_buffer.commit(got);
            if (error) {
                if (error == beast::error::timeout) {
                    const std::string detail = "the header was not received in time";
                    co_await refuse(base::ResultCode::RequestTooSlow, detail);
                }
                co_return false;
            }
        }
    }

    Awaitable<void> refuse(base::ResultCode code, const std::string &detail)
    {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Refused a request before routing." << base::field("code", number(code))
                                        << base::field("remote", m_remoteAddress);
        WholeAnswer answer = m_server.m_handler.refusal(code, detail);
        answer.close = true;
        m_closing = true;
        co_await this->answer(std::move(answer));
    }

    Awaitable<void> handleRequest()
    {
        try {
            co_await m_server.m_handler.handle(*this);
        } catch (const std::exception &error) {
            PAPAYASTEP_LOG(ERROR, logPrefix)
                << "A request handler threw an exception." << base::field("what", error.what());
            m_closing = true;
        }
        if (!m_answered || !m_streamFinished || !m_parser->is_done()) {
            // A body that was not read would be parsed as the next request, and the client must detect an incomplete
            // stream.
            m_closing = true;
        }
        if (m_parser->get().version() == 10 || !m_parser->get().keep_alive()) {
            m_closing = true;
        }
        m_detector.stop();
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
        m_serializer.reset();
        m_streamed.reset();
    }

    Awaitable<void> writeInterim(std::string_view text)
    {
        beast::error_code error;
        m_stream.expires_after(m_server.m_limits.writeTimeout);
        co_await asio::async_write(m_stream, asio::buffer(text.data(), text.size()), into(error));
        m_stream.expires_never();
        closeOnWriteError(error);
    }

    Awaitable<bool> writeStreamBuffer(std::string part, bool more)
    {
        m_streamFinished = false;
        m_streamed->body().data = more ? part.data() : nullptr;
        m_streamed->body().size = part.size();
        m_streamed->body().more = more;
        beast::error_code error;
        m_stream.expires_after(m_server.m_limits.writeTimeout);
        co_await http::async_write(m_stream, *m_serializer, into(error));
        m_stream.expires_never();
        if (error == http::error::need_buffer) {
            error = {};
        }
        closeOnWriteError(error);
        co_return !error;
    }

    void prepareHead(ResponseHead &head, bool close)
    {
        head.version(11);
        if (close || !m_parser->is_done() || m_server.m_closesAfterAnswers || !m_parser->get().keep_alive()) {
            head.set(http::field::connection, "close");
            m_closing = true;
        }
    }

    void closeOnWriteError(const beast::error_code &error)
    {
        if (error) {
            m_closing = true;
        }
    }

    void shutDownAndClose()
    {
        beast::error_code ignored;
        if (m_streamFinished) {
            m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        }
        m_stream.close();
    }

    HttpServer &m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::unique_ptr<http::response<http::buffer_body>> m_streamed;
    std::unique_ptr<http::response_serializer<http::buffer_body>> m_serializer;
    std::string m_remoteAddress;
    std::shared_ptr<HttpServer::ConnectionSet>
        m_registry; ///< Shared, since a connection may outlive its server at shutdown.
    DisconnectDetector m_detector;
    bool m_waiting = false; ///< Whether it waits for the first bytes of a request.
    bool m_closing = false;
    bool m_answered = false;
    bool m_streamFinished = true;
};

HttpServer::HttpServer(asio::io_context &context,
                       const Endpoint &endpoint,
                       ServerLimits limits,
                       RequestHandler &handler)
    : m_context(context)
    , m_acceptor(context)
    , m_limits(limits)
    , m_handler(handler)
    , m_connections(std::make_shared<ConnectionSet>())
{
    const auto address = toTcp(endpoint);
    beast::error_code error;
    m_acceptor.open(address.protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(address, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        throw base::Error(base::ResultCode::SettingsAddressInUse, toString(endpoint) + ": " + error.message());
    }
    spawnRestartingTask(m_context, "accept", [this] { return acceptLoop(); });
}

HttpServer::~HttpServer() = default;

void HttpServer::setLimits(const ServerLimits &limits)
{
    m_limits = limits;
}

void HttpServer::closeAfterAnswers()
{
    m_closesAfterAnswers = true;
}

void HttpServer::stop()
{
    m_stopping = true;
    m_closesAfterAnswers = true;
    beast::error_code ignored;
    m_acceptor.close(ignored);
    for (ServerConnection *connection : *m_connections) {
        connection->stop();
    }
}

std::size_t HttpServer::inFlight() const
{
    return m_inFlight;
}

std::size_t HttpServer::connections() const
{
    return m_connections->size();
}

const PipelineCounters &HttpServer::pipelineCounters() const
{
    return m_pipelineCounters;
}

std::uint64_t HttpServer::refusedConnections() const
{
    return m_refused;
}

Awaitable<void> HttpServer::acceptLoop()
{
    while (!m_stopping) {
        beast::error_code error;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, into(error));
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            co_return;
        }
        if (isOutOfDescriptors(error)) {
            co_await waitForConnection();
            const bool isAccepted = !m_stopping && acceptOrRefuse(socket);
            if (!isAccepted) {
                continue;
            }
        } else if (error) {
            co_await pauseAfterFailure();
            continue;
        }
        if (m_connections->size() >= m_limits.connections) {
            recordRefusal("limit");
            continue;
        }
        const auto connection = makeConnection(std::move(socket));
        spawnTask(m_context, "connection", [connection] { return connection->run(); });
    }
}

std::shared_ptr<ServerConnection> HttpServer::makeConnection(tcp::socket socket)
{
    if (m_limits.pipelinedRequests > 1) {
        return makePipelinedConnection(*this, std::move(socket));
    }
    return std::make_shared<SerialConnection>(*this, std::move(socket));
}

/// Without a free descriptor, accept() fails even if no connection is waiting, so calling it again at once would spin.
Awaitable<void> HttpServer::waitForConnection()
{
    beast::error_code error;
    if (m_spare.reacquire()) {
        co_await m_acceptor.async_wait(tcp::acceptor::wait_read, into(error));
    } else {
        co_await pauseAfterFailure();
    }
}

/// Accepts a waiting connection if a descriptor has become free. Otherwise the spare descriptor is released to accept
/// and close it, since a caller that is left in the listen queue gets no reply until its own timeout. Returns whether
/// `socket` is to be served.
bool HttpServer::acceptOrRefuse(tcp::socket &socket)
{
    beast::error_code error;
    m_acceptor.non_blocking(true, error);
    m_acceptor.accept(socket, error);
    if (!isOutOfDescriptors(error)) {
        return !error;
    }
    m_spare.release();
    m_acceptor.accept(socket, error);
    if (!error) {
        recordRefusal("descriptors");
    }
    socket.close(error);
    m_spare.reacquire();
    return false;
}

Awaitable<void> HttpServer::pauseAfterFailure()
{
    asio::steady_timer pause(m_context, std::chrono::milliseconds(50));
    beast::error_code ignored;
    co_await pause.async_wait(into(ignored));
}

void HttpServer::recordRefusal(std::string_view cause)
{
    ++m_refused;
    PAPAYASTEP_LOG(WARNING, logPrefix) << "Refused a connection."
                                       << base::field("code", number(base::ResultCode::TooManyConnections))
                                       << base::field("cause", cause);
}

}
