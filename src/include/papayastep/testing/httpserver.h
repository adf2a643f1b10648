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

/// Stand-ins for the systems around the fleet: platform, backend servers, faulty links and callers. For tests only.
namespace papayastep::testing {

using Stream = boost::beast::tcp_stream;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/// Handles one request. If it returns no value, the connection is closed without a response, or without the rest of
/// one.
using Handler = std::function<boost::asio::awaitable<std::optional<Response>>(Stream &, const Request &)>;

/// A small HTTP/1.1 server with keep-alive on 127.0.0.1. One thread, one coroutine per connection.
class HttpServer
{
public:
    /// Starts to listen. Throws boost::system::system_error if the port is in use.
    HttpServer(boost::asio::io_context &context, std::uint16_t port, Handler handler);

    std::uint16_t port() const;

    /// Stops listening and closes every connection, so that callers get "connection refused" until open() is called.
    void close();
    void open();

private:
    struct State;

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state, std::size_t generation);
    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, boost::asio::ip::tcp::socket socket);

    std::shared_ptr<State> m_state;
};

/// The target of a request, split into path and query.
struct Target
{
    std::string path;
    std::map<std::string, std::string> query;

    /// Returns the value of `name`, or `fallback` if the query does not contain it.
    std::string value(const std::string &name, const std::string &fallback) const;
};

Target targetOf(const Request &request);

/// Returns a JSON response to `request`.
Response jsonResponse(const Request &request, unsigned status, const nlohmann::json &body);

/// Returns the seconds since the Unix epoch, the unit of time in all records of the stand-ins.
double unixTime();

}
