#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/limits/attemptid.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace papayastep::limits {

/// Which attempts may wait in an OverflowQueue.
struct OverflowSettings
{
    /// Shortest time from the target to the deadline, or from now to the target, with which an attempt may wait. A
    /// target that has passed counts as now. An overload lasts for seconds; a caller with less time would wait in vain.
    base::Duration minTimeAfterTarget = std::chrono::seconds(5);
    std::size_t maxQueued = 64; ///< Longest queue of a server, which bounds the memory for waiting requests.

    auto operator<=>(const OverflowSettings &) const = default;
};

/// An attempt in an OverflowQueue.
struct OverflowAttempt
{
    AttemptId attempt;
    base::WorkspaceId workspace;
    base::TimePoint latestTimelyStart; ///< A run that starts later is not expected to end before the target.
};

/// Attempts of one tier that no slot is expected to take soon, in the order in which slots that become free are given
/// to them.
///
/// It is for a demand that exceeds the capacity for some seconds. The queue in front of the slots is short, so that
/// answers come in time; what does not fit waits here until the demand falls, instead of being refused. Attempts that
/// can still be answered before their target come first, as the others are late in any case; within both groups
/// workspaces take turns.
class OverflowQueue
{
public:
    void add(const OverflowAttempt &attempt);

    /// Returns the attempt that is to be started next; empty if none is queued.
    std::optional<OverflowAttempt> next(base::TimePoint now) const;
    /// Returns the attempt that would be started last; empty if none is queued.
    std::optional<OverflowAttempt> last() const;
    /// Whether an attempt of `workspace` that is added now would be started before last().
    bool comesBeforeLast(const base::WorkspaceId &workspace) const;

    /// Removes an attempt that is started, dropped or cancelled. Ignored if it is not queued.
    void remove(const AttemptId &attempt);

    std::size_t size() const;
    /// Returns the attempts in the order of their turns.
    std::list<OverflowAttempt> inOrder() const;

private:
    /// Position in the order: the turn of the workspace, and the order of arrival within a turn.
    struct Position
    {
        std::uint64_t turn = 0;
        std::uint64_t arrival = 0;

        auto operator<=>(const Position &) const = default;
    };

    std::uint64_t nextTurn(const base::WorkspaceId &workspace) const;

    std::map<Position, OverflowAttempt> m_attempts;
    std::map<AttemptId, Position> m_positions;
    std::map<base::WorkspaceId, std::uint64_t> m_lastTurns; ///< Of the workspaces with queued attempts.
    std::uint64_t m_arrivals = 0;
};

}
