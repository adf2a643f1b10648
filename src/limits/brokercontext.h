#pragma once

#include "outbox.h"
#include "sharemap.h"
#include "zonetenure.h"

#include "papayastep/limits/tokenbroker.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace papayastep::limits {

/// What all workspaces of one broker have in common.
class BrokerContext
{
public:
    BrokerContext(const NodeIdentity &self, const base::Clock &clock, const BrokerSettings &settings);

    /// True if it is now in force.
    bool applyConfiguration(config::ConfigurationPtr configuration);
    bool applyVmList(const config::VmList &list, base::TimePoint heardAt);

    /// Rises whenever holders, shares or their terms may have changed.
    std::uint64_t topology();

    /// Null for a workspace that the configuration in force does not have.
    const config::Workspace *workspace(const base::WorkspaceId &id) const;

    /// Terms of this node's own share of `workspace`. A share that a change of configuration lets grow keeps its old
    /// size until the change is in force everywhere: the others shrink only when they hear of it.
    ShareTerms ownTerms(const config::Workspace &workspace) const;

    /// Since when a share of `workspace` may have filled, as far as changes of configuration bound it. A workspace that
    /// was taken away and came back, or a share that grew, does not begin full: its tokens may be spent elsewhere.
    base::TimePoint fillsSince(const config::Workspace &workspace) const;

    /// A VM that did not answer is passed over for a while.
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
    std::unordered_map<std::uint64_t, base::WorkspaceId> askWorkspaces; ///< Pending asks -> for which workspace.
    bool draining = false;
    std::uint64_t lastGrant = 0;
    std::uint64_t lastAsk = 0;
    std::uint64_t lastLot = 0;

private:
    struct Growth
    {
        double fraction = 0; ///< The smallest fraction of the configurations before.
        base::TimePoint until;
    };

    void recordChanges(const config::Configuration &before,
                       const config::Configuration &after,
                       const ShareMap &oldShares);
    void recordGrowth(const config::Workspace &before, const config::Workspace &after, const ShareMap &oldShares);

    std::uint64_t m_topology = 0;
    std::unordered_map<base::WorkspaceId, Growth> m_growths; ///< Kept for a day.
    std::unordered_map<base::WorkspaceId, base::TimePoint> m_removed; ///< When they were taken away. Kept for a day.
    std::optional<base::TimePoint> m_nextGrowth; ///< When terms change next.
    std::map<base::VmId, base::TimePoint> m_suspectedUntil;
};

}
