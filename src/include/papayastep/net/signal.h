#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/asio.h"

namespace papayastep::net {

/// Lets one coroutine wait until other code in the same thread notifies it or a given time is reached. A notification
/// before the wait is kept, so none is lost between two waits.
class Signal
{
public:
    explicit Signal(asio::io_context &context);

    /// Returns true after a notification, or false if `until` is reached first.
    Awaitable<bool> waitUntil(base::TimePoint until);

    void notify();

private:
    const base::SystemClock m_clock; ///< waitUntil() takes times of the system clock, whatever clock other code uses.
    asio::steady_timer m_timer;
    bool m_notified = false;
};

}
