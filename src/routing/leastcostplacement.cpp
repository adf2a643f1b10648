#include "papayastep/routing/leastcostplacement.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <limits>

namespace papayastep::routing {

namespace {

/// A server that is nearly full slows down: with all slots busy, answers take about half as long again.
constexpr double crowding = 0.5;
/// Load that is assumed where nothing is known.
constexpr double unknownLoad = 0.5;

double milliseconds(base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double share(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

bool isOpen(const Candidate &candidate, const PlacementRequest &request)
{
    const bool tried
        = std::find(request.tried.begin(), request.tried.end(), candidate.server) != request.tried.end();
    return !tried && !candidate.drained;
}

/// In which order classes of candidates are fallen back on.
int rankOf(const Candidate &candidate, const PlacementRequest &request)
{
    if (!candidate.pathUsable) {
        return 2;
    }
    const bool trialFits = candidate.trial && request.idempotent;
    return candidate.usable && (!candidate.trial || trialFits) ? 0 : 1;
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
        const double weight = std::clamp(candidate.weight, 0.05, 1.0);
        const double total = cost(candidate, request) * noise / weight;
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
    double total = waitAndRun(candidate);
    total += candidate.failureRisk * milliseconds(request.idempotent ? m_settings.repeatCost : m_settings.lossCost);
    total += candidate.vm != m_self ? milliseconds(m_settings.hopCost) : 0;
    total += candidate.zone != request.zone ? milliseconds(m_settings.zoneCost) : 0;
    if (!request.idempotent) {
        total += orderOf(candidate) * milliseconds(m_settings.orderCost);
    }
    return total;
}

double LeastCostPlacement::waitAndRun(const Candidate &candidate) const
{
    const bool known = candidate.latency > base::Duration::zero();
    const double latency = milliseconds(known ? candidate.latency : m_settings.defaultLatency);
    const double slots = std::max(candidate.slots, 1);
    const bool stale = candidate.freshness > m_settings.staleAfter;
    const double busy = stale ? std::max<double>(candidate.slotsInUse, unknownLoad * slots)
                              : candidate.slotsInUse + candidate.queueLength;
    const double load = busy / slots;
    const double wait = std::max(0.0, busy + 1 - slots) / slots;
    return latency * (1 + crowding * std::min(1.0, load * load) + wait);
}

/// 0 to 1, the same at every entry.
double LeastCostPlacement::orderOf(const Candidate &candidate) const
{
    constexpr double largest = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(base::stableHash(candidate.server.value())) / largest;
}

}
