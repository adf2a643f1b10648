#pragma once

#include "papayastep/base/clock.h"

namespace papayastep::health {

/// Finds out that this process stood still: it was stopped, its VM was suspended, or it got no processor time. What
/// began before took as long as the process slept, which says nothing about whom it waited for.
class PauseDetector
{
public:
    explicit PauseDetector(const base::Clock &clock, base::Duration limit = std::chrono::seconds(1));

    /// Looks at the clock. A gap of more than the limit between two calls was a pause, so it is called more often than
    /// that, and before anything that ran meanwhile is judged.
    void check();

    bool pausedSince(base::TimePoint start) const;

private:
    const base::Clock &m_clock;
    base::Duration m_limit;
    base::TimePoint m_lastCheck;
    base::TimePoint m_lastPauseEnd; ///< After the last pause; the epoch if there was none.
};

}
