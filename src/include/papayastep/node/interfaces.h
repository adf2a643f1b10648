#pragma once

#include "papayastep/config/check.h"
#include "papayastep/net/callstatistics.h"
#include "papayastep/net/platformclient.h"
#include "papayastep/net/serversource.h"
#include "papayastep/node/backendprotocol.h"
#include "papayastep/node/callerprotocol.h"
#include "papayastep/node/settings.h"

#include <memory>

namespace papayastep::node {

/// The interfaces of a node to systems outside the fleet.
struct Interfaces
{
    std::unique_ptr<CallerProtocol> callers;
    std::unique_ptr<BackendProtocol> backends;
    std::shared_ptr<net::CallStatistics> platformCalls = std::make_shared<net::CallStatistics>();
    std::shared_ptr<net::PlatformClient> platform;
    std::shared_ptr<net::ServerSource> servers; ///< Null if the configuration lists the backend servers.
    /// Skip if the platform has accepted a configuration before it publishes it, so that no operator corrects it here.
    config::InvalidEntries invalidEntries = config::InvalidEntries::Reject;
};

/// Returns the interfaces that papayastep defines itself.
Interfaces nativeInterfaces(net::asio::io_context &io, const base::Clock &clock, const NodeSettings &settings);

}
