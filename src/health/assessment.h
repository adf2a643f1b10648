#pragma once

#include "ejectionplan.h"
#include "entrystate.h"
#include "localserver.h"
#include "siblingtable.h"

#include "papayastep/health/healthmonitor.h"

#include <map>
#include <unordered_map>

namespace papayastep::health {

/// A VM that is about to go.
struct LeavingVm
{
    base::Incarnation incarnation = 0; ///< 0: any; the platform does not know incarnations.
    base::TimePoint since;
};

/// Everything a node knows; the monitor writes it, assessments read it.
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

    /// Whether this VM has a server of `service` itself, so that its siblings keep it informed.
    bool serves(const base::ServiceId &service) const;
};

/// What a node makes of one service: the plan of ejections and a view of each server, without its load.
struct Assessment
{
    EjectionPlan plan;
    base::Duration usualLatency{}; ///< Median of what the servers' nodes tell.
    std::unordered_map<base::BackendServerId, ServerView> views;
};

Assessment assess(const HealthState &knowledge, const base::ServiceId &service, base::TimePoint now);

/// Load changes with each request and is therefore read at each look, while the rest of a view is kept for a tick.
void addLoad(ServerView &view,
             const HealthState &knowledge,
             const config::BackendServer &server,
             base::Duration usualLatency,
             base::TimePoint now);

}
