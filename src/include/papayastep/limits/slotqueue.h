#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"
#include "papayastep/limits/coldstartlimiter.h"
#include "papayastep/limits/overflowqueue.h"
#include "papayastep/limits/runtimes.h"
#include "papayastep/limits/startratelimiter.h"

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayastep::limits {

/// Settings of SlotQueue.
struct SlotQueueSettings
{
    std::size_t maxQueued = 256; ///< Longest queue, over all workspaces.
    std::size_t maxQueuedPerWorkspace = 64;
    base::Duration initialRunTime = std::chrono::milliseconds(50); ///< Estimate of the run time before the first run.

    /// Part of the mean run time that must fit between start and deadline. With 0 an attempt may start at its deadline.
    double runTimeReserve = 0;

    /// Latest expected answer with which an attempt is still queued, as a fraction of the time between
    /// QueueOffer::wantedBy (0) and the deadline (1). A long queue makes every answer late without raising the
    /// throughput; a short queue refuses attempts in a burst that could still be served.
    double maxLateness = 1;

    /// Largest expected wait, as a fraction of the time that remains beside the mean run time; 1 allows all of it. If
    /// all of it is allowed, an attempt that is overtaken by a more urgent one or waits for a long run has waited in
    /// vain, and every answer in an overload comes at the last moment. A short queue keeps the slots as busy as a long
    /// one.
    double maxWaitFraction = 1;

    /// Share of a tier in the time of the slots, relative to the next more urgent one, while attempts of both wait. It
    /// counts time and not starts: otherwise short calls would get next to nothing beside long runs. It is above 0 so
    /// that no tier starves, and small so that the less urgent tier is delayed first.
    double nextTierWeight = 0.25;

    /// Weight of the calls of runs relative to other attempts of the priority of the runs. A refused call loses the
    /// work of its run, which holds a slot until the call is answered, so calls get twice the share of the next more
    /// urgent priority. With a larger weight the calls of many less urgent runs would displace the most urgent
    /// requests.
    double callWeight = 8;

    /// Which of the attempts that would wait too long are queued until the demand falls; empty: none.
    std::optional<OverflowSettings> overflow{};
};

/// The settings of the queue in front of a backend server. If a request has a target time, three tenths of the time
/// from there to the deadline may still be used. Most of a run must fit before the deadline, because otherwise it only
/// takes the slot from another request.
SlotQueueSettings backendServerQueueSettings();

/// An attempt that requests a slot.
struct QueueOffer
{
    AttemptId attempt;
    base::WorkspaceId workspace;
    base::TimePoint deadline;
    int priority = 0; ///< Priority of the attempt; 0 is the most urgent.
    std::optional<base::TimePoint> wantedBy; ///< Time after which an answer is worth less to the caller.
    base::RouteId route{}; ///< Route by which the run time is estimated.
    /// The attempt is a call made by a request that is running on another backend server, with the priority of that
    /// request. It may wait until its deadline: if it is refused, the work of that request is lost, and the request
    /// holds a slot until the call is answered.
    bool isCall = false;
};

/// Numbers of attempts in the overflow of a queue.
struct OverflowCounters
{
    std::uint64_t queued = 0; ///< Attempts that had to wait there.
    std::uint64_t started = 0;
    std::uint64_t dropped = 0; ///< Attempts that did not start.

    OverflowCounters &operator+=(const OverflowCounters &other);
    auto operator<=>(const OverflowCounters &) const = default;
};

/// The result of an offer. For an accepted attempt poll() returns a decision, possibly at once.
struct OfferResult
{
    bool accepted = false;
    base::ResultCode code = base::ResultCode::Ok; ///< Reason of a refusal.
    base::Duration retryAfter{}; ///< Expected time until the attempt could start; 0 if accepted by offer().
    bool inOverflow = false; ///< The attempt is accepted, but is not expected to start soon.
};

/// The decision on a queued attempt.
struct QueueDecision
{
    AttemptId attempt;
    bool start = false; ///< False if the attempt was dropped and will never start.
    base::ResultCode code = base::ResultCode::Ok; ///< Reason for which the attempt was dropped.
    base::Duration retryAfter{};
};

/// The result of cancelling an attempt.
enum class CancelOutcome {
    NeverStarted, ///< The attempt was queued and will never start.
    Started, ///< The attempt occupies a slot.
    Unknown, ///< The attempt is not, or no longer, in the queue or in a slot.
};

/// The queue in front of one backend server.
///
/// Attempts wait in tiers by priority. Calls of running requests come before other attempts of the priority of their
/// run, because the run occupies a slot until they are answered and fails without them. While attempts of several tiers
/// wait, each priority gets a fixed fraction of the slot time of the next more urgent one. Within a tier, slots go to
/// workspaces in turn (deficit round robin with a quantum of one request), so a workspace that overloads the queue
/// delays only itself. While the server is cold or names a limit, fewer attempts start than there are slots. When the
/// queue is full, the newest attempt in the longest workspace queue of the least urgent tier is evicted. An attempt
/// that can't be answered in time is refused or dropped at once, so that it can be reported as not run while its caller
/// is still waiting. With SlotQueueSettings::overflow, it is queued behind the others of its tier instead, if its
/// caller has the time.
class SlotQueue
{
public:
    SlotQueue(const base::Clock &clock, int slots, SlotQueueSettings settings = {});

    OfferResult offer(const QueueOffer &offer);

    /// Returns what offer() would return now, with the expected wait also for an attempt that it would accept. Does not
    /// change the queue.
    OfferResult quote(const QueueOffer &offer) const;
    OfferResult offer(const AttemptId &attempt, const base::WorkspaceId &workspace, base::TimePoint deadline);

    /// Returns the decisions that are due. An attempt that starts occupies a slot until finished().
    std::vector<QueueDecision> poll();

    CancelOutcome cancel(const AttemptId &attempt);

    /// Frees the slot of the attempt; ignored if it has none. `recordRunTime` is false for a failed run: a backend
    /// server that fails at once would otherwise look fast, and the expected waits would be too short.
    void finished(const AttemptId &attempt, bool recordRunTime = true);

    /// Drops all queued attempts with `code`, because the server gets no new work; poll() returns the decisions.
    void dropQueued(base::ResultCode code);

    /// Limits the starts per second; empty removes the limit. Queued attempts that can no longer start in time are
    /// dropped at once with HopBackendServerLimited; poll() returns the decisions.
    void limitStarts(std::optional<double> startsPerSecond);

    /// Sets the number of slots. If it is lower than the number of running attempts, none starts until enough have
    /// finished.
    void setSlots(int slots);

    /// Time at which poll() will start or drop an attempt even if no other one finishes; nullopt if none is queued.
    std::optional<base::TimePoint> nextTick() const;

    int slots() const;
    std::size_t running() const;
    std::size_t queued() const;
    /// Whether no attempt is queued or running, and poll() has returned all decisions.
    bool isIdle() const;

    /// Expected wait for a slot of an attempt offered now, from recent run times.
    base::Duration expectedWait(const base::WorkspaceId &workspace, int tier = 0) const;

    /// The limit of the starts while the server is cold.
    ColdStartLimiter &coldStart();
    const ColdStartLimiter &coldStart() const;

    /// The limit of the starts that the server names.
    StartRateLimiter &startRate();
    const StartRateLimiter &startRate() const;
    /// Number of attempts that wait in the overflow.
    std::size_t overflowing() const;
    OverflowCounters overflowCounters() const;
    /// Number of attempts that have started.
    std::uint64_t starts() const;

    /// Recent run times.
    const RunTimes &runTimes() const;
    /// Time at which the last run finished; nullopt while an attempt is running.
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
    /// The queued attempts of one tier, with the workspaces in the order of their turns.
    struct Tier
    {
        std::list<WorkspaceQueue> queues;
        OverflowQueue overflow;
        std::size_t size = 0; ///< Number of attempts, including those in the overflow.
        /// Pass value of stride scheduling: rises with each start by the slot time that it takes; the tier with the
        /// smallest one is next.
        double pass = 0;
    };
    using Tiers = std::map<int, Tier>;
    struct QueuedPosition
    {
        int tier = 0;
        base::WorkspaceId workspace;
        std::optional<Queued> overflowing{}; ///< Set for an attempt in the overflow.
    };

    static std::list<WorkspaceQueue>::iterator queueOf(Tier &tier, const base::WorkspaceId &workspace);
    std::size_t queueLength(const base::WorkspaceId &workspace, int tier) const;
    double weight(int tier) const;
    std::size_t startsAhead(const base::WorkspaceId &workspace, int tier) const;
    base::Duration startDelay(std::size_t ahead) const;
    /// Returns the code with which an attempt that can't start in time is refused.
    base::ResultCode lateCode(const base::WorkspaceId &workspace, int tier) const;
    OfferResult refusal(base::ResultCode code, const base::WorkspaceId &workspace, int tier) const;
    base::TimePoint latestStart(const QueueOffer &offer, double reserve) const;
    bool canAnswerInTime(const QueueOffer &offer) const;
    bool makeRoom(const base::WorkspaceId &workspace, int tier);
    void enqueue(const QueueOffer &offer);
    bool mayOverflow(const QueueOffer &offer) const;
    bool hasOverflowRoom(const QueueOffer &offer) const;
    std::optional<AttemptId> leastOverflowing() const;
    OfferResult enqueueOverflow(const QueueOffer &offer);
    base::Duration overflowWait(int tier) const;
    Tier &tierForNew(int number, const base::RouteId &route);
    double runSeconds(int tier) const;
    void recordTierRun(int tier, base::Duration run);
    Queued takeNext(Tier &tier);
    void dropOverdue(std::vector<QueueDecision> &decisions);
    void startNext(std::vector<QueueDecision> &decisions);
    Tiers::iterator selectTier();
    bool removeQueued(const AttemptId &attempt);
    void removeFromWorkspace(Tier &tier, const base::WorkspaceId &workspace, const AttemptId &attempt);
    base::Duration waitBehind(std::size_t ahead) const;
    std::vector<Queued> queuedInOrder() const;

    const base::Clock &m_clock;
    SlotQueueSettings m_settings;
    int m_slots;
    Tiers m_tiers; ///< Tiers with queued attempts.
    std::map<int, base::Duration> m_tierRuns; ///< Mean run times of the attempts of each tier.
    double m_pass = 0; ///< Pass value of the tier that started an attempt last; a new tier starts with it.
    std::map<AttemptId, QueuedPosition> m_queued;
    std::set<std::pair<base::TimePoint, AttemptId>> m_deadlines; ///< Latest start times.
    std::map<AttemptId, Running> m_running;
    std::vector<QueueDecision> m_evicted; ///< Attempts evicted by an offer, to be returned by the next poll().
    RunTimes m_runTimes;
    ColdStartLimiter m_coldStart;
    StartRateLimiter m_startRate;
    std::uint64_t m_starts = 0;
    std::size_t m_overflowing = 0;
    std::uint64_t m_overflowQueued = 0;
    std::uint64_t m_overflowStarted = 0;
    std::optional<base::TimePoint> m_lastFinishedAt;
};

}
