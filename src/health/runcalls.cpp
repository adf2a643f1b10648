#include "papayastep/health/runcalls.h"

#include <algorithm>

namespace papayastep::health {

namespace {

/// Deadlines travel in whole milliseconds, twice: to the backend server and back with its call.
constexpr base::Duration deadlineTolerance = std::chrono::milliseconds(5);
/// A run that ends later after the failure of a call went on with its work, and fails for another reason.
constexpr base::Duration failureFollowsWithin = std::chrono::milliseconds(50);

}

RunCalls::RunCalls(const base::Clock &clock)
    : m_clock(clock)
{
}

void RunCalls::started(const AttemptKey &run, base::TimePoint deadline)
{
    m_runs[run] = Run{m_clock.now(), deadline + deadlineTolerance};
}

void RunCalls::ended(const AttemptKey &run)
{
    m_runs.erase(run);
}

bool RunCalls::mayBeCall(base::TimePoint deadline) const
{
    return std::any_of(
        m_runs.begin(), m_runs.end(), [&](const auto &entry) { return deadline <= entry.second.deadline; });
}

void RunCalls::callFailed(base::TimePoint deadline)
{
    expire();
    m_failed.push_back({m_clock.now(), deadline});
}

bool RunCalls::explainsFailure(const AttemptKey &run)
{
    expire();
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return false;
    }
    const auto call = std::find_if(m_failed.begin(), m_failed.end(), [&](const FailedCall &failed) {
        return failed.failedAt >= found->second.started && failed.deadline <= found->second.deadline;
    });
    if (call == m_failed.end()) {
        return false;
    }
    m_failed.erase(call);
    return true;
}

void RunCalls::expire()
{
    const base::TimePoint oldest = m_clock.now() - failureFollowsWithin;
    while (!m_failed.empty() && m_failed.front().failedAt < oldest) {
        m_failed.pop_front();
    }
}

}
