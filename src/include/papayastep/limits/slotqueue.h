#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/base/resultcode.h"
#include "papayastep/limits/runtimes.h"

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayastep::limits {

/// One try to run a request. A retry has another number.
struct AttemptId
{
    base::RequestId request;
    int attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

struct SlotQueueSettings
{
    std::size_t maxQueued = 256; ///< Over all workspaces.
    std::size_t maxQueuedPerWorkspace = 64;
    base::Duration initialRunTime = std::chrono::milliseconds(50); ///< First guess of how long an attempt runs.

    /// How much of a usual run must fit between start and deadline. With 0 an attempt may start at its deadline.
    double runTimeReserve = 0;

    /// How far beyond the moment at which an answer is wanted, as a share of the time from there to the deadline, an
    /// answer may be expected and the attempt is still queued. A long queue makes every answer late without one more
    /// being given; a short one refuses in a burst what could still be served. 1: up to the deadline.
    double maxLateness = 1;

    /// Which part of the time that is left beside a usual run may be expected to pass in the queue. With all of it, an
    /// attempt that is overtaken by a more urgent one, or meets a long run, has waited for nothing, and every answer of
    /// an overload comes at the last moment. Slots are as busy with a short queue as with a long one. 1: all.
    double maxWaitFraction = 1;

    /// Of what a more urgent tier gets, the next one gets this part while both wait. Above 0, since a kind of request
    /// that is never served helps nobody; small, since the more urgent one should not suffer first.
    double nextTierWeight = 0.25;
};

/// An attempt that asks for a slot.
struct QueueOffer
{
    AttemptId attempt;
    base::WorkspaceId workspace;
    base::TimePoint deadline;
    int priority = 0; ///< 0 is the most urgent.
    std::optional<base::TimePoint> wantedBy; ///< An answer after it is worth less to the caller.
    base::RouteId route{}; ///< By which its run time is judged.
    /// A call of a run that is at work elsewhere. It goes first and may wait until its deadline: refused, it takes with
    /// it what the run has done, and the run holds a slot until the call has its answer.
    bool isCall = false;
};

/// The answer to an offer. An accepted attempt gets a decision from poll(), perhaps at once.
struct OfferResult
{
    bool accepted = false;
    base::ResultCode code = base::ResultCode::Ok; ///< Why it was refused.
    base::Duration retryAfter{}; ///< When the attempt could start, as far as can be told; 0 where accepted by offer().
};

/// What becomes of a queued attempt.
struct QueueDecision
{
    AttemptId attempt;
    bool start = false; ///< False: dropped, and never started.
    base::ResultCode code = base::ResultCode::Ok; ///< Why it was dropped.
    base::Duration retryAfter{};
};

enum class CancelOutcome {
    NeverStarted, ///< It was queued, and never will start.
    Started, ///< It occupies a slot.
    Unknown, ///< It is not here (any more).
};

/// The queue in front of one backend server.
///
/// Attempts wait in tiers by priority, calls of runs before all others. While several tiers wait, each gets a fixed
/// part of what the next more urgent one gets. Within a tier slots go to workspaces in turn (deficit round robin with a
/// quantum of one request), so a workspace that floods the queue delays itself, not the others. When the queue is full,
/// the newest attempt of the longest workspace queue of the least urgent tier makes room. An attempt that can't be
/// answered in time is refused or dropped at once, so that it can still be refused as not run while its caller waits.
class SlotQueue
{
public:
    SlotQueue(const base::Clock &clock, int slots, SlotQueueSettings settings = {});

    OfferResult offer(const QueueOffer &offer);

    /// What offer() would say now, with the wait also where it would accept. Changes nothing.
    OfferResult quote(const QueueOffer &offer) const;
    OfferResult offer(const AttemptId &attempt, const base::WorkspaceId &workspace, base::TimePoint deadline);

    /// Decisions due now. Starting an attempt occupies a slot until finished().
    std::vector<QueueDecision> poll();

    CancelOutcome cancel(const AttemptId &attempt);

    /// The attempt has left its slot. Ignored for one that has none. `usual`: its run time tells how long runs take. A
    /// server that fails at once would else look fast, and all that waits for it soon served.
    void finished(const AttemptId &attempt, bool usual = true);

    /// Fewer slots than running attempts: none starts until enough have finished.
    void setSlots(int slots);

    /// When poll() will drop an attempt even if none finishes.
    std::optional<base::TimePoint> nextTick() const;

    int slots() const;
    std::size_t running() const;
    std::size_t queued() const;

    /// How long an attempt offered now would wait for its slot, judged by recent run times.
    base::Duration expectedWait(const base::WorkspaceId &workspace, int tier = 0) const;

    /// How long recent runs took.
    const RunTimes &runTimes() const;
    /// When the last run ended, if none is at work.
    std::optional<base::TimePoint> idleSince() const;

private:
    struct Queued
    {
        AttemptId attempt;
        base::TimePoint latestStart;
        base::RouteId route;
    };
    struct Running
    {
        base::TimePoint startedAt;
        base::RouteId route;
    };
    struct WorkspaceQueue
    {
        base::WorkspaceId workspace;
        std::deque<Queued> attempts;
    };
    /// The attempts of one priority: workspaces in the order of their turns.
    struct Tier
    {
        std::list<WorkspaceQueue> queues;
        std::size_t size = 0;
        double pass = 0; ///< Rises with each start; the tier with the smallest goes next (stride scheduling).
    };
    using Tiers = std::map<int, Tier>;
    struct QueuedPosition
    {
        int priority = 0;
        base::WorkspaceId workspace;
    };

    static std::list<WorkspaceQueue>::iterator queueOf(Tier &tier, const base::WorkspaceId &workspace);
    std::size_t queueLength(const base::WorkspaceId &workspace, int priority) const;
    double weight(int priority) const;
    OfferResult refusal(base::ResultCode code, const base::WorkspaceId &workspace, int priority) const;
    base::TimePoint latestStart(const QueueOffer &offer) const;
    bool canAnswerInTime(const QueueOffer &offer) const;
    bool makeRoom(const base::WorkspaceId &workspace, int priority);
    void enqueue(const QueueOffer &offer);
    void dropOverdue(std::vector<QueueDecision> &decisions);
    void startNext(std::vector<QueueDecision> &decisions);
    Tiers::iterator selectTier();
    bool removeQueued(const AttemptId &attempt);
    base::Duration waitBehind(std::size_t ahead) const;

    const base::Clock &m_clock;
    SlotQueueSettings m_settings;
    int m_slots;
    Tiers m_tiers; ///< Only those in which attempts wait.
    double m_pass = 0; ///< Of the tier that went last; a tier that comes begins there.
    std::map<AttemptId, QueuedPosition> m_queued;
    std::set<std::pair<base::TimePoint, AttemptId>> m_deadlines; ///< Latest starts.
    std::map<AttemptId, Running> m_running;
    std::vector<QueueDecision> m_evicted; ///< Pushed out by an offer, to be told by the next poll().
    RunTimes m_runTimes;
    std::optional<base::TimePoint> m_lastFinishedAt;
};

}
