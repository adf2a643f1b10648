#pragma once

#include "papayastep/net/callbook.h"
#include "papayastep/net/platformclient.h"
#include "papayastep/net/serversource.h"
#include "papayastep/node/backendprotocol.h"
#include "papayastep/node/callerprotocol.h"
#include "papayastep/node/settings.h"

#include <memory>

namespace papayastep::node {

/// All that a node speaks with the world outside the fleet.
struct Interfaces
{
    std::unique_ptr<CallerProtocol> callers;
    std::unique_ptr<BackendProtocol> backends;
    std::shared_ptr<net::CallBook> platformCalls = std::make_shared<net::CallBook>();
    std::shared_ptr<net::PlatformClient> platform;
    std::shared_ptr<net::ServerSource> servers; ///< Null: backend servers stand in the configuration.
};

/// The interfaces of papayastep itself.
Interfaces nativeInterfaces(net::asio::io_context &io, const base::Clock &clock, const NodeSettings &settings);

}
