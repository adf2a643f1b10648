#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/asio.h"

namespace papayastep::net {

/// Lets one coroutine wait until another part of the same thread says that something changed, or a time comes.
/// A notification that comes before the wait is kept, so none is lost between two waits.
class Signal
{
public:
    explicit Signal(asio::io_context &context);

    /// Returns true when notified, false when `until` came first.
    Awaitable<bool> waitUntil(base::TimePoint until);

    void notify();

private:
    const base::SystemClock m_clock; ///< Times of waitUntil() are the system's, whatever clock decides.
    asio::steady_timer m_timer;
    bool m_notified = false;
};

}
