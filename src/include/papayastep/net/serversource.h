#pragma once

#include "papayastep/membership/serverdirectory.h"
#include "papayastep/net/asio.h"

#include <chrono>
#include <cstdint>

namespace papayastep::net {

/// Where backend servers register themselves, read only. A fleet whose operators list the servers in the configuration
/// has none.
class ServerSource
{
public:
    virtual ~ServerSource() = default;

    /// The complete list.
    /// Throws Error (PlatformUnreachable, PlatformAnswerInvalid).
    virtual Awaitable<membership::ServerUpdate> listServers() = 0;

    /// Waits up to `wait` for changes after version `after`. News without any change carries the version to go on from.
    /// Throws Error (PlatformUnreachable, PlatformAnswerInvalid, PlatformHistoryGone).
    virtual Awaitable<membership::ServerUpdate> watchServers(std::uint64_t after, std::chrono::milliseconds wait) = 0;
};

}
