#pragma once

#include "papayastep/membership/configdistributor.h"
#include "papayastep/net/platformclient.h"
#include "papayastep/net/signal.h"
#include "papayastep/node/nodecontext.h"

namespace papayastep::node {

/// Does the platform calls that membership::ConfigDistributor decides on. Two loops, one for the configuration and one
/// for the VM list, so that a waiting watch of the one does not hold up the other.
class ConfigurationFetcher
{
public:
    ConfigurationFetcher(NodeContext &context, membership::ConfigDistributor &spread, net::PlatformClient &platform);

    /// Starts both loops.
    void start();
    /// Without the VM list: that is made from the directory of backend servers.
    void startConfigurationOnly();
    void stop();

    /// The decisions may have changed: look at them again.
    void wake();

    /// When the platform last named the VM list in force, by when it was asked.
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
