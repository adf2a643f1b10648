#pragma once

#include "latencydistribution.h"

#include "papayastep/base/clock.h"
#include "papayastep/health/messages.h"
#include "papayastep/health/serverstate.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// What this node was told about a backend server elsewhere, by the node beside it.
struct RemoteServer
{
    ServerState state = ServerState::Healthy;
    base::TimePoint stateSince; ///< When this node first heard of the state.
    bool unhealthy = false;
    int severity = 0;
    int slotsInUse = 0;
    int queueLength = 0;
    std::uint8_t latencySteps = 0;
    double failureShare = 0;
    bool accepting = true;
    std::optional<base::TimePoint> receivedAt;
    std::unordered_map<std::uint32_t, std::uint8_t> routes; ///< Latency steps by route hash. Siblings only.
    std::optional<LatencyDistribution> distribution; ///< Siblings only.

    void setState(std::uint8_t told, base::TimePoint now);
    void update(const ServerStatus &claim, base::TimePoint now);
    void absorb(const ServerReport &report, base::TimePoint now);

    /// Keeps only what changes slowly: the usual latencies.
    void invalidate();

    /// Takes a share of ordinary work, so its figures say what is usual.
    bool takesWork() const;
};

}
