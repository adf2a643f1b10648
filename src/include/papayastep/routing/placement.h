#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

/// Chooses the backend server of a request.
namespace papayastep::routing {

/// The state of one backend server of a service as it is known at the entry. The node fills it from health and load.
struct Candidate
{
    base::BackendServerId server;
    base::VmId vm;
    base::ZoneId zone;
    bool usable = true; ///< The server is not ejected.
    bool trial = false; ///< The server is ejected and gets a few requests, which show whether it has recovered.
    bool drained = false; ///< The server is draining or leaving and gets no new work in any case.
    double weight = 1; ///< Slow-start weight in (0, 1]; for a trial, the fraction of an equal share that it gets.
    int slotsInUse = 0;
    int slots = 1;
    int queueLength = 0;
    base::Duration latency{0}; ///< Typical latency without queueing. 0: not known.
    bool pathUsable = true; ///< The network path from this node to its VM works.
    double failureRisk = 0; ///< Probability that the server is in a gray failure.
    base::Duration loadAge{0}; ///< Age of the load figures.
    base::Duration idle{0}; ///< Time since its last new request; 0: not known.
    /// Waiting and run time together, as just reported by the node beside the server. It takes precedence over the
    /// figures above.
    std::optional<base::Duration> quotedTime;

    auto operator<=>(const Candidate &) const = default;
};

/// The properties of a request that matter for its placement.
struct PlacementRequest
{
    base::ZoneId zone; ///< Availability zone of the node that places the request.
    bool idempotent = false;
    std::vector<base::BackendServerId> tried; ///< Servers of earlier attempts, not chosen again.
    base::Duration remainingTarget{0}; ///< Time after which an answer has less value for the caller; 0: not stated.
    base::Duration remaining{0}; ///< Time until the deadline; 0: not stated.
    bool isRepeat = false; ///< An earlier attempt reached, or may have reached, a backend server.
    /// Whether the request may be a trial at a server that is probably in a gray failure, even if healthy ones are
    /// free.
    bool mayBeTrial = true;
    /// Cost of leaving the zone; empty: that of the policy (TransferCost).
    std::optional<double> zoneCost{};

    auto operator<=>(const PlacementRequest &) const = default;
};

/// The reason for the choice of a server.
enum class PlacementReason {
    BetterOfTwo,
    SameZone, ///< The other of two servers was no better and is in another zone.
    OnlyOne,
    Trial,
    LeastCost,
    AllUnhealthy, ///< No server is usable, so all that are not drained share the traffic.
    Random, ///< The server was chosen by the baseline policy.
    NoCandidate, ///< No server can be chosen.
};

std::string_view name(PlacementReason reason);

/// The choice of a server: an index into the candidates that were passed, or none.
struct Placement
{
    std::optional<std::size_t> candidate;
    std::optional<std::size_t> other; ///< The compared candidate that was not chosen.
    PlacementReason reason = PlacementReason::NoCandidate;

    auto operator<=>(const Placement &) const = default;
};

/// One row of an explanation. The score is an expected time in milliseconds; a smaller one is better.
struct ScoredCandidate
{
    Candidate candidate;
    double score = 0;
    bool eligible = false;
    std::string note; ///< The reason why it is not eligible, or empty.
};

/// The scores of all candidates, and one sentence about the choice.
struct PlacementExplanation
{
    std::vector<ScoredCandidate> candidates;
    std::string sentence;
};

/// A placement policy. It is stateless: all changing state is in the candidates, so that one object serves all threads.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    virtual std::string_view name() const = 0;

    /// Returns the expected cost of sending the request to a candidate; only differences between costs are meaningful.
    virtual double cost(const Candidate &candidate, const PlacementRequest &request) const = 0;

    /// Returns whether a sibling that a refusal names takes precedence over the policy's own choice.
    virtual bool followsAdvice() const
    {
        return true;
    }

    virtual Placement place(std::span<const Candidate> candidates,
                            const PlacementRequest &request,
                            std::mt19937_64 &random) const = 0;
};

/// The baseline policy: chooses among all servers that are not drained with equal probability, regardless of their
/// state.
class RandomPlacement final : public PlacementPolicy
{
public:
    std::string_view name() const override;
    double cost(const Candidate &candidate, const PlacementRequest &request) const override;
    Placement place(std::span<const Candidate> candidates,
                    const PlacementRequest &request,
                    std::mt19937_64 &random) const override;
};

/// Settings of TwoChoicePlacement.
struct TwoChoiceSettings
{
    /// Fraction by which a server of the same zone may be worse than one of another zone and still be chosen.
    double sameZoneTolerance = 0.1;
    base::Duration defaultLatency = std::chrono::milliseconds(10); ///< Used where the latency is not known.
    base::Duration staleAfter = std::chrono::seconds(3); ///< Age from which load figures count as average ones.
    /// Cost of a failed answer besides the time that it took. For a request that can be repeated it is the cost of the
    /// repeat; for any other it is the whole value of the request, expressed as the time of several typical answers.
    base::Duration repeatCost = std::chrono::milliseconds(500);
    base::Duration lossCost = std::chrono::milliseconds(3000);
};

/// Draws two usable servers with probabilities in proportion to their weights, one of them from the own zone if
/// possible, and chooses the one with the better score(). If both are full it draws two more.
///
/// A server that looks idle because it fails fast or reports a wrong load gains at most the draws in which it takes
/// part: twice an equal share, not all traffic. A choice of the best of all servers would send it everything.
class TwoChoicePlacement final : public PlacementPolicy
{
public:
    explicit TwoChoicePlacement(TwoChoiceSettings settings = {});

    std::string_view name() const override;
    double cost(const Candidate &candidate, const PlacementRequest &request) const override;
    Placement place(std::span<const Candidate> candidates,
                    const PlacementRequest &request,
                    std::mt19937_64 &random) const override;

    /// Returns the expected time of one more request in milliseconds: the latency, increased by slots in use and queue,
    /// and the expected cost of a failure.
    double score(const Candidate &candidate, bool idempotent) const;

    /// Returns all candidates with their scores, and one sentence about `placement`.
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

/// Settings of chooseHandOverTarget().
struct HandOverSettings
{
    double factor = 2; ///< Factor by which the sibling's expected time must be shorter.
    base::Duration hopCost = std::chrono::milliseconds(3); ///< Time of the hop, added to the sibling's expected time.
    base::Duration staleAfter = std::chrono::seconds(2); ///< Age from which a sibling's figures are not used.
};

/// The properties of a queued request that matter for a hand-over.
struct HandOverRequest
{
    bool handedOverBefore = false; ///< A request is handed over at most once, so that it does not go from node to node.
    int queuedBefore = 0; ///< Number of requests ahead of it in the own queue.
    base::Duration remaining{0}; ///< Time until its deadline.
    std::vector<base::BackendServerId> tried;
};

/// Returns the sibling (an index into `siblings`) to which a serving node hands a queued request over, or nothing. The
/// sibling must be usable, have fresh load figures and a free slot, and have a clearly shorter expected time.
std::optional<std::size_t> chooseHandOverTarget(const Candidate &own,
                                                std::span<const Candidate> siblings,
                                                const HandOverRequest &request,
                                                std::mt19937_64 &random,
                                                const HandOverSettings &settings = {});

}
