#pragma once

#include "papayastep/base/clock.h"

namespace papayastep::health {

/// Detects pauses of this process: it was stopped, its VM was suspended, or it got no processor time. The duration of
/// an operation that began before a pause includes the pause, so it is no evidence about the other side.
class PauseDetector
{
public:
    explicit PauseDetector(const base::Clock &clock, base::Duration limit = std::chrono::seconds(1));

    /// Reads the clock. A gap of more than the limit between two calls counts as a pause, so call this more often than
    /// that, and before evaluating the duration of any operation.
    void check();

    /// Whether a pause of the process has ended since `start`.
    bool pausedSince(base::TimePoint start) const;

private:
    const base::Clock &m_clock;
    base::Duration m_limit;
    base::TimePoint m_lastCheck;
    base::TimePoint m_lastPauseEnd; ///< End of the last pause; the epoch if there was none.
};

}
