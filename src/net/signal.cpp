#include "papayastep/net/signal.h"

namespace papayastep::net {

Signal::Signal(asio::io_context &context)
    : m_timer(context)
{
}

Awaitable<bool> Signal::waitUntil(base::TimePoint until)
{
    if (!m_notified) {
        beast::error_code error;
        m_timer.expires_after(until - m_clock.now());
        co_await m_timer.async_wait(into(error));
    }
    co_return std::exchange(m_notified, false);
}

void Signal::notify()
{
    m_notified = true;
    m_timer.cancel();
}

}
