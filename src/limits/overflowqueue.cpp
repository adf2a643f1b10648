#include "papayastep/limits/overflowqueue.h"

#include <algorithm>

namespace papayastep::limits {

void OverflowQueue::add(const OverflowAttempt &attempt)
{
    const Position position{nextTurn(attempt.workspace), ++m_arrivals};
    m_lastTurns[attempt.workspace] = position.turn;
    m_positions[attempt.attempt] = position;
    m_attempts.emplace(position, attempt);
}

std::optional<OverflowAttempt> OverflowQueue::next(base::TimePoint now) const
{
    if (m_attempts.empty()) {
        return std::nullopt;
    }
    const auto timely = std::find_if(m_attempts.begin(), m_attempts.end(), [now](const auto &entry) {
        return now <= entry.second.latestTimelyStart;
    });
    return timely != m_attempts.end() ? timely->second : m_attempts.begin()->second;
}

std::optional<OverflowAttempt> OverflowQueue::last() const
{
    return m_attempts.empty() ? std::nullopt : std::optional(m_attempts.rbegin()->second);
}

bool OverflowQueue::comesBeforeLast(const base::WorkspaceId &workspace) const
{
    return !m_attempts.empty() && nextTurn(workspace) < m_attempts.rbegin()->first.turn;
}

void OverflowQueue::remove(const AttemptId &attempt)
{
    const auto found = m_positions.find(attempt);
    if (found == m_positions.end()) {
        return;
    }
    const base::WorkspaceId workspace = m_attempts.at(found->second).workspace;
    m_attempts.erase(found->second);
    m_positions.erase(found);
    const bool isLastOfWorkspace = std::none_of(m_attempts.begin(), m_attempts.end(), [&workspace](const auto &entry) {
        return entry.second.workspace == workspace;
    });
    if (isLastOfWorkspace) {
        m_lastTurns.erase(workspace);
    }
}

std::size_t OverflowQueue::size() const
{
    return m_attempts.size();
}

std::list<OverflowAttempt> OverflowQueue::inOrder() const
{
    std::list<OverflowAttempt> result;
    for (const auto &[position, attempt] : m_attempts) {
        result.push_back(attempt);
    }
    return result;
}

/// Returns the turn in which the next attempt of the workspace takes part: the present one, or the one after the last
/// turn of the workspace.
std::uint64_t OverflowQueue::nextTurn(const base::WorkspaceId &workspace) const
{
    const std::uint64_t present = m_attempts.empty() ? 0 : m_attempts.begin()->first.turn;
    const auto found = m_lastTurns.find(workspace);
    return found != m_lastTurns.end() ? std::max(present, found->second + 1) : present;
}

}
