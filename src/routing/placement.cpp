#include "papayastep/routing/placement.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace papayastep::routing {

namespace {

using Indexes = boost::container::small_vector<std::uint32_t, 256>;

constexpr int drawsWhenFull = 2; ///< Number of draws in addition to the first two.
constexpr int maxWeightedDraws = 8; ///< After these the last draw is used, which limits the work for small weights.

double milliseconds(base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns a random number in [0, size). The bias of the multiplication is below 2^-32 for any real number of servers.
std::uint32_t draw(std::mt19937_64 &random, std::size_t size)
{
    return static_cast<std::uint32_t>(((random() >> 32) * size) >> 32);
}

double drawShare(std::mt19937_64 &random)
{
    constexpr double steps = 1.0 / (1ull << 53);
    return static_cast<double>(random() >> 11) * steps;
}

bool wasTried(const Candidate &candidate, const std::vector<base::BackendServerId> &tried)
{
    return std::find(tried.begin(), tried.end(), candidate.server) != tried.end();
}

/// Returns whether the candidate's own state allows ordinary traffic.
bool isHealthy(const Candidate &candidate)
{
    return candidate.usable && candidate.pathUsable && !candidate.trial && !candidate.drained;
}

std::uint32_t drawWeighted(std::span<const Candidate> candidates, const Indexes &from, std::mt19937_64 &random)
{
    std::uint32_t index = 0;
    for (int i = 0; i < maxWeightedDraws; ++i) {
        index = from[draw(random, from.size())];
        if (candidates[index].weight >= 1 || drawShare(random) < candidates[index].weight) {
            break;
        }
    }
    return index;
}

/// Draws an element of `from` other than `first`; there must be one.
std::uint32_t drawOther(std::span<const Candidate> candidates,
                        const Indexes &from,
                        std::uint32_t first,
                        std::mt19937_64 &random)
{
    const std::uint32_t drawn = drawWeighted(candidates, from, random);
    if (drawn != first) {
        return drawn;
    }
    // Chooses another one with equal probabilities, without an unlimited number of draws.
    const auto position = static_cast<std::size_t>(std::find(from.begin(), from.end(), first) - from.begin());
    return from[(position + 1 + draw(random, from.size() - 1)) % from.size()];
}

bool isFull(const Candidate &candidate)
{
    return candidate.slotsInUse + candidate.queueLength >= candidate.slots;
}

Placement placementOf(std::uint32_t index, PlacementReason reason)
{
    return Placement{index, std::nullopt, reason};
}

/// Places a request when no server is healthy. A wrong verdict on all servers must not stop the service, so all share
/// the traffic. Servers behind a broken network path are the last resort.
Placement placeWhenAllUnhealthy(std::span<const Candidate> candidates,
                                const PlacementRequest &request,
                                std::mt19937_64 &random)
{
    Indexes reachable;
    Indexes others;
    for (std::uint32_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].drained || wasTried(candidates[i], request.tried)) {
            continue;
        }
        (candidates[i].pathUsable ? reachable : others).push_back(i);
    }
    const Indexes &from = reachable.empty() ? others : reachable;
    if (from.empty()) {
        return {};
    }
    return placementOf(from[draw(random, from.size())], PlacementReason::AllUnhealthy);
}

/// Draws a server on trial, which gets the fraction of an equal share that its weight gives. To be called only for
/// requests that can be repeated elsewhere.
std::optional<std::uint32_t> placeOnTrial(std::span<const Candidate> candidates,
                                          const Indexes &trials,
                                          std::mt19937_64 &random)
{
    double point = drawShare(random) * static_cast<double>(candidates.size());
    for (const std::uint32_t index : trials) {
        point -= candidates[index].weight;
        if (point < 0) {
            return index;
        }
    }
    return std::nullopt;
}

}

std::string_view name(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::BetterOfTwo:
        return "better-of-two";
    case PlacementReason::SameZone:
        return "same-zone";
    case PlacementReason::OnlyOne:
        return "only-one";
    case PlacementReason::Trial:
        return "trial";
    case PlacementReason::LeastCost:
        return "least-cost";
    case PlacementReason::AllUnhealthy:
        return "all-bad";
    case PlacementReason::Random:
        return "random";
    case PlacementReason::NoCandidate:
        return "nobody";
    }
    return "nobody";
}

std::string_view RandomPlacement::name() const
{
    return "random";
}

double RandomPlacement::cost(const Candidate &, const PlacementRequest &) const
{
    return 0;
}

Placement RandomPlacement::place(std::span<const Candidate> candidates,
                                 const PlacementRequest &request,
                                 std::mt19937_64 &random) const
{
    Indexes from;
    for (std::uint32_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].drained && !wasTried(candidates[i], request.tried)) {
            from.push_back(i);
        }
    }
    if (from.empty()) {
        return {};
    }
    return placementOf(from[draw(random, from.size())], PlacementReason::Random);
}

TwoChoicePlacement::TwoChoicePlacement(TwoChoiceSettings settings)
    : m_settings(settings)
{
}

std::string_view TwoChoicePlacement::name() const
{
    return "two-choices";
}

double TwoChoicePlacement::score(const Candidate &candidate, bool idempotent) const
{
    const bool known = candidate.latency > base::Duration::zero();
    const double latency = milliseconds(known ? candidate.latency : m_settings.defaultLatency);
    const double slots = std::max(candidate.slots, 1);
    // For stale figures half of the slots are assumed to be busy.
    const bool stale = candidate.loadAge > m_settings.staleAfter;
    const double load = stale ? 0.5 : (candidate.slotsInUse + candidate.queueLength) / slots;
    const double queueing = stale ? 0 : candidate.queueLength / slots;
    const double failure = milliseconds(idempotent ? m_settings.repeatCost : m_settings.lossCost);
    return latency * (1 + load + queueing) + candidate.failureRisk * failure;
}

double TwoChoicePlacement::cost(const Candidate &candidate, const PlacementRequest &request) const
{
    return score(candidate, request.idempotent);
}

Placement TwoChoicePlacement::place(std::span<const Candidate> candidates,
                                    const PlacementRequest &request,
                                    std::mt19937_64 &random) const
{
    Indexes healthy;
    Indexes nearby;
    Indexes trials;
    bool anyHealthy = false;
    for (std::uint32_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const bool isTrial = candidate.trial && candidate.pathUsable && !candidate.drained;
        anyHealthy = anyHealthy || isHealthy(candidate);
        if (wasTried(candidate, request.tried)) {
            continue;
        }
        if (isTrial && request.idempotent) {
            trials.push_back(i);
        }
        if (isHealthy(candidate)) {
            healthy.push_back(i);
            if (candidate.zone == request.zone) {
                nearby.push_back(i);
            }
        }
    }
    if (!anyHealthy) {
        return placeWhenAllUnhealthy(candidates, request, random);
    }
    if (!trials.empty()) {
        if (const auto trial = placeOnTrial(candidates, trials, random)) {
            return placementOf(*trial, PlacementReason::Trial);
        }
    }
    if (healthy.empty()) {
        return {};
    }
    if (healthy.size() == 1) {
        return placementOf(healthy.front(), PlacementReason::OnlyOne);
    }

    const std::uint32_t first = drawWeighted(candidates, nearby.empty() ? healthy : nearby, random);
    Placement placement = betterOfTwo(candidates, request, first, drawOther(candidates, healthy, first, random));
    // If both servers are full, others may have room. A queued request waits for the time of a whole answer, so further
    // draws are worth their cost. Their number is small, since with lagging figures all entries would overload the same
    // idle server.
    for (int i = 0; i < drawsWhenFull && isFull(candidates[*placement.candidate]); ++i) {
        const auto best = static_cast<std::uint32_t>(*placement.candidate);
        placement = betterOfTwo(candidates, request, best, drawOther(candidates, healthy, best, random));
    }
    return placement;
}

Placement TwoChoicePlacement::betterOfTwo(std::span<const Candidate> candidates,
                                          const PlacementRequest &request,
                                          std::uint32_t first,
                                          std::uint32_t second) const
{
    const bool prefersFirst = candidates[first].zone == request.zone && candidates[second].zone != request.zone;
    const double tolerance = prefersFirst ? 1 + m_settings.sameZoneTolerance : 1;
    const double scoreOfFirst = score(candidates[first], request.idempotent);
    const double scoreOfSecond = score(candidates[second], request.idempotent);
    if (scoreOfFirst <= scoreOfSecond * tolerance) {
        const auto reason = prefersFirst ? PlacementReason::SameZone : PlacementReason::BetterOfTwo;
        return Placement{first, second, reason};
    }
    return Placement{second, first, PlacementReason::BetterOfTwo};
}

namespace {

std::string noteFor(const Candidate &candidate, const PlacementRequest &request)
{
    if (candidate.drained) {
        return "draining or leaving";
    }
    if (wasTried(candidate, request.tried)) {
        return "already tried";
    }
    if (!candidate.pathUsable) {
        return "path broken";
    }
    if (candidate.trial) {
        return request.idempotent ? "on trial, gets few requests" : "on trial, idempotent requests only";
    }
    return candidate.usable ? "" : "ejected";
}

std::string sentenceFor(std::span<const ScoredCandidate> scored, const Placement &placement)
{
    if (!placement.candidate) {
        return "No backend server can take the request.";
    }
    std::ostringstream sentence;
    sentence.precision(3);
    const ScoredCandidate &chosen = scored[*placement.candidate];
    sentence << "Chose " << chosen.candidate.server << ' ';
    switch (placement.reason) {
    case PlacementReason::BetterOfTwo:
    case PlacementReason::SameZone: {
        const ScoredCandidate &other = scored[*placement.other];
        const bool sameZone = placement.reason == PlacementReason::SameZone;
        sentence << (sameZone ? "in the same zone, no worse than " : "as the better of two, before ");
        sentence << other.candidate.server << " (" << chosen.score << " ms against " << other.score << " ms).";
        break;
    }
    case PlacementReason::OnlyOne:
        sentence << "as the only candidate left.";
        break;
    case PlacementReason::Trial:
        sentence << "on trial, to test whether it has recovered.";
        break;
    case PlacementReason::LeastCost:
        sentence << "for the least expected cost.";
        break;
    case PlacementReason::AllUnhealthy:
        sentence << "at random, since no backend server is healthy.";
        break;
    case PlacementReason::Random:
    case PlacementReason::NoCandidate:
        sentence << "at random.";
        break;
    }
    return sentence.str();
}

}

PlacementExplanation TwoChoicePlacement::explain(std::span<const Candidate> candidates,
                                                 const PlacementRequest &request,
                                                 const Placement &placement) const
{
    PlacementExplanation explanation;
    for (const Candidate &candidate : candidates) {
        const std::string note = noteFor(candidate, request);
        const bool eligible = note.empty() || (candidate.trial && request.idempotent && !candidate.drained);
        explanation.candidates.push_back(
            ScoredCandidate{candidate, score(candidate, request.idempotent), eligible, note});
    }
    explanation.sentence = sentenceFor(explanation.candidates, placement);
    return explanation;
}

std::optional<std::size_t> chooseHandOverTarget(const Candidate &own,
                                                std::span<const Candidate> siblings,
                                                const HandOverRequest &request,
                                                std::mt19937_64 &random,
                                                const HandOverSettings &settings)
{
    if (request.handedOverBefore || own.latency <= base::Duration::zero()) {
        return std::nullopt;
    }
    const double slots = std::max(own.slots, 1);
    const double ownTime = milliseconds(own.latency) * (1 + (request.queuedBefore + 1) / slots);
    const double limit = std::min(ownTime / settings.factor, milliseconds(request.remaining));
    const auto timeOf
        = [&](const Candidate &sibling) { return milliseconds(sibling.latency) + milliseconds(settings.hopCost); };

    Indexes better;
    for (std::uint32_t i = 0; i < siblings.size(); ++i) {
        const Candidate &sibling = siblings[i];
        const bool hasFreeSlot = sibling.slotsInUse + sibling.queueLength < sibling.slots;
        const bool isKnown = sibling.loadAge <= settings.staleAfter && sibling.latency > base::Duration::zero();
        if (isHealthy(sibling) && hasFreeSlot && isKnown && !wasTried(sibling, request.tried)
            && timeOf(sibling) < limit) {
            better.push_back(i);
        }
    }
    if (better.empty()) {
        return std::nullopt;
    }
    // Two random choices are compared here too: if all full servers chose the same best sibling, it would be overloaded
    // within a second.
    const std::uint32_t first = drawWeighted(siblings, better, random);
    const std::uint32_t second = drawWeighted(siblings, better, random);
    const auto freeSlots = [&](std::uint32_t index) { return siblings[index].slots - siblings[index].slotsInUse; };
    return freeSlots(first) >= freeSlots(second) ? first : second;
}

}
