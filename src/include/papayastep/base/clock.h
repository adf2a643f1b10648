#pragma once

#include <chrono>

/// An interface to time, so that every decision can be reproduced with a manual clock.
namespace papayastep::base {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The only source of time for code that makes decisions.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Returns monotonic time that advances while the VM is suspended, so that a lease or grant held by a suspended VM
    /// has its real age. Only differences within one process are meaningful. Timers of the operating system stop during
    /// a suspension, so they are set to a difference, never to a time of this clock.
    virtual TimePoint now() const = 0;

    /// Returns calendar time, for logs and for keys that contain a time. It may jump.
    virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

/// A clock that advances only by advance(), which moves both times together.
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
