#pragma once

#include "papayastep/base/clock.h"

#include <cmath>

namespace papayastep::limits {

/// Rate of events per second with exponential decay.
class DecayingRate
{
public:
    void add(double events, base::TimePoint now)
    {
        m_events = eventsAt(now) + events;
        m_at = now;
    }

    double perSecond(base::TimePoint now) const
    {
        return eventsAt(now) / memorySeconds;
    }

    base::TimePoint lastEvent() const
    {
        return m_at;
    }

private:
    static constexpr double memorySeconds = 1;

    double eventsAt(base::TimePoint now) const
    {
        const double passed = std::chrono::duration<double>(now - m_at).count();
        return m_events * std::exp(-passed / memorySeconds);
    }

    double m_events = 0;
    base::TimePoint m_at;
};

}
