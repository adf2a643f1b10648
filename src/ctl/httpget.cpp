#include "httpget.h"

#include "papayastep/base/error.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cctype>

namespace papayastep::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::Error;
using base::ResultCode;
using Response = http::response<http::string_body>;

asio::ip::tcp::endpoint endpointOf(const std::string &node)
{
    const std::size_t colon = node.rfind(':');
    if (colon == std::string::npos) {
        throw Error(ResultCode::CommandLine, "write a node as address:port, not " + node);
    }
    std::string address = node.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    beast::error_code problem;
    const auto ip = asio::ip::make_address(address == "localhost" ? "127.0.0.1" : address, problem);
    const int port = std::atoi(node.c_str() + colon + 1);
    if (problem || port < 1 || port > 65535) {
        throw Error(ResultCode::CommandLine, "write a node as IP number:port, not " + node);
    }
    return {ip, static_cast<std::uint16_t>(port)};
}

/// Runs the asynchronous operation pending on `context` until it completes or the stream's time limit expires, and
/// throws Error(PlatformUnreachable) if it failed. Beast applies timeouts only to asynchronous operations; without a
/// timeout, a node that hangs would block the operator's terminal.
void runPending(asio::io_context &context, const beast::error_code &result, const std::string &node)
{
    context.run();
    context.restart();
    if (result) {
        throw Error(ResultCode::PlatformUnreachable, node + ": " + result.message());
    }
}

Response sendGet(const std::string &node, const std::string &target)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(httpPatience);
    beast::error_code result;
    stream.async_connect(endpointOf(node), [&result](beast::error_code code) { result = code; });
    runPending(context, result, node);
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, node);
    request.set(http::field::connection, "close");
    http::async_write(stream, request, [&result](beast::error_code code, std::size_t) { result = code; });
    runPending(context, result, node);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(64u << 20);
    http::async_read(stream, buffer, parser, [&result](beast::error_code code, std::size_t) { result = code; });
    runPending(context, result, node);
    return parser.release();
}

}

std::string httpGet(const std::string &node, const std::string &target)
{
    Response answer = sendGet(node, target);
    if (answer.result() != http::status::ok) {
        throw Error(ResultCode::PlatformAnswerInvalid,
                    node + " answered " + std::to_string(answer.result_int()) + ": " + answer.body());
    }
    return std::move(answer.body());
}

std::string percentEncode(const std::string &text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '.' || character == '_' || character == '~') {
            encoded += character;
        } else {
            encoded += {'%', digits[byte >> 4U], digits[byte & 15U]};
        }
    }
    return encoded;
}

}
