#pragma once

#include "papayastep/net/asio.h"

#include <compare>
#include <cstdint>
#include <string>

namespace papayastep::net {

/// An IP address and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// `address:port`, with brackets around IPv6.
std::string toString(const Endpoint &endpoint);

/// Parses `address:port`. Throws Error(SettingsSchema) if the text is not an IP address with a port.
Endpoint parseEndpoint(const std::string &text);

/// Converts `endpoint` to the type of Asio. Throws Error(SettingsSchema) if its address is not an IP address.
tcp::endpoint toTcp(const Endpoint &endpoint);

}
