#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"

#include <map>
#include <vector>

namespace papayastep::membership {

/// The ports that all nodes of a fleet have in common.
struct FleetPorts
{
    std::uint16_t caller = 0;
    std::uint16_t hop = 0;
    std::uint16_t peer = 0;
    std::uint16_t admin = 0;

    auto operator<=>(const FleetPorts &) const = default;
};

struct VmListBuilderSettings
{
    /// How long a VM stays listed after its last backend server vanished from the directory. A server that is cut off
    /// from the platform lapses there while the node beside it still serves callers and holds shares of rates; without
    /// this it would be a stranger to its peers at once. Five times the longest lapse seen in trials (6 s).
    base::Duration retentionWithoutServer = std::chrono::seconds(30);
};

/// Makes the list of VMs from the directory of backend servers, where the platform publishes no list of its own: each
/// backend server has a node beside it, at the same IP number, and the ports of nodes are the same everywhere.
class VmListBuilder
{
public:
    VmListBuilder(const base::Clock &clock,
                  config::VmEntry self,
                  FleetPorts ports,
                  VmListBuilderSettings settings = {});

    /// Notes the VMs of `servers`. The list always names the own VM.
    config::VmList update(std::uint64_t version, const std::vector<config::BackendServer> &servers);

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
