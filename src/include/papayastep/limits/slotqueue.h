#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/base/resultcode.h"

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
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
    base::Duration expectedRun = std::chrono::milliseconds(50); ///< First guess of how long an attempt runs.
};

/// The answer to an offer. An accepted attempt gets a decision from poll(), perhaps at once.
struct Verdict
{
    bool accepted = false;
    base::ResultCode code = base::ResultCode::Ok; ///< Why it was refused.
    base::Duration retryAfter{}; ///< When a refused attempt could start, as far as can be told.
};

/// What becomes of a queued attempt.
struct QueueDecision
{
    AttemptId attempt;
    bool start = false; ///< False: dropped, and never started.
    base::ResultCode code = base::ResultCode::Ok; ///< Why it was dropped.
    base::Duration retryAfter{};
};

enum class CancelVerdict {
    NeverStarted, ///< It was queued, and never will start.
    Started, ///< It occupies a slot.
    Unknown, ///< It is not here (any more).
};

/// The queue in front of one backend server.
///
/// Slots go to workspaces in turn (deficit round robin with a quantum of one request), so a workspace that floods the
/// queue delays itself, not the others. When the queue is full, the newest attempt of the longest workspace queue
/// makes room. An attempt that can't start before its deadline is dropped at once, so that it can still be
/// refused as not run while its caller waits.
class SlotQueue
{
public:
    SlotQueue(const base::Clock &clock, int slots, SlotQueueSettings settings = {});

    Verdict offer(const AttemptId &attempt, const base::WorkspaceId &workspace, base::TimePoint deadline);

    /// Decisions due now. Starting an attempt occupies a slot until finished().
    std::vector<QueueDecision> poll();

    CancelVerdict cancel(const AttemptId &attempt);

    /// The attempt has left its slot. Ignored for one that has none.
    void finished(const AttemptId &attempt);

    /// Fewer slots than running attempts: none starts until enough have finished.
    void setSlots(int slots);

    /// When poll() will drop an attempt even if none finishes.
    std::optional<base::TimePoint> nextTick() const;

    int slots() const;
    std::size_t running() const;
    std::size_t queued() const;
    std::size_t queuedOf(const base::WorkspaceId &workspace) const;

    /// How long an attempt of `workspace` offered now would wait for its slot, judged by recent run times.
    base::Duration expectedWait(const base::WorkspaceId &workspace) const;

private:
    struct Queued
    {
        AttemptId attempt;
        base::TimePoint deadline;
    };
    struct Lane
    {
        base::WorkspaceId workspace;
        std::deque<Queued> attempts;
    };
    using Lanes = std::list<Lane>;

    Verdict refusal(base::ResultCode code, const base::WorkspaceId &workspace) const;
    bool makeRoom(const base::WorkspaceId &workspace);
    void dropOverdue(std::vector<QueueDecision> &decisions);
    void startNext(std::vector<QueueDecision> &decisions);
    bool removeQueued(const AttemptId &attempt);
    base::Duration waitBehind(std::size_t ahead) const;

    const base::Clock &m_clock;
    SlotQueueSettings m_settings;
    int m_slots;
    Lanes m_lanes; ///< Workspaces with queued attempts, in the order of their turns.
    std::unordered_map<base::WorkspaceId, Lanes::iterator> m_laneOf;
    std::map<AttemptId, base::WorkspaceId> m_queued;
    std::set<std::pair<base::TimePoint, AttemptId>> m_deadlines;
    std::map<AttemptId, base::TimePoint> m_running; ///< Attempt -> when it started.
    std::vector<QueueDecision> m_evicted; ///< Pushed out by an offer, to be told by the next poll().
    base::Duration m_meanRun;
};

}
