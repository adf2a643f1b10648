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

    /// Reads the complete list of registered servers. Throws Error (PlatformUnreachable, PlatformAnswerInvalid).
    virtual Awaitable<membership::ServerUpdate> listServers() = 0;

    /// Waits up to `wait` for changes after version `after`. An update without changes contains the version to continue
    /// from. Throws Error (PlatformUnreachable, PlatformAnswerInvalid, PlatformHistoryGone).
    virtual Awaitable<membership::ServerUpdate> watchServers(std::uint64_t after, std::chrono::milliseconds wait) = 0;
};

}
