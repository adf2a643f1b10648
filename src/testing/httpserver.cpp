#include "papayastep/testing/httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <sstream>

namespace papayastep::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {
constexpr std::uint64_t maxBodyBytes = 64'000'000;
}

struct HttpServer::State
{
    State(asio::io_context &io, std::uint16_t wanted, Handler answer)
        : context(io)
        , acceptor(io)
        , port(wanted)
        , handler(std::move(answer))
    {
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    std::uint16_t port;
    Handler handler;
    std::size_t generation = 0; ///< Incremented by each close(), so that an old accept loop ends.
    std::set<Stream *> streams;
};

HttpServer::HttpServer(asio::io_context &context, std::uint16_t port, Handler handler)
    : m_state(std::make_shared<State>(context, port, std::move(handler)))
{
    open();
}

std::uint16_t HttpServer::port() const
{
    return m_state->port;
}

void HttpServer::open()
{
    if (m_state->acceptor.is_open()) {
        return;
    }
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), m_state->port);
    m_state->acceptor.open(endpoint.protocol());
    m_state->acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_state->acceptor.bind(endpoint);
    m_state->acceptor.listen(tcp::acceptor::max_listen_connections);
    asio::co_spawn(m_state->context, accept(m_state, m_state->generation), asio::detached);
}

void HttpServer::close()
{
    ++m_state->generation;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (Stream *stream : m_state->streams) {
        stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
}

asio::awaitable<void> HttpServer::accept(std::shared_ptr<State> state, std::size_t generation)
{
    while (generation == state->generation) {
        boost::system::error_code error;
        tcp::socket socket = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(state->context, serve(state, std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<State> state, tcp::socket socket)
{
    Stream stream(std::move(socket));
    stream.socket().set_option(tcp::no_delay(true));
    state->streams.insert(&stream);
    try {
        boost::beast::flat_buffer buffer;
        for (bool keepAlive = true; keepAlive;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
            const Request request = parser.release();
            std::optional<Response> response = co_await state->handler(stream, request);
            keepAlive = response && request.keep_alive();
            if (response) {
                response->keep_alive(keepAlive);
                co_await http::async_write(stream, *response, asio::use_awaitable);
            }
        }
    } catch (const boost::system::system_error &) {
        // The peer has closed the connection, so no response can be sent.
    }
    state->streams.erase(&stream);
}

std::string Target::value(const std::string &name, const std::string &fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

Target targetOf(const Request &request)
{
    const std::string text(request.target());
    const std::size_t mark = text.find('?');
    Target target{text.substr(0, mark), {}};
    if (mark == std::string::npos) {
        return target;
    }
    std::istringstream pairs(text.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const std::size_t equals = pair.find('=');
        target.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return target;
}

Response jsonResponse(const Request &request, unsigned status, const nlohmann::json &body)
{
    Response response(http::int_to_status(status), request.version());
    if (status != 204) {
        response.set(http::field::content_type, "application/json");
        response.body() = body.dump();
    }
    response.prepare_payload();
    return response;
}

double unixTime()
{
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
