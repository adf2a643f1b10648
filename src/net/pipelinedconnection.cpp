#include "disconnectdetector.h"
#include "pipelinewindow.h"
#include "requesthead.h"
#include "serverconnection.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/httpserver.h"
#include "papayastep/net/task.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <optional>
#include <vector>

namespace papayastep::net {

namespace {

constexpr std::string_view logPrefix = "net";
constexpr std::size_t readAhead = 64 * 1024;
constexpr std::size_t bytesPerRead = readAhead / 8;

/// Time to discard what the caller has sent behind a closing answer. Closing the socket with unread bytes would reset
/// the connection, which deletes answers that the caller has not read yet.
constexpr std::chrono::milliseconds lingerTime(500);

std::size_t sizeOf(const WholeAnswer &answer)
{
    constexpr std::size_t separators = 4;
    std::size_t bytes = answer.body.size();
    for (const auto &field : answer.head) {
        bytes += field.name_string().size() + field.value().size() + separators;
    }
    return bytes;
}

/// Calls an action after a time unless it is stopped before.
class OperationTimer
{
public:
    explicit OperationTimer(const tcp::socket::executor_type &executor)
        : m_timer(executor)
    {
    }

    void start(base::Duration time, std::function<void()> action)
    {
        m_current = std::make_shared<std::function<void()>>(std::move(action));
        m_timer.expires_after(time);
        m_timer.async_wait([current = std::weak_ptr(m_current)](const beast::error_code &error) {
            const auto expired = current.lock();
            if (!error && expired) {
                (*expired)();
            }
        });
    }

    void stop()
    {
        m_current.reset();
        m_timer.cancel();
    }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<std::function<void()>> m_current;
};

}

class PipelinedExchange;

/// A connection on which several requests are handled concurrently. One coroutine reads the heads and starts the
/// handlers, each of which has a coroutine of its own and writes its answer when its turn comes.
class PipelinedConnection final : public ServerConnection, public std::enable_shared_from_this<PipelinedConnection>
{
public:
    PipelinedConnection(HttpServer &server, tcp::socket socket);
    ~PipelinedConnection() override;

    Awaitable<void> run() override;
    void stop() override;

private:
    friend class PipelinedExchange;

    Awaitable<bool> readRequest();
    template<typename Condition>
    Awaitable<void> pauseUntil(const Condition &condition);
    void countPause();
    bool mayRead();
    bool mayStart();
    void updateWindow();

    Awaitable<bool> readHead();
    void beginHead();
    bool refuse(base::ResultCode code, std::string detail);
    Awaitable<beast::error_code> readMore();
    Awaitable<beast::error_code> parseMore(RequestParser &parser);
    Awaitable<beast::error_code> readBody(RequestParser &parser);
    void startReadTimer(base::Duration time);
    void setReadingHead(bool isReading);

    void startRequest();
    Awaitable<void> handle(std::shared_ptr<PipelinedExchange> exchange, bool isRefused);
    Awaitable<void> sendRefusal(PipelinedExchange &exchange);
    void complete(PipelinedExchange &exchange);

    template<typename Write>
    Awaitable<bool> timedWrite(const Write &write);
    void disconnect();
    void abort();
    void wakeAll();
    Awaitable<void> close();

    HttpServer &m_server;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    std::shared_ptr<HttpServer::ConnectionSet> m_registry;
    std::string m_remoteAddress;
    PipelineWindow m_window;
    std::vector<PipelinedExchange *> m_open; ///< In the order of the requests.
    std::unique_ptr<RequestParser> m_parser; ///< Of the request that has not been started yet.
    std::optional<base::ResultCode> m_refusal; ///< Why the request of `m_parser` is refused.
    std::string m_refusalDetail;
    PipelinedRequest m_next;
    DisconnectDetector m_detector;
    asio::steady_timer m_changed; ///< Wakes the reading coroutine.
    OperationTimer m_readTimer;
    OperationTimer m_writeTimer;
    bool m_readTimedOut = false;
    bool m_waiting = false; ///< Whether it waits for the first bytes of a request.
    bool m_readingHead = false;
    bool m_disconnected = false; ///< Whether the caller has closed at least its sending side.
    bool m_aborted = false;
    bool m_hasLoggedPause = false;
};

/// One request of a pipelined connection.
class PipelinedExchange final : public ServerExchange, public std::enable_shared_from_this<PipelinedExchange>
{
public:
    PipelinedExchange(std::shared_ptr<PipelinedConnection> connection, std::unique_ptr<RequestParser> parser)
        : m_connection(std::move(connection))
        , m_parser(std::move(parser))
        , m_turn(m_connection->m_socket.get_executor())
    {
    }

    const RequestHead &head() const override
    {
        return m_parser->get().base();
    }

    const std::string &remoteAddress() const override
    {
        return m_connection->m_remoteAddress;
    }

    Awaitable<std::string> readBody() override
    {
        if (beast::iequals(head()[http::field::expect], "100-continue")) {
            co_await writeInterim("HTTP/1.1 100 Continue\r\n\r\n");
        }
        const beast::error_code error = co_await m_connection->readBody(*m_parser);
        if (error) {
            m_connection->m_window.end();
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
        const bool isTurn = co_await waitForTurn(sizeOf(answer));
        if (!isTurn) {
            co_return false;
        }
        m_answered = true;
        http::response<http::string_body> response(std::move(answer.head), std::move(answer.body));
        prepareHead(response.base(), answer.close);
        setLength(response, head().method() == http::verb::head);
        if (head().method() == http::verb::head) {
            http::response<http::empty_body> headOnly(std::move(response.base()));
            http::response_serializer<http::empty_body> serializer(headOnly);
            co_return co_await m_connection->timedWrite([&](beast::error_code &error) {
                return http::async_write_header(m_connection->m_socket, serializer, into(error));
            });
        }
        co_return co_await m_connection->timedWrite(
            [&](beast::error_code &error) { return http::async_write(m_connection->m_socket, response, into(error)); });
    }

    Awaitable<bool> beginStream(ResponseHead head) override
    {
        const bool isTurn = co_await waitForTurn(0);
        if (!isTurn) {
            co_return false;
        }
        m_answered = true;
        m_streamed = std::make_unique<http::response<http::buffer_body>>(std::move(head));
        m_streamed->body().data = nullptr;
        m_streamed->body().more = true;
        prepareHead(m_streamed->base(), false);
        if (!m_streamed->has_content_length()) {
            m_streamed->chunked(true);
        }
        m_serializer = std::make_unique<http::response_serializer<http::buffer_body>>(*m_streamed);
        co_return co_await m_connection->timedWrite([&](beast::error_code &error) {
            return http::async_write_header(m_connection->m_socket, *m_serializer, into(error));
        });
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
        m_connection->abort();
    }

    void watchClient(std::function<void()> gone) override
    {
        m_gone = std::move(gone);
        if (m_connection->m_disconnected) {
            asio::post(m_connection->m_socket.get_executor(), [weak = weak_from_this()] {
                if (const auto exchange = weak.lock()) {
                    exchange->reportDisconnect();
                }
            });
        }
    }

    void setNumber(PipelineWindow::Number number)
    {
        m_number = number;
    }

    void reportDisconnect()
    {
        if (!m_answered && m_gone) {
            const auto gone = std::exchange(m_gone, {});
            gone();
        }
    }

    void stopWatching()
    {
        m_gone = {};
    }

    void wake()
    {
        m_turn.cancel();
    }

    bool isAnswered() const
    {
        return m_answered && m_streamFinished;
    }

    bool isBodyRead() const
    {
        return m_parser->is_done();
    }

    /// Waits until all earlier requests are answered. Returns false if the connection ends instead. `waitingBytes` is
    /// the size of the answer that waits.
    Awaitable<bool> waitForTurn(std::size_t waitingBytes)
    {
        PipelineWindow &window = m_connection->m_window;
        if (!m_connection->m_aborted && !window.isFirst(m_number)) {
            window.addWaiting(m_number, waitingBytes);
        }
        while (!m_connection->m_aborted && !window.isFirst(m_number)) {
            beast::error_code ignored;
            m_turn.expires_at(asio::steady_timer::time_point::max());
            co_await m_turn.async_wait(into(ignored));
        }
        co_return !m_connection->m_aborted;
    }

private:
    Awaitable<void> writeInterim(std::string_view text)
    {
        // An interim answer belongs to the first request that is not answered.
        if (!m_connection->m_aborted && m_connection->m_window.isFirst(m_number)) {
            co_await m_connection->timedWrite([&](beast::error_code &error) {
                return asio::async_write(m_connection->m_socket, asio::buffer(text.data(), text.size()), into(error));
            });
        }
    }

    Awaitable<bool> writeStreamBuffer(std::string part, bool more)
    {
        m_streamFinished = false;
        if (m_connection->m_aborted) {
            co_return false;
        }
        m_streamed->body().data = more ? part.data() : nullptr;
        m_streamed->body().size = part.size();
        m_streamed->body().more = more;
        co_return co_await m_connection->timedWrite([&](beast::error_code &error) {
            return http::async_write(m_connection->m_socket, *m_serializer, into(error));
        });
    }

    void prepareHead(ResponseHead &answer, bool close)
    {
        answer.version(11);
        m_connection->updateWindow();
        if (m_connection->m_window.closesWithFirst(close || !isBodyRead() || !m_parser->get().keep_alive())) {
            answer.set(http::field::connection, "close");
        }
    }

    std::shared_ptr<PipelinedConnection> m_connection;
    std::unique_ptr<RequestParser> m_parser;
    std::unique_ptr<http::response<http::buffer_body>> m_streamed;
    std::unique_ptr<http::response_serializer<http::buffer_body>> m_serializer;
    std::function<void()> m_gone;
    asio::steady_timer m_turn;
    PipelineWindow::Number m_number = 0;
    bool m_answered = false;
    bool m_streamFinished = true;
};

PipelinedConnection::PipelinedConnection(HttpServer &server, tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_buffer(server.m_limits.headerBytes + readAhead)
    , m_registry(server.m_connections)
    , m_detector(m_socket)
    , m_changed(m_socket.get_executor())
    , m_readTimer(m_socket.get_executor())
    , m_writeTimer(m_socket.get_executor())
{
    beast::error_code error;
    const auto remote = m_socket.remote_endpoint(error);
    m_remoteAddress = error ? std::string() : remote.address().to_string();
    m_registry->insert(this);
}

PipelinedConnection::~PipelinedConnection()
{
    m_registry->erase(this);
}

Awaitable<void> PipelinedConnection::run()
{
    beast::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    bool reads = true;
    while (reads) {
        try {
            reads = co_await readRequest();
        } catch (...) {
            taskFaults(m_server.m_context).record("request", std::current_exception());
            reads = false;
        }
    }
    m_readTimer.stop();
    setReadingHead(false);
    m_window.end();
    const auto isAnswered = [this] { return m_open.empty(); };
    co_await pauseUntil(isAnswered);
    co_await close();
}

void PipelinedConnection::stop()
{
    m_window.end();
    if (m_waiting && m_open.empty()) {
        beast::error_code ignored;
        m_socket.cancel(ignored);
    }
}

/// Reads the next request and starts it. Returns false if no further one may be started.
Awaitable<bool> PipelinedConnection::readRequest()
{
    if (!mayRead()) {
        countPause();
        const auto isOver = [this] { return mayRead() || m_disconnected || m_window.isClosed(); };
        co_await pauseUntil(isOver);
    }
    if (m_disconnected || m_window.isClosed()) {
        co_return false;
    }
    const bool hasHead = co_await readHead();
    m_readTimer.stop();
    if (!hasHead) {
        co_return false;
    }
    if (!mayStart()) {
        countPause();
        const auto isOver = [this] { return mayStart() || m_disconnected || m_window.isClosed(); };
        co_await pauseUntil(isOver);
    }
    if (m_disconnected || m_window.isClosed()) {
        co_return false;
    }
    startRequest();
    setReadingHead(false);
    co_return !m_refusal.has_value();
}

/// Waits without reading, so that callers are held back by the flow control of TCP.
template<typename Condition>
Awaitable<void> PipelinedConnection::pauseUntil(const Condition &condition)
{
    if (!m_disconnected) {
        m_detector.start([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->disconnect();
            }
        });
    }
    while (!condition()) {
        beast::error_code ignored;
        m_changed.expires_at(asio::steady_timer::time_point::max());
        co_await m_changed.async_wait(into(ignored));
    }
    m_detector.stop();
}

/// Counts a pause because of a bound. Only the first one of a connection is logged, to limit the volume.
void PipelinedConnection::countPause()
{
    if (!m_window.isAtBound()) {
        return;
    }
    ++m_server.m_pipelineCounters.pauses;
    if (!std::exchange(m_hasLoggedPause, true)) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Paused reading a connection at a bound."
                                        << base::field("open", m_window.openCount())
                                        << base::field("waitingBytes", m_window.waitingBytes())
                                        << base::field("remote", m_remoteAddress);
    }
}

bool PipelinedConnection::mayRead()
{
    updateWindow();
    return m_window.mayRead();
}

bool PipelinedConnection::mayStart()
{
    updateWindow();
    return m_window.mayStart(m_next.isSafe);
}

void PipelinedConnection::updateWindow()
{
    m_window.setBounds({m_server.m_limits.pipelinedRequests, m_server.m_limits.pipelinedBytes});
    if (m_server.m_closesAfterAnswers) {
        m_window.end();
    }
}

void PipelinedConnection::beginHead()
{
    m_parser = std::make_unique<RequestParser>();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server.m_limits.headerBytes));
    m_parser->body_limit(m_server.m_limits.bodyBytes);
    m_parser->eager(false);
    // The limit may have been raised since the connection was opened, and a buffer with the old limit would throw when
    // full.
    m_buffer.max_size(std::max(m_buffer.max_size(), m_server.m_limits.headerBytes + readAhead));
    m_readTimedOut = false;
    m_next = {};
}

/// Reads the next head, or a reason to refuse it. Returns false if the connection ends before it is complete.
Awaitable<bool> PipelinedConnection::readHead()
{
    beginHead();
    startReadTimer(m_buffer.size() > 0 ? m_server.m_limits.headerTimeout : m_server.m_limits.idleTimeout);
    setReadingHead(m_buffer.size() > 0);
    HeadBlock block = checkHeadBlock(m_buffer.cdata(), m_server.m_limits.headerBytes);
    while (block.code == base::ResultCode::Ok && !block.isComplete) {
        const bool isFirst = m_buffer.size() == 0;
        const beast::error_code error = co_await readMore();
        if (error == beast::error::timeout && !isFirst) {
            co_return refuse(base::ResultCode::RequestTooSlow, "the header was not received in time");
        }
        if (error) {
            co_return false;
        }
        if (isFirst) {
            setReadingHead(true);
            startReadTimer(m_server.m_limits.headerTimeout);
        }
        block = checkHeadBlock(m_buffer.cdata(), m_server.m_limits.headerBytes);
    }
    if (block.code != base::ResultCode::Ok) {
        co_return refuse(block.code, std::string(block.detail));
    }
    beast::error_code error;
    while (!error && !m_parser->is_header_done()) {
        error = co_await parseMore(*m_parser);
    }
    const base::ResultCode code = error ? codeOfParserError(error) : checkHead(m_parser->get().base());
    if (code != base::ResultCode::Ok) {
        co_return refuse(code, error ? error.message() : "the header fields are not valid");
    }
    m_next = pipelinedRequestOf(*m_parser);
    co_return true;
}

/// Makes the next request one that is refused. It counts as unsafe, so all earlier ones are answered before it.
bool PipelinedConnection::refuse(base::ResultCode code, std::string detail)
{
    m_refusal = code;
    m_refusalDetail = std::move(detail);
    m_next = {false, true};
    return true;
}

Awaitable<beast::error_code> PipelinedConnection::readMore()
{
    beast::error_code error = http::error::buffer_overflow;
    const std::size_t freeBytes = m_buffer.max_size() - m_buffer.size();
    if (freeBytes == 0) {
        co_return error;
    }
    const auto space = m_buffer.prepare(std::min(freeBytes, bytesPerRead));
    m_waiting = m_buffer.size() == 0;
    std::size_t got = co_await m_socket.async_read_some(space, into(error));
    m_waiting = false;
    beast::error_code ignored;
    if (error == asio::error::operation_aborted && m_socket.is_open() && !m_readTimedOut && !m_window.isClosed()
        && m_socket.available(ignored) > 0) {
        // The bytes arrived just before the stop. If the connection were closed now, their sender could not tell
        // whether the request has run.
        got = co_await m_socket.async_read_some(space, into(error));
    }
    m_buffer.commit(got);
    if (m_readTimedOut) {
        error = beast::error::timeout;
    } else if (error && error != asio::error::operation_aborted) {
        disconnect();
    }
    co_return error;
}

/// Parses the bytes that have been read, and reads more if they are not enough. Beast throws for a field that is longer
/// than it can count, which becomes an error of this request.
Awaitable<beast::error_code> PipelinedConnection::parseMore(RequestParser &parser)
{
    beast::error_code error;
    std::size_t used = 0;
    try {
        if (m_buffer.size() > 0) {
            used = parser.put(m_buffer.cdata(), error);
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

/// Reads the body of the only open request. No other coroutine reads meanwhile, since such a request is not safe.
Awaitable<beast::error_code> PipelinedConnection::readBody(RequestParser &parser)
{
    beast::error_code error;
    if (parser.is_done()) {
        co_return error;
    }
    m_readTimedOut = false;
    m_readTimer.start(m_server.m_limits.bodyTimeout, [this] {
        m_readTimedOut = true;
        beast::error_code ignored;
        m_socket.cancel(ignored);
    });
    parser.eager(true);
    while (!error && !parser.is_done()) {
        error = co_await parseMore(parser);
    }
    m_readTimer.stop();
    co_return error;
}

/// Limits the time to read a head. While a request is open, the caller may take its time, and cancelling the socket
/// would also cancel the answer that is being written.
void PipelinedConnection::startReadTimer(base::Duration time)
{
    m_readTimer.start(time, [this, time] {
        if (!m_open.empty()) {
            startReadTimer(time);
            return;
        }
        m_readTimedOut = true;
        beast::error_code ignored;
        m_socket.cancel(ignored);
    });
}

/// Counts a request as in flight from its first byte, so that a planned stop waits for it.
void PipelinedConnection::setReadingHead(bool isReading)
{
    if (isReading != m_readingHead) {
        m_readingHead = isReading;
        isReading ? ++m_server.m_inFlight : --m_server.m_inFlight;
    }
}

void PipelinedConnection::startRequest()
{
    if (!m_open.empty()) {
        ++m_server.m_pipelineCounters.startedConcurrently;
    }
    auto exchange = std::make_shared<PipelinedExchange>(shared_from_this(), std::move(m_parser));
    exchange->setNumber(m_window.start(m_next));
    m_open.push_back(exchange.get());
    ++m_server.m_inFlight;
    auto task = [self = shared_from_this(), exchange, isRefused = m_refusal.has_value()] {
        return self->handle(exchange, isRefused);
    };
    spawnTask(m_server.m_context, "request", std::move(task));
}

Awaitable<void> PipelinedConnection::handle(std::shared_ptr<PipelinedExchange> exchange, bool isRefused)
{
    bool isAnswered = false;
    try {
        if (isRefused) {
            co_await sendRefusal(*exchange);
        } else {
            co_await m_server.m_handler.handle(*exchange);
        }
        isAnswered = exchange->isAnswered();
    } catch (const std::exception &error) {
        PAPAYASTEP_LOG(ERROR, logPrefix) << "A request handler threw an exception."
                                         << base::field("what", error.what());
    } catch (...) {
        taskFaults(m_server.m_context).record("request", std::current_exception());
    }
    exchange->stopWatching();
    if (!isAnswered) {
        // The caller matches answers to requests by their order, so nothing can follow a missing answer.
        m_window.end();
        const bool isTurn = co_await exchange->waitForTurn(0);
        if (isTurn) {
            abort();
        }
    }
    complete(*exchange);
}

Awaitable<void> PipelinedConnection::sendRefusal(PipelinedExchange &exchange)
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Refused a request before routing." << base::field("code", number(*m_refusal))
                                    << base::field("remote", m_remoteAddress);
    WholeAnswer answer = m_server.m_handler.refusal(*m_refusal, m_refusalDetail);
    answer.close = true;
    co_await exchange.answer(std::move(answer));
}

void PipelinedConnection::complete(PipelinedExchange &exchange)
{
    m_open.erase(std::find(m_open.begin(), m_open.end(), &exchange));
    --m_server.m_inFlight;
    if (!m_aborted) {
        m_window.finishFirst();
    }
    const bool endsReading = m_window.isClosed() || (m_server.m_stopping && m_waiting);
    if (m_open.empty() && endsReading) {
        beast::error_code ignored;
        m_socket.cancel(ignored);
    }
    m_changed.cancel();
    if (!m_open.empty()) {
        m_open.front()->wake();
    }
}

/// Runs a write operation within the time limit. Returns whether it succeeded; if not, the connection ends.
template<typename Write>
Awaitable<bool> PipelinedConnection::timedWrite(const Write &write)
{
    beast::error_code error;
    m_writeTimer.start(m_server.m_limits.writeTimeout, [this] {
        beast::error_code ignored;
        m_socket.close(ignored);
    });
    co_await write(error);
    m_writeTimer.stop();
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (error) {
        abort();
    }
    co_return !error;
}

/// Tells all handlers that the caller has disconnected. Answers are still written, since it may have closed only its
/// sending side.
void PipelinedConnection::disconnect()
{
    m_disconnected = true;
    m_window.end();
    const auto open = m_open;
    for (PipelinedExchange *exchange : open) {
        runStep(m_server.m_context, "disconnect", [exchange] { exchange->reportDisconnect(); });
    }
    wakeAll();
}

/// Ends the connection without further answers.
void PipelinedConnection::abort()
{
    if (m_aborted) {
        return;
    }
    m_aborted = true;
    m_window.abort();
    beast::error_code ignored;
    m_socket.close(ignored);
    disconnect();
}

void PipelinedConnection::wakeAll()
{
    m_changed.cancel();
    for (PipelinedExchange *exchange : m_open) {
        exchange->wake();
    }
}

Awaitable<void> PipelinedConnection::close()
{
    beast::error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    m_readTimer.start(lingerTime, [this] {
        beast::error_code ignored;
        m_socket.close(ignored);
    });
    while (!error) {
        m_buffer.clear();
        co_await m_socket.async_read_some(m_buffer.prepare(bytesPerRead), into(error));
    }
    m_readTimer.stop();
    m_socket.close(error);
}

std::shared_ptr<ServerConnection> makePipelinedConnection(HttpServer &server, tcp::socket socket)
{
    return std::make_shared<PipelinedConnection>(server, std::move(socket));
}

}
