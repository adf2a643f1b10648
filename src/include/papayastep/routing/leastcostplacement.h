#pragma once

#include "papayastep/routing/placement.h"

namespace papayastep::routing {

struct LeastCostSettings
{
    base::Duration defaultLatency = std::chrono::milliseconds(100); ///< Where none is known.
    base::Duration staleAfter = std::chrono::seconds(2); ///< Older load figures say nothing about now.

    /// What a failed answer costs: a repeatable request is tried once more; any other is lost, which callers put at
    /// several times a usual answer.
    base::Duration repeatCost = std::chrono::milliseconds(100);
    base::Duration lossCost = std::chrono::milliseconds(3000);

    /// What a request and its answer cost on the way to another availability zone, as the time that one would rather
    /// wait: operators pay for such bytes. At the prices measured, 4 KB are 5 % of what a refund is worth, as is a
    /// twentieth of the lateness that loses two thirds of it.
    base::Duration zoneCost = std::chrono::milliseconds(120);
    /// A hop to another VM costs two nodes' work.
    base::Duration hopCost = std::chrono::milliseconds(15);

    /// Between the first and the last of the common order of servers, for requests that can't be repeated. They gather
    /// on few servers, so that fewer of them are the first to meet a server whose gray spell begins.
    base::Duration orderCost = std::chrono::milliseconds(120);

    /// Random part of each score. Entries with the same stale figures would otherwise all take the same server.
    double jitter = 0.15;
    std::size_t mostScored = 48; ///< Of larger services a random part is looked at.
};

/// Takes the server with the least expected cost in milliseconds: waiting and answering, the risk of a gray spell, and
/// the way there. For services whose servers are told apart by more than their load; TwoChoicePlacement only compares
/// two, and of two draws from fourteen servers one is often in a spell or far away.
class LeastCostPlacement final : public PlacementPolicy
{
public:
    explicit LeastCostPlacement(base::VmId self, LeastCostSettings settings = {});

    std::string_view name() const override;
    Placement place(std::span<const Candidate> candidates,
                    const PlacementRequest &request,
                    std::mt19937_64 &random) const override;

    /// Without the random part.
    double cost(const Candidate &candidate, const PlacementRequest &request) const;

private:
    double waitAndRun(const Candidate &candidate) const;
    double orderOf(const Candidate &candidate) const;

    base::VmId m_self;
    LeastCostSettings m_settings;
};

}
