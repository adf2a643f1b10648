#pragma once

#include "outbox.h"
#include "sharemap.h"
#include "zonetenure.h"

#include "papayastep/limits/tokenbroker.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace papayastep::limits {

/// State that all workspaces of one broker share.
class BrokerContext
{
public:
    BrokerContext(const NodeIdentity &self, const base::Clock &clock, const BrokerSettings &settings);

    /// Returns true if the configuration is newer and was applied.
    bool applyConfiguration(config::ConfigurationPtr configuration);
    bool applyVmList(const config::VmList &list, base::TimePoint requestedAt);

    /// Number that rises whenever holders, shares or their terms may have changed.
    std::uint64_t topology();

    /// Returns the configured workspace, or null if the current configuration does not contain it.
    const config::Workspace *workspace(const base::WorkspaceId &id) const;

    /// Terms of this node's own share of `workspace`. A share that grows with a new configuration keeps its old size
    /// until the configuration is in force on all nodes, because the other shares shrink only when their holders
    /// receive it.
    ShareTerms ownTerms(const config::Workspace &workspace) const;

    /// Earliest time from which a share of `workspace` may refill after changes of configuration. A workspace that was
    /// removed and added again, or a share that grew, does not start full, because its tokens may be spent elsewhere.
    base::TimePoint fillsSince(const config::Workspace &workspace) const;

    /// Skips `vm` for a while, because it did not answer.
    void suspect(const base::VmId &vm);
    void clearSuspicion(const base::VmId &vm);
    bool isSuspected(const base::VmId &vm) const;

    const NodeIdentity self;
    const base::Clock &clock;
    const BrokerSettings settings;
    LimiterCounters counters;
    ZoneTenure tenure;
    Outbox outbox;
    std::vector<AdmissionDecision> decisions;
    config::ConfigurationPtr configuration;
    config::VmList list;
    ShareMap shares;
    std::unordered_map<std::uint64_t, base::WorkspaceId> askWorkspaces; ///< Workspaces of the pending asks, by ask id.
    bool draining = false;
    std::uint64_t lastGrant = 0;
    std::uint64_t lastAsk = 0;
    std::uint64_t lastLot = 0;

private:
    struct Growth
    {
        double fraction = 0; ///< Smallest fraction in the previous configurations.
        base::TimePoint until;
    };

    void recordChanges(const config::Configuration &before,
                       const config::Configuration &after,
                       const ShareMap &oldShares);
    void recordGrowth(const config::Workspace &before, const config::Workspace &after, const ShareMap &oldShares);

    std::uint64_t m_topology = 0;
    std::unordered_map<base::WorkspaceId, Growth> m_growths; ///< Share growths of the last day.
    /// Times at which workspaces were removed in the last day.
    std::unordered_map<base::WorkspaceId, base::TimePoint> m_removed;
    std::optional<base::TimePoint> m_nextGrowth; ///< Time at which the terms of a share change next.
    std::map<base::VmId, base::TimePoint> m_suspectedUntil;
};

}
