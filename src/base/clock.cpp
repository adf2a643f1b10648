#include "papayastep/base/clock.h"

#include <ctime>

namespace papayastep::base {

TimePoint SystemClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
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
