#include "papayastep/base/clock.h"

namespace papayastep::base {

TimePoint SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

TimePoint ManualClock::now() const
{
    return TimePoint(m_elapsed);
}

WallTime ManualClock::wallNow() const
{
    constexpr std::chrono::hours yearsSinceEpoch(24 * 365 * 55);
    return WallTime(yearsSinceEpoch + m_elapsed);
}

void ManualClock::advance(Duration step)
{
    m_elapsed += step;
}

}
