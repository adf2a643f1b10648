#pragma once

#include <chrono>
#include <string>

namespace papayastep::ctl {

constexpr std::chrono::seconds httpPatience{5};

/// The body of the answer to `GET target` at `node` ("address:port"; an IPv6 address stands in brackets).
/// Throws Error(PlatformUnreachable) where nobody answers in time, and Error(PlatformAnswerInvalid) for any other
/// status than 200, with the answer's text.
std::string httpGet(const std::string &node, const std::string &target);

/// `text` as a value in a query string.
std::string percentEncode(const std::string &text);

}
