#pragma once

#include <compare>
#include <optional>
#include <string_view>

namespace papayastep::routing {

/// What a backend server announces about itself in the head of an answer.
struct ServerAnnouncement
{
    /// Requests per second that the server takes from all VMs together; empty if it names no limit.
    std::optional<double> requestsPerSecond;
    bool isLimitReadable = true; ///< Whether the limit, if there is one, is a decimal number of at least 0.
    bool isLeaving = false; ///< The server will end soon and takes no new requests.

    auto operator<=>(const ServerAnnouncement &) const = default;
};

/// Returns the announcement in two header fields, which are empty if the answer does not have them.
ServerAnnouncement readAnnouncement(std::string_view limit, std::string_view leaving);

}
