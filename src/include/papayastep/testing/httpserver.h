#pragma once

#include "papayastep/net/asio.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Stand-ins for what surrounds the fleet: platform, backend servers, faulty links, callers. For tests only.
namespace papayastep::testing {

using Stream = boost::beast::tcp_stream;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/// Answers one request. No value: the connection is closed without (more of) an answer.
using Handler = std::function<boost::asio::awaitable<std::optional<Response>>(Stream &, const Request &)>;

/// A small HTTP/1.1 server with keep-alive on 127.0.0.1. One thread, one coroutine per connection.
class HttpServer
{
public:
    /// Listens at once. Throws boost::system::system_error where the port is taken.
    HttpServer(boost::asio::io_context &context, std::uint16_t port, Handler handler);

    std::uint16_t port() const;

    /// Stops listening and closes every connection: callers see "connection refused". open() undoes it.
    void close();
    void open();

private:
    struct State;

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state, std::size_t generation);
    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, boost::asio::ip::tcp::socket socket);

    std::shared_ptr<State> m_state;
};

/// The target of a request, cut at the question mark.
struct Target
{
    std::string path;
    std::map<std::string, std::string> query;

    /// The value of `name`, or `fallback` where the query has none.
    std::string value(const std::string &name, const std::string &fallback) const;
};

Target targetOf(const Request &request);

/// A JSON answer to `request`.
Response jsonResponse(const Request &request, unsigned status, const nlohmann::json &body);

/// Seconds since the Unix epoch, as every record of the stand-ins states times.
double unixTime();

}
