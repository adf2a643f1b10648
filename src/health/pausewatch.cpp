#include "papayastep/health/pausewatch.h"

namespace papayastep::health {

PauseWatch::PauseWatch(const base::Clock &clock, base::Duration limit)
    : m_clock(clock)
    , m_limit(limit)
    , m_looked(clock.now())
{
}

void PauseWatch::look()
{
    const base::TimePoint now = m_clock.now();
    if (now - m_looked > m_limit) {
        m_woke = now;
    }
    m_looked = now;
}

bool PauseWatch::stoodStillSince(base::TimePoint start) const
{
    return start < m_woke;
}

}
