#pragma once

#include "papayastep/net/asio.h"

#include <compare>
#include <cstdint>
#include <string>

namespace papayastep::net {

/// An IP number and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// `address:port`, with brackets around IPv6.
std::string toString(const Endpoint &endpoint);

/// Parses `address:port`. Throws Error(SettingsSchema) where it is no IP number with a port.
Endpoint parseEndpoint(const std::string &text);

/// For Asio. Throws Error(SettingsSchema) where the address is no IP number.
tcp::endpoint toTcp(const Endpoint &endpoint);

}
