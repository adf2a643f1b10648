#include "papayastep/routing/leastcostplacement.h"

#include "papayastep/health/grayfailureestimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace papayastep::routing {

namespace {

/// Fraction by which answers take longer with all slots busy, as a nearly full server slows down.
constexpr double fullLoadSlowdown = 0.5;
/// Lower limit of the slow-start weight: a server that warms up counts as at most twice as slow. With the weight of a
/// tenth it would get no work for seconds, while its siblings are full.
constexpr double minWeight = 0.5;
/// The limits by which the node beside the server decides.
constexpr double heldRisk = health::GrayFailureEstimatorSettings().holdThreshold;
constexpr double trialRisk = health::GrayFailureEstimatorSettings().trialThreshold;
/// Risk that is assumed for a server without news for seconds. Servers with lower risks count alike: if those that have
/// just answered were preferred, half of the healthy servers of a service with little traffic would get no work for two
/// seconds at a time.
constexpr double defaultRisk = 0.2;
/// Load that is assumed if it is not known.
constexpr double defaultLoad = 0.5;

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

base::Duration scaled(base::Duration duration, double factor)
{
    return std::chrono::duration_cast<base::Duration>(duration * factor);
}

/// Returns the probability that an answer expected after `expected` arrives after `limit`. Run times vary by about half
/// of their mean, which a logistic curve with a scale of a fifth of the limit describes well enough.
double probabilityAfter(base::Duration expected, base::Duration limit)
{
    constexpr double scale = 0.2;
    if (limit <= base::Duration::zero()) {
        return 1;
    }
    return 1 / (1 + std::exp((1 - seconds(expected) / seconds(limit)) / scale));
}

double share(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

bool isEligible(const Candidate &candidate, const PlacementRequest &request)
{
    const bool tried = std::find(request.tried.begin(), request.tried.end(), candidate.server) != request.tried.end();
    return !tried && !candidate.drained;
}

/// Returns whether the node beside the server would refuse the request because of a gray failure, which wastes a hop.
bool wouldBeHeldBack(const Candidate &candidate, const PlacementRequest &request)
{
    return candidate.failureRisk > (request.idempotent && request.mayBeTrial ? heldRisk : trialRisk);
}

/// Returns the rank of the candidate's class: classes of a higher rank are used only if all lower ones are empty.
int rankOf(const Candidate &candidate, const PlacementRequest &request)
{
    if (!candidate.pathUsable) {
        return 2;
    }
    const bool canTakeTrial = candidate.trial && request.idempotent;
    const bool isHealthy = candidate.usable && (!candidate.trial || canTakeTrial);
    return isHealthy && !wouldBeHeldBack(candidate, request) ? 0 : 1;
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
    const double scoredShare = static_cast<double>(m_settings.maxScored) / static_cast<double>(candidates.size() + 1);
    Placement placement;
    int bestRank = std::numeric_limits<int>::max();
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        const bool isSkipped = scoredShare < 1 && placement.candidate && share(random) > scoredShare;
        if (!isEligible(candidate, request) || isSkipped) {
            continue;
        }
        const int rank = rankOf(candidate, request);
        const double noise = 1 + m_settings.jitter * (2 * share(random) - 1);
        const double weight = std::clamp(candidate.weight, minWeight, 1.0);
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
    placement.reason = bestRank > 0 ? PlacementReason::AllUnhealthy
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
    const base::Duration expected = scaled(expectedResponseTime(candidate), noise);
    double total = seconds(expected) * m_settings.costPerSecond + expectedDelayCost(expected, request);
    const double risk = std::max(0.0, candidate.failureRisk - defaultRisk);
    total += risk * (request.idempotent ? m_settings.repeatCost : m_settings.lossCost);
    if (request.idempotent && request.mayBeTrial && candidate.failureRisk <= heldRisk) {
        total -= m_settings.recoveryProbeGain * std::min(1.0, risk / (trialRisk - defaultRisk));
    }
    total -= explorationGain(candidate, request);
    total += candidate.vm != m_self ? m_settings.hopCost : 0;
    total += candidate.zone != request.zone ? request.zoneCost.value_or(m_settings.zoneCost) : 0;
    return total;
}

double LeastCostPlacement::explorationGain(const Candidate &candidate, const PlacementRequest &request) const
{
    if (wouldBeHeldBack(candidate, request)) {
        return 0;
    }
    return m_settings.idleGain * std::min(1.0, seconds(candidate.idle) / seconds(m_settings.idleAfter));
}

double LeastCostPlacement::expectedDelayCost(base::Duration expected, const PlacementRequest &request) const
{
    const bool hasDeadline = request.remaining > base::Duration::zero();
    const double lost = hasDeadline ? probabilityAfter(expected, request.remaining) : 0;
    // If the target time has passed already, all servers are equally late and only the deadline counts.
    const bool isWanted = request.remainingTarget > base::Duration::zero();
    const double late = isWanted ? probabilityAfter(expected, request.remainingTarget) : 0;
    return lost * m_settings.lossCost + (1 - lost) * late * m_settings.lateCost;
}

base::Duration LeastCostPlacement::expectedResponseTime(const Candidate &candidate) const
{
    if (candidate.quotedTime) {
        return *candidate.quotedTime;
    }
    const bool known = candidate.latency > base::Duration::zero();
    const base::Duration latency = known ? candidate.latency : m_settings.defaultLatency;
    const double slots = std::max(candidate.slots, 1);
    const bool stale = candidate.loadAge > m_settings.staleAfter;
    const double busy = stale ? std::max<double>(candidate.slotsInUse, defaultLoad * slots)
                              : candidate.slotsInUse + candidate.queueLength;
    const double load = busy / slots;
    const double wait = std::max(0.0, busy + 1 - slots) / slots;
    return scaled(latency, 1 + fullLoadSlowdown * std::min(1.0, load * load) + wait);
}

}
