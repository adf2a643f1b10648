#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"

#include <map>
#include <optional>
#include <vector>

namespace papayastep::membership {

/// The ports that are the same on all nodes of a fleet.
struct FleetPorts
{
    std::uint16_t caller = 0;
    std::uint16_t hop = 0;
    std::uint16_t peer = 0;
    std::uint16_t admin = 0;

    auto operator<=>(const FleetPorts &) const = default;
};

/// Settings of a VmListBuilder.
struct VmListBuilderSettings
{
    /// Time for which a VM stays listed after its last backend server disappeared from the directory. The entry of a
    /// server that is cut off from the platform lapses, while the node beside it still serves callers and holds shares
    /// of rates; without this time its peers would treat it as unlisted at once. Five times the longest lapse (6 s).
    base::Duration retentionWithoutServer = std::chrono::seconds(30);
};

/// Builds the list of VMs from the directory of backend servers if the platform publishes no list of its own: each
/// backend server has a node beside it at the same IP address, and the ports of nodes are the same everywhere.
class VmListBuilder
{
public:
    VmListBuilder(const base::Clock &clock,
                  config::VmEntry self,
                  FleetPorts ports,
                  VmListBuilderSettings settings = {});

    /// Records the VMs of `servers` and returns the new list. The list always contains the own VM. VMs without a server
    /// in `servers` are marked as retained, the own one included, so that lists of one version differ only in these.
    config::VmList update(std::uint64_t version, const std::vector<config::BackendServer> &servers);

    /// Time at which the next retained VM is to be removed by an update; empty if none is retained.
    std::optional<base::TimePoint> nextExpiry() const;

private:
    struct KnownVm
    {
        config::VmEntry entry;
        base::TimePoint seenAt;
    };

    const base::Clock &m_clock;
    const config::VmEntry m_self;
    const FleetPorts m_ports;
    const VmListBuilderSettings m_settings;
    std::map<base::VmId, KnownVm> m_knownVms;
};

}
