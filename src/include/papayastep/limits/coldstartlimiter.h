#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"

#include <cstddef>
#include <deque>

namespace papayastep::limits {

/// Limits the starts of attempts at one backend server while it is cold.
///
/// A server is slow for some time after its start and fails if it receives much more than the published rate
/// meanwhile, and after the restart it is cold again. Only the node beside the server starts attempts there, so the
/// limit holds regardless of how many entries send attempts. The server may also become cold without a notice. What may
/// be a restart counts as one until the server or the directory has shown the contrary. Servers without a published
/// rate are not limited.
class ColdStartLimiter
{
public:
    explicit ColdStartLimiter(const base::Clock &clock);

    void setColdStart(const config::ColdStart &coldStart);

    /// Records that the server itself or the directory has reported until when it is cold.
    void setColdUntil(base::TimePoint until);
    /// Records that the server may have become cold, without a report.
    void suspectRestart();
    /// Records an answer of the server to a request. After a suspected restart, the time of being cold begins with it
    /// at the latest.
    void recordAnswer();
    /// Records an attempt that was sent to the server and got no answer. Two in a row without an answer between them
    /// count as a suspected restart; a single one is more often a broken connection.
    void recordLostAttempt();

    /// Records the start of an attempt, whether or not the server is cold.
    void recordStart();

    bool isCold() const;
    /// Whether a restart is suspected, so that a report of the server is needed.
    bool isUnverified() const;
    /// Time until an attempt can start if `ahead` other ones start before it; 0 if the limit does not delay it.
    base::Duration wait(std::size_t ahead) const;

private:
    bool hasLimit() const;
    std::size_t startsPerWindow() const;

    const base::Clock &m_clock;
    config::ColdStart m_coldStart;
    base::TimePoint m_coldUntil{}; ///< As last reported or assumed.
    bool m_unverified = false; ///< A restart is suspected, and no report or answer has come since.
    int m_lostInRow = 0; ///< Attempts without an answer since the last answer.
    std::deque<base::TimePoint> m_starts; ///< The last starts, at most startsPerWindow() of them, oldest first.
};

}
