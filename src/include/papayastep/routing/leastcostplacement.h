#pragma once

#include "papayastep/routing/placement.h"

namespace papayastep::routing {

/// Costs are fractions of the value of a request to its caller: 1 is the cost of a lost request.
struct LeastCostSettings
{
    base::Duration defaultLatency = std::chrono::milliseconds(200); ///< Used where the latency is not known.
    base::Duration staleAfter = std::chrono::seconds(2); ///< Age from which load figures are not used.

    /// Cost of a failed answer: the request is lost. If the request can be repeated, the cost is the work and the time
    /// of the repeat.
    double lossCost = 1;
    double repeatCost = 0.15;
    /// Cost of an answer after the target latency. Operators put the value of a late answer at 0.3 of a timely one.
    double lateCost = 0.7;
    /// Cost of each second of the expected time. All answers within the target latency have the same value; the small
    /// cost directs work to where it is finished first.
    double costPerSecond = 0.1;

    /// Cost of the transfer of a request and its answer to and from another availability zone. At the prices for
    /// transfer, 4 KB cost 5 % of the value of a refund.
    double zoneCost = 0.05;
    double hopCost = 0.005; ///< Cost of a hop to another VM: the work of two nodes.

    /// Value of testing, by a request that can be repeated, whether a server has recovered from a gray failure. Without
    /// such requests, a server that failed once would get no work for as long as others are free.
    double recoveryProbeGain = 0.1;

    /// Value of sending a request to a healthy server that has had no request for `idleAfter`, as the request shows the
    /// server's present state. Without it the servers that answer first, above all the entry's own, get all work at
    /// light load, and it is not known whether the others could serve when they are needed. The value grows in
    /// proportion to the idle time: half of it is counted after half of `idleAfter`.
    double idleGain = 0.08;
    base::Duration idleAfter = std::chrono::seconds(1);

    /// Random fraction of the expected time. Without it all entries with the same stale figures would choose the same
    /// server.
    double jitter = 0.2;
    std::size_t maxScored = 48; ///< Number of candidates above which a random subset is scored.
};

/// Chooses the server with the least expected cost, which consists of the risk that the answer fails in a gray failure
/// or is late, and of the network cost. It suits services whose servers differ in more than their load:
/// TwoChoicePlacement compares only two servers, and of two drawn from fourteen, one is often in a gray failure or in
/// another availability zone.
class LeastCostPlacement final : public PlacementPolicy
{
public:
    explicit LeastCostPlacement(base::VmId self, LeastCostSettings settings = {});

    std::string_view name() const override;
    /// Returns false: each refusal reports the load of its server, and the network cost is counted; the advice of a
    /// sibling covers both less well.
    bool followsAdvice() const override;
    Placement place(std::span<const Candidate> candidates,
                    const PlacementRequest &request,
                    std::mt19937_64 &random) const override;

    double cost(const Candidate &candidate, const PlacementRequest &request) const override;

private:
    /// Returns the cost with the expected time multiplied by `noise`.
    double cost(const Candidate &candidate, const PlacementRequest &request, double noise) const;
    base::Duration expectedResponseTime(const Candidate &candidate) const;
    double explorationGain(const Candidate &candidate, const PlacementRequest &request) const;
    double expectedDelayCost(base::Duration expected, const PlacementRequest &request) const;

    base::VmId m_self;
    LeastCostSettings m_settings;
};

}
