#include "papayastep/health/nestedcalltracker.h"

#include <algorithm>

namespace papayastep::health {

namespace {

/// Tolerance for deadlines, which are rounded to milliseconds twice: on the way to the backend server and with its
/// call.
constexpr base::Duration deadlineTolerance = std::chrono::milliseconds(5);
/// A run that ends later than this after the failure of a nested call went on with its work, so it failed for another
/// reason.
constexpr base::Duration failureFollowsWithin = std::chrono::milliseconds(50);

}

NestedCallTracker::NestedCallTracker(const base::Clock &clock)
    : m_clock(clock)
{
}

void NestedCallTracker::runStarted(const AttemptKey &run, base::TimePoint deadline, RunKind kind, int priority)
{
    m_runs[run] = Run{m_clock.now(), deadline + deadlineTolerance, kind, priority};
}

void NestedCallTracker::runEnded(const AttemptKey &run)
{
    m_runs.erase(run);
}

bool NestedCallTracker::mayBeNestedCall(base::TimePoint deadline) const
{
    return std::any_of(
        m_runs.begin(), m_runs.end(), [&](const auto &entry) { return deadline <= entry.second.deadline; });
}

double NestedCallTracker::repeatShare(base::TimePoint deadline) const
{
    int possible = 0;
    int repeats = 0;
    for (const auto &[key, run] : m_runs) {
        const bool mayHaveMadeIt = run.kind != RunKind::Once && deadline <= run.deadline;
        possible += mayHaveMadeIt ? 1 : 0;
        repeats += mayHaveMadeIt && run.kind == RunKind::Repeat ? 1 : 0;
    }
    return possible > 0 ? static_cast<double>(repeats) / possible : 0;
}

std::optional<int> NestedCallTracker::leastUrgentPriority(base::TimePoint deadline) const
{
    std::optional<int> result;
    for (const auto &[key, run] : m_runs) {
        if (deadline <= run.deadline) {
            result = std::max(result.value_or(run.priority), run.priority);
        }
    }
    return result;
}

void NestedCallTracker::callFailed(base::TimePoint deadline)
{
    expire();
    m_failedCalls.push_back({m_clock.now(), deadline});
}

bool NestedCallTracker::explainsFailure(const AttemptKey &run)
{
    expire();
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return false;
    }
    const auto call = std::find_if(m_failedCalls.begin(), m_failedCalls.end(), [&](const FailedCall &failed) {
        return failed.failedAt >= found->second.started && failed.deadline <= found->second.deadline;
    });
    if (call == m_failedCalls.end()) {
        return false;
    }
    m_failedCalls.erase(call);
    return true;
}

void NestedCallTracker::expire()
{
    const base::TimePoint oldest = m_clock.now() - failureFollowsWithin;
    while (!m_failedCalls.empty() && m_failedCalls.front().failedAt < oldest) {
        m_failedCalls.pop_front();
    }
}

}
