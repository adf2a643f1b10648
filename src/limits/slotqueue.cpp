#include "papayastep/limits/slotqueue.h"

#include "papayastep/base/log.h"

#include <algorithm>
#include <utility>

namespace papayastep::limits {

namespace {

constexpr int runMemory = 8; ///< The mean run time follows about this many attempts.
constexpr base::Duration shortestRetryAfter = std::chrono::milliseconds(1);

}

SlotQueue::SlotQueue(const base::Clock &clock, int slots, SlotQueueSettings settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_slots(std::max(0, slots))
    , m_meanRun(settings.expectedRun)
{
}

Verdict SlotQueue::offer(const AttemptId &attempt, const base::WorkspaceId &workspace, base::TimePoint deadline)
{
    if (m_queued.contains(attempt) || m_running.contains(attempt)) {
        return refusal(base::ResultCode::HopReplayed, workspace);
    }
    // An attempt that would wait past its deadline is refused now: later its caller could do nothing any more.
    if (m_clock.now() + expectedWait(workspace) >= deadline) {
        return refusal(base::ResultCode::HopQueueTimeout, workspace);
    }
    if (!makeRoom(workspace)) {
        return refusal(base::ResultCode::HopQueueFull, workspace);
    }
    auto lane = m_laneOf.find(workspace);
    if (lane == m_laneOf.end()) {
        m_lanes.push_back(Lane{workspace, {}});
        lane = m_laneOf.emplace(workspace, std::prev(m_lanes.end())).first;
    }
    lane->second->attempts.push_back(Queued{attempt, deadline});
    m_queued.emplace(attempt, workspace);
    m_deadlines.emplace(deadline, attempt);
    return Verdict{true, base::ResultCode::Ok, {}};
}

std::vector<QueueDecision> SlotQueue::poll()
{
    std::vector<QueueDecision> decisions = std::exchange(m_evicted, {});
    dropOverdue(decisions);
    startNext(decisions);
    return decisions;
}

CancelVerdict SlotQueue::cancel(const AttemptId &attempt)
{
    if (m_running.contains(attempt)) {
        return CancelVerdict::Started;
    }
    if (removeQueued(attempt)) {
        return CancelVerdict::NeverStarted;
    }
    const auto evicted = std::find_if(
        m_evicted.begin(), m_evicted.end(), [&](const QueueDecision &decision) { return decision.attempt == attempt; });
    return evicted != m_evicted.end() ? CancelVerdict::NeverStarted : CancelVerdict::Unknown;
}

void SlotQueue::finished(const AttemptId &attempt)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    const base::Duration run = m_clock.now() - found->second;
    m_meanRun += (run - m_meanRun) / runMemory;
    m_running.erase(found);
}

void SlotQueue::setSlots(int slots)
{
    m_slots = std::max(0, slots);
}

std::optional<base::TimePoint> SlotQueue::nextTick() const
{
    if (!m_evicted.empty()) {
        return m_clock.now();
    }
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

int SlotQueue::slots() const
{
    return m_slots;
}

std::size_t SlotQueue::running() const
{
    return m_running.size();
}

std::size_t SlotQueue::queued() const
{
    return m_queued.size();
}

std::size_t SlotQueue::queuedOf(const base::WorkspaceId &workspace) const
{
    const auto lane = m_laneOf.find(workspace);
    return lane != m_laneOf.end() ? lane->second->attempts.size() : 0;
}

base::Duration SlotQueue::expectedWait(const base::WorkspaceId &workspace) const
{
    const std::size_t own = queuedOf(workspace);
    std::size_t ahead = own;
    for (const Lane &lane : m_lanes) {
        // Each other workspace has one turn for each turn of this one.
        ahead += lane.workspace == workspace ? 0 : std::min(lane.attempts.size(), own + 1);
    }
    return waitBehind(ahead);
}

Verdict SlotQueue::refusal(base::ResultCode code, const base::WorkspaceId &workspace) const
{
    const base::Duration wait = std::max(shortestRetryAfter, expectedWait(workspace));
    PAPAYASTEP_LOG(INFO, "limits") << "Refused to queue an attempt." << base::field("workspace", workspace)
                                   << base::field("code", base::number(code)) << base::field("queued", m_queued.size());
    return Verdict{false, code, wait};
}

/// Whether one more attempt of `workspace` fits. In a full queue the longest workspace queue gives up its newest
/// attempt, if it is longer than that of `workspace` would be: so no workspace can keep another one out.
bool SlotQueue::makeRoom(const base::WorkspaceId &workspace)
{
    const std::size_t own = queuedOf(workspace);
    if (own >= m_settings.maxQueuedPerWorkspace) {
        return false;
    }
    if (m_queued.size() < m_settings.maxQueued) {
        return true;
    }
    const auto longest = std::max_element(m_lanes.begin(), m_lanes.end(), [](const Lane &a, const Lane &b) {
        return a.attempts.size() < b.attempts.size();
    });
    if (longest == m_lanes.end() || longest->attempts.size() <= own + 1) {
        return false;
    }
    const AttemptId newest = longest->attempts.back().attempt;
    const base::Duration wait = std::max(shortestRetryAfter, expectedWait(longest->workspace));
    removeQueued(newest);
    m_evicted.push_back(QueueDecision{newest, false, base::ResultCode::HopQueueFull, wait});
    return true;
}

void SlotQueue::dropOverdue(std::vector<QueueDecision> &decisions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_clock.now()) {
        const AttemptId attempt = m_deadlines.begin()->second;
        const base::Duration wait = std::max(shortestRetryAfter, expectedWait(m_queued.at(attempt)));
        removeQueued(attempt);
        decisions.push_back(QueueDecision{attempt, false, base::ResultCode::HopQueueTimeout, wait});
    }
}

void SlotQueue::startNext(std::vector<QueueDecision> &decisions)
{
    while (!m_lanes.empty() && m_running.size() < static_cast<std::size_t>(m_slots)) {
        const AttemptId attempt = m_lanes.front().attempts.front().attempt;
        // The workspace has had its turn and goes to the back, before it may vanish as empty.
        m_lanes.splice(m_lanes.end(), m_lanes, m_lanes.begin());
        removeQueued(attempt);
        m_running.emplace(attempt, m_clock.now());
        decisions.push_back(QueueDecision{attempt, true, base::ResultCode::Ok, {}});
    }
}

bool SlotQueue::removeQueued(const AttemptId &attempt)
{
    const auto queued = m_queued.find(attempt);
    if (queued == m_queued.end()) {
        return false;
    }
    const auto lane = m_laneOf.find(queued->second)->second;
    const auto position = std::find_if(lane->attempts.begin(), lane->attempts.end(), [&attempt](const Queued &entry) {
        return entry.attempt == attempt;
    });
    m_deadlines.erase({position->deadline, attempt});
    lane->attempts.erase(position);
    if (lane->attempts.empty()) {
        m_laneOf.erase(lane->workspace);
        m_lanes.erase(lane);
    }
    m_queued.erase(queued);
    return true;
}

base::Duration SlotQueue::waitBehind(std::size_t ahead) const
{
    const std::size_t slots = static_cast<std::size_t>(m_slots);
    const std::size_t busy = m_running.size() + ahead;
    if (busy < slots) {
        return {};
    }
    // With no slot at all nothing can be told; one is the least that lets the sum be finite.
    const auto turns = static_cast<std::int64_t>(busy - slots + 1);
    return m_meanRun * turns / static_cast<std::int64_t>(std::max<std::size_t>(1, slots));
}

}
