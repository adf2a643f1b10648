#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayastep::routing {

/// The load that a backend server reports about itself.
struct ServerLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;

    auto operator<=>(const ServerLoad &) const = default;
};

/// The limit of requests in an answer of a backend server.
struct NamedLimit
{
    /// Requests per second that the server takes from all VMs together; empty if the answer names no limit.
    std::optional<double> requestsPerSecond;
    bool isReadable = true; ///< Whether each named limit is a decimal number of at least 0.

    auto operator<=>(const NamedLimit &) const = default;
};

/// Returns the limit in the values of a header field, the lowest one if there are several.
NamedLimit readLimit(const std::vector<std::string_view> &values);

/// All that a backend server announces about itself in the head of one answer.
struct ServerAnnouncement
{
    std::optional<ServerLoad> load; ///< Empty if the server does not report it.
    std::optional<base::Duration> coldTime; ///< Time for which the server remains cold; empty if it does not report it.
    NamedLimit limit;
    bool isLeaving = false; ///< The server will end soon and takes no new requests.
    std::vector<std::string> unknownFields; ///< Fields by which the server announces something that nothing reads.

    auto operator<=>(const ServerAnnouncement &) const = default;
};

/// The answer in which a backend server announced something.
struct AnnouncementSource
{
    enum class Kind {
        Request, ///< An answer to a request, which certainly comes from the server.
        Probe,
        Adopted, ///< An entry received it, while an earlier process of this node ran.
        Stray, ///< An answer that belongs to another request or lacks the proof of the server.
    };
    Kind kind = Kind::Request;
    base::Incarnation incarnation = 0; ///< The start of the server to which the request or probe was sent.
    base::TimePoint sentAt; ///< Time at which the request or probe was sent.

    auto operator<=>(const AnnouncementSource &) const = default;
};

std::string_view name(AnnouncementSource::Kind kind);

/// What is in force of the announcements of a backend server.
struct AnnouncedState
{
    std::optional<double> requestsPerSecond; ///< Empty if no limit is in force.
    bool isLimitReadable = true; ///< As of the last answer.
    bool isLeaving = false;

    auto operator<=>(const AnnouncedState &) const = default;
};

}
