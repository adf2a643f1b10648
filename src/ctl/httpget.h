#pragma once

#include <chrono>
#include <string>

namespace papayastep::ctl {

/// Time limit for one request of httpGet(), from connecting to the end of the response.
constexpr std::chrono::seconds httpPatience{5};

/// Sends `GET target` to `node` ("address:port", with an IPv6 address in brackets) and returns the response body.
/// Throws Error(PlatformUnreachable) if no response arrives in time, and Error(PlatformAnswerInvalid) with the response
/// body for any status other than 200. Throws Error(CommandLine) if `node` is not a valid address and port.
std::string httpGet(const std::string &node, const std::string &target);

/// Percent-encodes `text` for use as a value in a query string.
std::string percentEncode(const std::string &text);

}
