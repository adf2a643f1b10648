#pragma once

#include "papayastep/membership/configdistributor.h"
#include "papayastep/net/platformclient.h"
#include "papayastep/net/signal.h"
#include "papayastep/node/nodecontext.h"

namespace papayastep::node {

/// Makes the platform calls that membership::ConfigDistributor decides on. The configuration and the VM list are read
/// by two separate loops, so that a pending watch of one does not delay the other.
class ConfigurationFetcher
{
public:
    ConfigurationFetcher(NodeContext &context, membership::ConfigDistributor &spread, net::PlatformClient &platform);

    /// Starts both loops.
    void start();
    /// Starts only the loop for the configuration, for nodes that derive the VM list from the directory of backend
    /// servers.
    void startConfigurationOnly();
    void stop();

    /// Makes both loops check for a due call, because the decisions of ConfigDistributor may have changed.
    void wake();

    /// Time of the last request to which the platform answered with the active VM list or confirmed it as unchanged.
    base::TimePoint vmListRequestedAt() const;

private:
    net::Awaitable<void> configurationLoop();
    net::Awaitable<void> vmListLoop();
    net::Awaitable<void> readConfiguration(membership::PlatformCall call);
    net::Awaitable<void> readVmList(membership::PlatformCall call);

    NodeContext &m_context;
    membership::ConfigDistributor &m_spread;
    net::PlatformClient &m_platform;
    net::Signal m_configurationChanged;
    net::Signal m_vmListChanged;
    base::TimePoint m_vmListRequestedAt;
    bool m_stopped = false;
};

}
