#include "papayastep/net/httpclient.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sys/socket.h>

namespace papayastep::net {

namespace {

constexpr std::size_t partBytes = 32 * 1024;

bool isOpenAndQuiet(tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Bytes that nobody asked for, or an end: either way this connection can't carry another request.
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}

/// An open connection and what was read from it beyond the last answer.
class ClientConnection
{
public:
    explicit ClientConnection(asio::io_context &context)
        : m_stream(context)
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

HttpExchange::HttpExchange(asio::io_context &context, HttpPool &pool, const Endpoint &endpoint)
    : m_context(context)
    , m_pool(pool)
    , m_endpoint(endpoint)
{
}

HttpExchange::~HttpExchange() = default;

void HttpExchange::onAcknowledged(std::function<void()> callback)
{
    m_acknowledged = std::move(callback);
}

Awaitable<void> HttpExchange::run(ClientRequest request, std::size_t holdBytes)
{
    const bool isHead = request.head.method() == http::verb::head;
    bool reused = false;
    if (!co_await connect(reused)) {
        co_return;
    }
    if (!co_await send(request)) {
        co_return;
    }
    if (!co_await readHead(isHead)) {
        co_return;
    }
    co_await readHeldBody(holdBytes);
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
    if (m_parser->is_done()) {
        finish();
    }
    co_return part;
}

Awaitable<bool> HttpExchange::connect(bool &reused)
{
    m_connection = m_pool.take(m_endpoint);
    reused = m_connection != nullptr;
    if (reused) {
        co_return true;
    }
    m_connection = std::make_unique<ClientConnection>(m_context);
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
    co_return true;
}

Awaitable<bool> HttpExchange::send(const ClientRequest &request)
{
    m_progress = ExchangeProgress::Sending;
    http::request<http::string_body> message(request.head, request.body);
    message.version(11);
    message.keep_alive(true);
    if (!request.body.empty() || message.method() == http::verb::post || message.method() == http::verb::put) {
        message.content_length(request.body.size());
    }
    beast::error_code error;
    co_await http::async_write(m_connection->stream(), message, into(error));
    if (error) {
        fail(error);
        co_return false;
    }
    m_progress = ExchangeProgress::Sent;
    co_return true;
}

Awaitable<bool> HttpExchange::readHead(bool isHead)
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
        const auto status = m_parser->get().result_int();
        if (status >= 200) {
            break;
        }
        m_progress = ExchangeProgress::Acknowledged;
        if (m_acknowledged) {
            m_acknowledged();
        }
    }
    m_progress = ExchangeProgress::HeadReceived;
    m_head = m_parser->get().base();
    co_return true;
}

Awaitable<void> HttpExchange::readHeldBody(std::size_t holdBytes)
{
    if (m_parser->is_done()) {
        finish();
        co_return;
    }
    while (m_progress == ExchangeProgress::HeadReceived && m_body.size() < holdBytes) {
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
    if (m_parser->keep_alive() && !m_cancelled) {
        m_pool.put(m_endpoint, std::move(m_connection));
    }
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

std::unique_ptr<ClientConnection> HttpPool::take(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back().connection);
        idle.pop_back();
        // A server that closed an idle connection would break the next request on it: and a broken non-idempotent
        // request can't be sent again. Asking the socket first leaves only the instant between asking and sending.
        if (isOpenAndQuiet(connection->stream().socket())) {
            return connection;
        }
    }
    return nullptr;
}

void HttpPool::put(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection)
{
    auto &idle = m_idle[endpoint];
    if (idle.size() < m_limits.idlePerEndpoint && connection->buffer().size() == 0) {
        idle.push_back({m_clock.now(), std::move(connection)});
    }
}

void HttpPool::sweep()
{
    const auto oldest = m_clock.now() - m_limits.idleTimeout;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [&](const Idle &idle) { return idle.since < oldest; });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

void HttpPool::clear()
{
    m_idle.clear();
}

}
