#pragma once

#include "papayastep/membership/serverdirectory.h"
#include "papayastep/net/asio.h"

#include <chrono>
#include <cstdint>

namespace papayastep::net {

/// Read-only access to the directory in which backend servers register themselves. A fleet whose operators list the
/// servers in the configuration has no such source.
class ServerSource
{
public:
    virtual ~ServerSource() = default;

    /// Reads the complete list of registered servers. With `mayBeOld` the list may be some seconds old, which costs the
    /// platform much less; a watch from its version reports what has changed since. Throws Error (PlatformUnreachable,
    /// PlatformAnswerInvalid).
    virtual Awaitable<membership::ServerUpdate> listServers(bool mayBeOld) = 0;

    /// Checks that the platform answers this node, at a fraction of the cost of a watch. Throws Error
    /// (PlatformUnreachable).
    virtual Awaitable<void> checkReachable() = 0;

    /// Waits up to `wait` for changes after version `after`. An update without changes contains the version to continue
    /// from. Throws Error (PlatformUnreachable, PlatformAnswerInvalid, PlatformHistoryGone).
    virtual Awaitable<membership::ServerUpdate> watchServers(std::uint64_t after, std::chrono::milliseconds wait) = 0;
};

}
