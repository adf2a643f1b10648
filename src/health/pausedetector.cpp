#include "papayastep/health/pausedetector.h"

namespace papayastep::health {

PauseDetector::PauseDetector(const base::Clock &clock, base::Duration limit)
    : m_clock(clock)
    , m_limit(limit)
    , m_lastCheck(clock.now())
{
}

void PauseDetector::check()
{
    const base::TimePoint now = m_clock.now();
    if (now - m_lastCheck > m_limit) {
        m_lastPauseEnd = now;
    }
    m_lastCheck = now;
}

bool PauseDetector::pausedSince(base::TimePoint start) const
{
    return start < m_lastPauseEnd;
}

}
