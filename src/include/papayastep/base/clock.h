#pragma once

#include <chrono>

/// Time as an interface, so that every decision can be replayed on a manual clock.
namespace papayastep::base {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The only source of time for code that decides.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time, which goes on while the VM is suspended: a lease or a grant held by a VM that slept must look as
    /// old as it is. Only differences mean anything, and only within one process. Timers of the operating system stand
    /// still meanwhile, so they are set by differences, never by a time of this clock.
    virtual TimePoint now() const = 0;

    /// Calendar time, for logs and for keys that carry a time. May jump.
    virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

/// A clock that moves only when told; both readings move together.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;

    /// Moves time forward by `step`, which must not be negative.
    void advance(Duration step);

private:
    Duration m_elapsed = std::chrono::hours(1);
};

}
