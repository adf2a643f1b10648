#include "deadpeer.h"

#include "papayastep/net/httpclient.h"
#include "papayastep/net/httpstatus.h"
#include "papayastep/net/task.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace papayastep::net {

namespace {

constexpr std::size_t partBytes = 32 * 1024;

/// Size of the read buffer. Beast counts the bytes of a field in 16 bits and throws for a longer field, and the
/// exception leaves its read operations without reaching any handler: a server that sends such a field after its answer
/// would end the node. With this limit, a field that does not fit into the buffer is an error instead.
constexpr std::size_t readBufferBytes = 60 * 1024;

bool isOpenAndIdle(tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // The server has sent unexpected bytes or closed the connection, so it can't carry another request.
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Returns whether the connection has ended in both directions. An orderly end of the peer's side alone ends only one.
bool hasHungUp(tcp::socket &socket)
{
    pollfd state{socket.native_handle(), 0, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR)) != 0;
}

/// The value of the `timeout=` parameter of a Keep-Alive field, if it has one.
std::optional<base::Duration> keepAliveTimeout(const ResponseHead &head)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view value = view(head[http::field::keep_alive]);
    const auto at = value.find(name);
    long seconds = 0;
    if (at == std::string_view::npos
        || std::from_chars(value.data() + at + name.size(), value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

}

/// An open connection and the bytes that were read from it after the end of the last answer.
class ClientConnection
{
public:
    explicit ClientConnection(asio::io_context &context)
        : m_stream(context)
        , m_buffer(readBufferBytes)
    {
    }

    beast::tcp_stream &stream()
    {
        return m_stream;
    }
    beast::flat_buffer &buffer()
    {
        return m_buffer;
    }

private:
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
};

/// A request that is being sent. It is shared, since the coroutine that sends it may outlive the exchange.
struct HttpExchange::Sending
{
    explicit Sending(asio::io_context &context)
        : ended(context, asio::steady_timer::time_point::max())
    {
    }

    std::shared_ptr<ClientConnection> connection;
    SharedBody body; ///< Owns the bytes to which `message` refers.
    http::request<http::span_body<const char>> message;
    bool finished = false;
    beast::error_code error; ///< Why sending failed, after `finished`.
    asio::steady_timer ended; ///< Its waits end when `finished` is set.
};

HttpExchange::HttpExchange(asio::io_context &context, HttpPool &pool, const Endpoint &endpoint)
    : m_context(context)
    , m_pool(pool)
    , m_endpoint(endpoint)
{
}

HttpExchange::~HttpExchange()
{
    if (m_connection) {
        m_connection->stream().close(); // A send in progress would otherwise keep it open.
    }
}

void HttpExchange::onAcknowledged(std::function<void()> callback)
{
    m_acknowledged = std::move(callback);
}

void HttpExchange::onHead(std::function<bool(const ResponseHead &head)> accept)
{
    m_accept = std::move(accept);
}

Awaitable<void> HttpExchange::run(ClientRequest request, std::size_t bufferBytes)
{
    const bool isHead = request.head.method() == http::verb::head;
    bool reused = false;
    if (!co_await connect(reused)) {
        co_return;
    }
    beginSending(std::move(request));
    if (!co_await readHead(isHead)) {
        co_return;
    }
    co_await readBufferedBody(bufferBytes);
}

void HttpExchange::cancel()
{
    m_cancelled = true;
    if (m_connection) {
        m_connection->stream().close();
    }
}

ExchangeProgress HttpExchange::progress() const
{
    return m_progress;
}

ExchangeFailure HttpExchange::failure() const
{
    return m_failure;
}

const ResponseHead &HttpExchange::head() const
{
    return m_head;
}

std::string &HttpExchange::body()
{
    return m_body;
}

Awaitable<std::string> HttpExchange::readPart()
{
    std::string part;
    if (m_progress != ExchangeProgress::HeadReceived || m_failure != ExchangeFailure::None) {
        co_return part;
    }
    part = co_await readBytes();
    if (m_failure == ExchangeFailure::None && m_parser->is_done()) {
        finish();
    }
    co_return part;
}

/// Reads the next bytes of the body that is being parsed.
Awaitable<std::string> HttpExchange::readBytes()
{
    std::string part;
    part.resize(partBytes);
    auto &body = m_parser->get().body();
    body.data = part.data();
    body.size = part.size();
    beast::error_code error;
    co_await http::async_read(m_connection->stream(), m_connection->buffer(), *m_parser, into(error));
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (error) {
        fail(error);
        co_return std::string();
    }
    part.resize(part.size() - body.size);
    if (m_parser->is_done() && m_parser->need_eof()) {
        const bool isWhole = co_await hasEndedInOrder();
        if (!isWhole) {
            fail(asio::error::connection_reset);
            co_return std::string();
        }
    }
    co_return part;
}

/// Returns whether the connection, whose end has been read, was closed in order by the server. The kernel reports a
/// reset or a timeout of a connection once, to the first call on it. If that call sends the request, a read returns the
/// same as after an orderly end.
Awaitable<bool> HttpExchange::hasEndedInOrder()
{
    if (!m_sending->finished && hasHungUp(m_connection->stream().socket())) {
        beast::error_code ignored;
        co_await m_sending->ended.async_wait(into(ignored));
    }
    // The kernel reports a broken pipe if the reset arrived behind an orderly end, so the answer is whole.
    co_return !m_sending->error || m_sending->error == asio::error::broken_pipe;
}

Awaitable<bool> HttpExchange::connect(bool &reused)
{
    m_connection = m_pool.take(m_endpoint);
    reused = m_connection != nullptr;
    if (reused) {
        co_return true;
    }
    m_connection = std::make_shared<ClientConnection>(m_context);
    beast::error_code error;
    m_connection->stream().expires_after(m_pool.limits().connectTimeout);
    co_await m_connection->stream().async_connect(toTcp(m_endpoint), into(error));
    m_connection->stream().expires_never();
    if (error || m_cancelled) {
        m_failure = ExchangeFailure::ConnectionRefused;
        if (error == beast::error::timeout) {
            m_failure = ExchangeFailure::ConnectTimeout;
        }
        if (m_cancelled) {
            m_failure = ExchangeFailure::Cancelled;
        }
        co_return false;
    }
    m_connection->stream().socket().set_option(tcp::no_delay(true), error);
    enableKeepAlive(m_connection->stream().socket(), m_pool.limits().deadPeerTimeout);
    setUserTimeout(m_connection->stream().socket(), m_pool.limits().deadPeerTimeout);
    co_return true;
}

/// Sends the request while the answer is read: a server may answer before it has read a long body, and stop reading. A
/// client that writes first and reads afterwards would then wait for a TCP window that never opens although the answer
/// is available.
void HttpExchange::beginSending(ClientRequest request)
{
    m_progress = ExchangeProgress::Sending;
    m_sending = std::make_shared<Sending>(m_context);
    m_sending->connection = m_connection;
    auto &message = m_sending->message;
    m_sending->body = std::move(request.body);
    const std::string_view body = m_sending->body.view();
    message = http::request<http::span_body<const char>>(std::move(request.head));
    message.body() = beast::span<const char>(body.data(), body.size());
    message.version(11);
    message.keep_alive(true);
    if (!body.empty() || message.method() == http::verb::post || message.method() == http::verb::put) {
        message.content_length(body.size());
    }
    auto send = [sending = m_sending]() -> Awaitable<void> {
        co_await http::async_write(sending->connection->stream(), sending->message, into(sending->error));
        sending->finished = true;
        sending->connection.reset();
        sending->ended.cancel();
    };
    spawnTask(m_context, "send", std::move(send));
}

Awaitable<bool> HttpExchange::readHead(bool isHead)
{
    // The results are named variables: GCC 12 generates a trap instruction for a loop with a co_await in a condition
    // and a break.
    bool accepted = false;
    while (!accepted) {
        const bool received = co_await readAnyHead(isHead);
        if (!received) {
            co_return false;
        }
        accepted = !m_accept || m_accept(m_parser->get().base());
        bool continues = accepted;
        if (!accepted) {
            continues = co_await discardBody();
        }
        if (!continues) {
            co_return false;
        }
    }
    m_progress = ExchangeProgress::HeadReceived;
    m_head = m_parser->get().base();
    co_return true;
}

/// Reads until the head of a final answer has been received.
Awaitable<bool> HttpExchange::readAnyHead(bool isHead)
{
    for (;;) {
        m_parser.emplace();
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser->skip(isHead);
        beast::error_code error;
        co_await http::async_read_header(m_connection->stream(), m_connection->buffer(), *m_parser, into(error));
        if (error) {
            fail(error);
            co_return false;
        }
        const StatusKind kind = statusKind(m_parser->get().result_int());
        if (kind == StatusKind::Invalid) {
            m_head = m_parser->get().base();
            m_failure = ExchangeFailure::InvalidStatus;
            m_connection->stream().close();
            co_return false;
        }
        if (kind == StatusKind::Final) {
            const bool isReadable = isPlainOrChunked(m_parser->get());
            if (!isReadable) {
                fail(http::error::bad_transfer_encoding);
            }
            co_return isReadable;
        }
        m_progress = ExchangeProgress::Acknowledged;
        if (m_acknowledged) {
            m_acknowledged();
        }
    }
}

/// Reads and discards the body of an answer to another request.
Awaitable<bool> HttpExchange::discardBody()
{
    m_foreignAnswer = true;
    while (m_failure == ExchangeFailure::None && !m_parser->is_done()) {
        co_await readBytes();
    }
    co_return m_failure == ExchangeFailure::None;
}

Awaitable<void> HttpExchange::readBufferedBody(std::size_t bufferBytes)
{
    if (m_parser->is_done()) {
        finish();
        co_return;
    }
    while (m_progress == ExchangeProgress::HeadReceived && m_body.size() < bufferBytes) {
        const std::string part = co_await readPart();
        m_body += part;
        if (m_failure != ExchangeFailure::None) {
            co_return;
        }
    }
}

void HttpExchange::fail(const beast::error_code &error)
{
    const bool malformed = error.category() == http::make_error_code(http::error::bad_version).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    m_failure = malformed ? ExchangeFailure::Malformed : ExchangeFailure::Broken;
    if (m_cancelled) {
        m_failure = ExchangeFailure::Cancelled;
    }
    m_connection->stream().close();
}

void HttpExchange::finish()
{
    m_progress = ExchangeProgress::Complete;
    if (mayReuse()) {
        m_pool.put(m_endpoint, std::move(m_connection), keepAliveTimeout(m_head));
    }
}

/// A connection is reused only if it is in a known clean state: the answer was complete and belonged to this request,
/// the request was sent to its end, and no answer to another request arrived on the connection.
bool HttpExchange::mayReuse() const
{
    return m_parser->keep_alive() && !m_cancelled && !m_foreignAnswer && m_sending->finished && !m_sending->error;
}

HttpPool::HttpPool(asio::io_context &context, const base::Clock &clock, Limits limits)
    : m_context(context)
    , m_clock(clock)
    , m_limits(limits)
{
}

HttpPool::~HttpPool() = default;

const HttpPool::Limits &HttpPool::limits() const
{
    return m_limits;
}

std::shared_ptr<ClientConnection> HttpPool::take(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back().connection);
        const bool isOld = idle.back().until < m_clock.now();
        idle.pop_back();
        if (isOld) {
            continue;
        }
        // If the server has closed an idle connection, the next request on it breaks, and a non-idempotent request
        // can't be sent again. Checking the socket first leaves only the short time between the check and the send.
        if (isOpenAndIdle(connection->stream().socket())) {
            return connection;
        }
    }
    return nullptr;
}

void HttpPool::put(const Endpoint &endpoint,
                   std::shared_ptr<ClientConnection> connection,
                   std::optional<base::Duration> idleTimeout)
{
    // The connection is closed well before the server closes it, since a request that is sent while the server closes
    // the connection is lost. If the server announces an idle timeout of 0, it closes the connection at once, so the
    // connection is not kept.
    const base::Duration idle = idleTimeout ? std::min(m_limits.idleTimeout, *idleTimeout / 2) : m_limits.idleTimeout;
    auto &connections = m_idle[endpoint];
    const bool fits = connections.size() < m_limits.idlePerEndpoint && connection->buffer().size() == 0;
    if (fits && idle > base::Duration::zero()) {
        connections.push_back({m_clock.now() + idle, std::move(connection)});
    }
}

void HttpPool::sweep()
{
    const auto now = m_clock.now();
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [&](const Idle &idle) { return idle.until < now; });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

void HttpPool::closeIdle(const Endpoint &endpoint)
{
    m_idle.erase(endpoint);
}

void HttpPool::clear()
{
    m_idle.clear();
}

}
