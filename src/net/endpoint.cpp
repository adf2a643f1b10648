#include "papayastep/net/endpoint.h"

#include "papayastep/base/error.h"

#include <charconv>

namespace papayastep::net {

namespace {

[[noreturn]] void refuse(const std::string &text)
{
    throw base::Error(base::ResultCode::SettingsSchema, "'" + text + "' is not an IP address with a port");
}

std::uint16_t parsePort(const std::string &digits, const std::string &text)
{
    std::uint16_t port = 0;
    const char *end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, port);
    if (digits.empty() || result.ec != std::errc() || result.ptr != end) {
        refuse(text);
    }
    return port;
}

}

std::string toString(const Endpoint &endpoint)
{
    const bool version6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = version6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

Endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        refuse(text);
    }
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    Endpoint endpoint{host, parsePort(text.substr(colon + 1), text)};
    toTcp(endpoint);
    return endpoint;
}

tcp::endpoint toTcp(const Endpoint &endpoint)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    // The parser stops at a NUL byte, and the text after it would appear in logs.
    if (error || endpoint.address.find('\0') != std::string::npos) {
        refuse(endpoint.address);
    }
    return {address, endpoint.port};
}

}
