#include "papayastep/routing/leastcostplacement.h"

#include "papayastep/health/grayfailureestimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace papayastep::routing {

namespace {

/// A server that is nearly full slows down: with all slots busy, answers take about half as long again.
constexpr double crowding = 0.5;
/// A server that warms up is taken for at most twice as slow, as was measured; with its slow start's weight of a tenth
/// it would get nothing for seconds, while its siblings are full.
constexpr double leastWeight = 0.5;
/// What the node beside the server goes by.
constexpr double heldRisk = health::GrayFailureEstimatorSettings().holdThreshold;
constexpr double trialRisk = health::GrayFailureEstimatorSettings().trialThreshold;
/// What a server of which nothing was heard for seconds is taken for. Up to it servers count alike: if those that have
/// just answered were preferred, half of the well servers of a calm service got nothing for two seconds at a time.
constexpr double usualRisk = 0.2;
/// Load that is assumed where nothing is known.
constexpr double unknownLoad = 0.5;

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

base::Duration stretched(base::Duration duration, double factor)
{
    return std::chrono::duration_cast<base::Duration>(duration * factor);
}

/// Probability that an answer expected after `expected` comes after `limit`: run times spread by about half of their
/// mean, which a logistic curve of a fifth of the limit describes well enough.
double probabilityAfter(base::Duration expected, base::Duration limit)
{
    constexpr double spread = 0.2;
    if (limit <= base::Duration::zero()) {
        return 1;
    }
    return 1 / (1 + std::exp((1 - seconds(expected) / seconds(limit)) / spread));
}

double share(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

bool isOpen(const Candidate &candidate, const PlacementRequest &request)
{
    const bool tried = std::find(request.tried.begin(), request.tried.end(), candidate.server) != request.tried.end();
    return !tried && !candidate.drained;
}

/// Whether the node beside the server would refuse the request for a gray spell, which costs a hop for nothing.
bool wouldBeHeldBack(const Candidate &candidate, const PlacementRequest &request)
{
    return candidate.failureRisk > (request.idempotent ? heldRisk : trialRisk);
}

/// In which order classes of candidates are fallen back on.
int rankOf(const Candidate &candidate, const PlacementRequest &request)
{
    if (!candidate.pathUsable) {
        return 2;
    }
    const bool trialFits = candidate.trial && request.idempotent;
    const bool isWell = candidate.usable && (!candidate.trial || trialFits);
    return isWell && !wouldBeHeldBack(candidate, request) ? 0 : 1;
}

}

LeastCostPlacement::LeastCostPlacement(base::VmId self, LeastCostSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

std::string_view LeastCostPlacement::name() const
{
    return "least-cost";
}

bool LeastCostPlacement::followsAdvice() const
{
    return false;
}

Placement LeastCostPlacement::place(std::span<const Candidate> candidates,
                                    const PlacementRequest &request,
                                    std::mt19937_64 &random) const
{
    const double looked = static_cast<double>(m_settings.mostScored) / static_cast<double>(candidates.size() + 1);
    Placement placement;
    int bestRank = std::numeric_limits<int>::max();
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        const bool passedOver = looked < 1 && placement.candidate && share(random) > looked;
        if (!isOpen(candidate, request) || passedOver) {
            continue;
        }
        const int rank = rankOf(candidate, request);
        const double noise = 1 + m_settings.jitter * (2 * share(random) - 1);
        const double weight = std::clamp(candidate.weight, leastWeight, 1.0);
        const double total = cost(candidate, request, noise / weight);
        if (rank < bestRank || (rank == bestRank && total < bestCost)) {
            placement.other = placement.candidate;
            placement.candidate = index;
            bestRank = rank;
            bestCost = total;
        }
    }
    if (!placement.candidate) {
        return {};
    }
    const bool near = candidates[*placement.candidate].zone == request.zone;
    placement.reason = bestRank > 0 ? PlacementReason::AllBad
        : near                      ? PlacementReason::SameZone
                                    : PlacementReason::LeastCost;
    return placement;
}

double LeastCostPlacement::cost(const Candidate &candidate, const PlacementRequest &request) const
{
    return cost(candidate, request, 1);
}

double LeastCostPlacement::cost(const Candidate &candidate, const PlacementRequest &request, double noise) const
{
    const base::Duration expected = stretched(waitAndRun(candidate), noise);
    double total = seconds(expected) * m_settings.costPerSecond + lateness(expected, request);
    const double risk = std::max(0.0, candidate.failureRisk - usualRisk);
    total += risk * (request.idempotent ? m_settings.repeatCost : m_settings.lossCost);
    if (request.idempotent && candidate.failureRisk <= heldRisk) {
        total -= m_settings.scoutGain * std::min(1.0, risk / (trialRisk - usualRisk));
    }
    total -= gainOfUse(candidate, request);
    total += candidate.vm != m_self ? m_settings.hopCost : 0;
    total += candidate.zone != request.zone ? m_settings.zoneCost : 0;
    return total;
}

double LeastCostPlacement::gainOfUse(const Candidate &candidate, const PlacementRequest &request) const
{
    if (wouldBeHeldBack(candidate, request)) {
        return 0;
    }
    return m_settings.idleGain * std::min(1.0, seconds(candidate.idle) / seconds(m_settings.idleAfter));
}

double LeastCostPlacement::lateness(base::Duration expected, const PlacementRequest &request) const
{
    const bool hasDeadline = request.remaining > base::Duration::zero();
    const double lost = hasDeadline ? probabilityAfter(expected, request.remaining) : 0;
    // A time that has passed already makes all servers alike, and only the deadline counts.
    const bool isWanted = request.wantedIn > base::Duration::zero();
    const double late = isWanted ? probabilityAfter(expected, request.wantedIn) : 0;
    return lost * m_settings.lossCost + (1 - lost) * late * m_settings.lateCost;
}

base::Duration LeastCostPlacement::waitAndRun(const Candidate &candidate) const
{
    if (candidate.quoted) {
        return *candidate.quoted;
    }
    const bool known = candidate.latency > base::Duration::zero();
    const base::Duration latency = known ? candidate.latency : m_settings.defaultLatency;
    const double slots = std::max(candidate.slots, 1);
    const bool stale = candidate.freshness > m_settings.staleAfter;
    const double busy = stale ? std::max<double>(candidate.slotsInUse, unknownLoad * slots)
                              : candidate.slotsInUse + candidate.queueLength;
    const double load = busy / slots;
    const double wait = std::max(0.0, busy + 1 - slots) / slots;
    return stretched(latency, 1 + crowding * std::min(1.0, load * load) + wait);
}

}
