#pragma once

#include "ejectionplan.h"
#include "entrystate.h"
#include "localserver.h"
#include "siblingtable.h"

#include "papayastep/health/healthmonitor.h"

#include <map>
#include <unordered_map>

namespace papayastep::health {

/// A VM that is leaving.
struct LeavingVm
{
    base::Incarnation incarnation = 0; ///< 0 stands for any, as the platform does not know incarnations.
    base::TimePoint since;
};

/// All health state of a node. The monitor writes it, and assessments read it.
struct HealthState
{
    HealthState(const NodeIdentity &self, std::uint64_t seed, const HealthSettings &settings);

    NodeIdentity self;
    HealthSettings settings;
    config::ConfigurationPtr configuration;
    config::VmList vmList;
    std::map<base::BackendServerId, LocalServer> localServers;
    RemoteServers remoteServers;
    SiblingTable siblings;
    EntryState entry;
    std::map<base::VmId, LeavingVm> leaving;

    /// Whether this VM has a server of `service` itself, so that its siblings send it their state.
    bool serves(const base::ServiceId &service) const;
};

/// Health assessment of one service: the plan of ejections and a view of each server, without its load.
struct Assessment
{
    EjectionPlan plan;
    base::Duration usualLatency{}; ///< Median of the latencies that the servers' nodes report; 0 if not known.
    std::unordered_map<base::BackendServerId, ServerView> views;
};

Assessment assess(const HealthState &healthState, const base::ServiceId &service, base::TimePoint now);

/// Adds the current load to `view`. The load changes with each request and is therefore added at each query, while the
/// rest of a view is cached for a tick.
void addLoad(ServerView &view,
             const HealthState &healthState,
             const config::BackendServer &server,
             base::Duration usualLatency,
             base::TimePoint now);

}
