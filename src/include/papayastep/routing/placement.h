#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

/// On which backend server a request goes.
namespace papayastep::routing {

/// What the entry knows about one backend server of a service. Filled by the node from health and load.
struct Candidate
{
    base::BackendServerId server;
    base::VmId vm;
    base::ZoneId zone;
    bool usable = true; ///< Not ejected.
    bool trial = false; ///< Ejected, and given a trickle to show that it is well again.
    bool drained = false; ///< Draining or leaving: gets no new work whatever happens.
    double weight = 1; ///< (0, 1]: slow start; for a trial, the part of an equal share that it gets.
    int slotsInUse = 0;
    int slots = 1;
    int queueLength = 0;
    base::Duration latency{0}; ///< Typical, without queueing. 0: not known.
    bool pathUsable = true; ///< From here to its VM.
    double failureRisk = 0; ///< How likely it is in a spell of gray failure.
    base::Duration loadAge{0}; ///< Age of the load figures.
    base::Duration idle{0}; ///< How long it has been without a new request; 0: not known.
    /// Wait and run together, as the node beside it says now; goes before the figures above.
    std::optional<base::Duration> quotedTime;

    auto operator<=>(const Candidate &) const = default;
};

struct PlacementRequest
{
    base::ZoneId zone; ///< Of the node that places.
    bool idempotent = false;
    std::vector<base::BackendServerId> tried; ///< Servers of earlier attempts, not chosen again.
    base::Duration remainingTarget{0}; ///< An answer after it is worth less to the caller; 0: not stated.
    base::Duration remaining{0}; ///< Until the deadline; 0: not stated.

    auto operator<=>(const PlacementRequest &) const = default;
};

enum class PlacementReason {
    BetterOfTwo,
    SameZone, ///< The other of two was no better and stands in another zone.
    OnlyOne,
    Trial,
    LeastCost,
    AllUnhealthy, ///< Nobody is usable, so all that are not drained share the traffic.
    Random, ///< The baseline policy.
    NoCandidate, ///< No candidate at all.
};

std::string_view name(PlacementReason reason);

/// The choice: an index into the candidates that were passed, or none.
struct Placement
{
    std::optional<std::size_t> candidate;
    std::optional<std::size_t> other; ///< The one of two that was not taken.
    PlacementReason reason = PlacementReason::NoCandidate;

    auto operator<=>(const Placement &) const = default;
};

/// One row of an explanation. A smaller score is better; it is an expected time in milliseconds.
struct ScoredCandidate
{
    Candidate candidate;
    double score = 0;
    bool eligible = false;
    std::string note; ///< Why it is not eligible, or empty.
};

struct PlacementExplanation
{
    std::vector<ScoredCandidate> candidates;
    std::string sentence;
};

/// A way to choose. Stateless: all that changes is in the candidates, so one object serves all threads.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    virtual std::string_view name() const = 0;

    /// What a candidate is expected to cost the request; only differences mean anything.
    virtual double cost(const Candidate &candidate, const PlacementRequest &request) const = 0;

    /// Whether a sibling that a refusal names goes before the policy's own choice.
    virtual bool followsAdvice() const
    {
        return true;
    }

    virtual Placement place(std::span<const Candidate> candidates,
                            const PlacementRequest &request,
                            std::mt19937_64 &random) const = 0;
};

/// The baseline: any server that is not drained, each as likely, whatever is known of it.
class RandomPlacement final : public PlacementPolicy
{
public:
    std::string_view name() const override;
    double cost(const Candidate &candidate, const PlacementRequest &request) const override;
    Placement place(std::span<const Candidate> candidates,
                    const PlacementRequest &request,
                    std::mt19937_64 &random) const override;
};

struct TwoChoiceSettings
{
    double sameZoneTolerance = 0.1; ///< A server of the same zone is taken while at most this much worse.
    base::Duration defaultLatency = std::chrono::milliseconds(10); ///< Where none is known.
    base::Duration staleAfter = std::chrono::seconds(3); ///< Older load figures count as the average ones.
    /// What a failed answer costs besides the time that it took: for a request that can be repeated, the repeat; for
    /// any other all that it is worth, which is put at some usual answers' time.
    base::Duration repeatCost = std::chrono::milliseconds(500);
    base::Duration lossCost = std::chrono::milliseconds(3000);
};

/// Draws two usable servers, one of them of the own zone where there is one, each as often as its weight says, and
/// takes the better by score(). Where both are full it draws two more.
///
/// A server that looks idle because it fails fast or lies about its load gains at most the draws in which it takes
/// part: twice an equal share, not all traffic (choosing the best of all would give it everything).
class TwoChoicePlacement final : public PlacementPolicy
{
public:
    explicit TwoChoicePlacement(TwoChoiceSettings settings = {});

    std::string_view name() const override;
    double cost(const Candidate &candidate, const PlacementRequest &request) const override;
    Placement place(std::span<const Candidate> candidates,
                    const PlacementRequest &request,
                    std::mt19937_64 &random) const override;

    /// Expected milliseconds for one more request: latency, stretched by slots in use and queue, and what a failure
    /// would cost.
    double score(const Candidate &candidate, bool idempotent) const;

    /// All candidates with scores, and one sentence about `placement`.
    PlacementExplanation explain(std::span<const Candidate> candidates,
                                 const PlacementRequest &request,
                                 const Placement &placement) const;

private:
    Placement betterOfTwo(std::span<const Candidate> candidates,
                          const PlacementRequest &request,
                          std::uint32_t first,
                          std::uint32_t second) const;

    TwoChoiceSettings m_settings;
};

struct HandOverSettings
{
    double factor = 2; ///< How many times shorter the sibling's expected time must be.
    base::Duration hopCost = std::chrono::milliseconds(3); ///< Added to the sibling's side.
    base::Duration staleAfter = std::chrono::seconds(2); ///< Older figures of a sibling don't count.
};

struct HandOverRequest
{
    bool handedOverBefore = false; ///< A request is handed over once, so it can't wander.
    int queuedBefore = 0; ///< Requests ahead of it in the own queue.
    base::Duration remaining{0}; ///< Until its deadline.
    std::vector<base::BackendServerId> tried;
};

/// Whether a serving node hands a queued request over to a sibling, and to which (an index into `siblings`).
/// Only to one that is usable, fresh, has a free slot, and would be clearly sooner done.
std::optional<std::size_t> chooseHandOverTarget(const Candidate &own,
                                                std::span<const Candidate> siblings,
                                                const HandOverRequest &request,
                                                std::mt19937_64 &random,
                                                const HandOverSettings &settings = {});

}
