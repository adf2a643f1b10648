#pragma once

#include "papayastep/routing/placement.h"

namespace papayastep::routing {

/// Costs are parts of what a request is worth to its caller: 1 is a request that is lost.
struct LeastCostSettings
{
    base::Duration defaultLatency = std::chrono::milliseconds(200); ///< Where none is known.
    base::Duration staleAfter = std::chrono::seconds(2); ///< Older load figures say nothing about now.

    /// A failed answer loses a request, but for one that can be repeated: that costs the repeat's work and time.
    double lossCost = 1;
    double repeatCost = 0.15;
    /// An answer that comes later than it is wanted. Operators measured put it at 0.3 of a timely one.
    double lateCost = 0.7;
    /// An answer within the time wanted costs the same whenever it comes; a little is charged for the time all the
    /// same, so that work goes where it is done soonest.
    double costPerSecond = 0.1;

    /// A request and its answer on the way to another availability zone. At the prices measured 4 KB are 5 % of what a
    /// refund is worth.
    double zoneCost = 0.05;
    double hopCost = 0.005; ///< To another VM: two nodes' work.

    /// What it gains to learn, by a request that can be repeated, whether a server is out of its gray spell. Without
    /// scouts one that failed once would get nothing for as long as others are free.
    double recoveryProbeGain = 0.1;

    /// What it gains to give a request to a well server that nobody has used for `idleAfter`: it shows how the server
    /// is now. Without it those that answer soonest, an entry's own first of all, keep all work at light load, and of
    /// the others nobody knows whether they would serve when they are needed. Half of it is counted after half of the
    /// time.
    double idleGain = 0.08;
    base::Duration idleAfter = std::chrono::seconds(1);

    /// Random part of the expected time. Entries with the same stale figures would otherwise all take the same server.
    double jitter = 0.2;
    std::size_t maxScored = 48; ///< Of larger services a random part is looked at.
};

/// Takes the server with the least expected cost: the risk that the answer fails in a gray spell or comes late, and the
/// way there. For services whose servers are told apart by more than their load; TwoChoicePlacement only compares
/// two, and of two draws from fourteen servers one is often in a spell or far away.
class LeastCostPlacement final : public PlacementPolicy
{
public:
    explicit LeastCostPlacement(base::VmId self, LeastCostSettings settings = {});

    std::string_view name() const override;
    /// Each refusal tells how loaded its server is, and the way there counts; a sibling's advice knows neither as well.
    bool followsAdvice() const override;
    Placement place(std::span<const Candidate> candidates,
                    const PlacementRequest &request,
                    std::mt19937_64 &random) const override;

    double cost(const Candidate &candidate, const PlacementRequest &request) const override;

private:
    /// `noise` stretches the expected time; 1: not at all.
    double cost(const Candidate &candidate, const PlacementRequest &request, double noise) const;
    base::Duration expectedResponseTime(const Candidate &candidate) const;
    double explorationGain(const Candidate &candidate, const PlacementRequest &request) const;
    double expectedDelayCost(base::Duration expected, const PlacementRequest &request) const;

    base::VmId m_self;
    LeastCostSettings m_settings;
};

}
