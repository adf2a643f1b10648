#include "papayastep/limits/startratelimiter.h"

#include <algorithm>

namespace papayastep::limits {

namespace {

constexpr double minRate = 0.2; ///< Starts per second that any server gets.
constexpr double capacitySeconds = 0.25; ///< Time in which the limit fills the bucket.
/// Largest debt in starts. Probes start regardless of the limit, and many of them at a server that is down must not
/// delay its requests once it is back.
constexpr double maxDebt = 1;
/// Waits are cut to this time. No request waits so long, and the sum with a time point does not overflow.
constexpr std::chrono::duration<double> maxWait = std::chrono::hours(1);

}

StartRateLimiter::StartRateLimiter(const base::Clock &clock)
    : m_clock(clock)
    , m_updatedAt(clock.now())
{
}

void StartRateLimiter::setRate(std::optional<double> startsPerSecond)
{
    const double before = m_rate ? tokens() : 0;
    m_rate = startsPerSecond;
    m_tokens = std::min(before, capacity());
    m_updatedAt = m_clock.now();
}

std::optional<double> StartRateLimiter::rate() const
{
    return m_rate;
}

void StartRateLimiter::recordStart()
{
    if (!m_rate) {
        return;
    }
    m_tokens = std::max(tokens() - 1, -maxDebt);
    m_updatedAt = m_clock.now();
}

base::Duration StartRateLimiter::wait(std::size_t ahead) const
{
    if (!m_rate) {
        return {};
    }
    const double missing = static_cast<double>(ahead) + 1 - tokens();
    if (missing <= 0) {
        return {};
    }
    const std::chrono::duration<double> wait(missing / effectiveRate());
    // Rounded up, because an attempt that is tried a nanosecond too early would be tried again and again.
    return std::chrono::ceil<base::Duration>(std::min(wait, maxWait));
}

double StartRateLimiter::effectiveRate() const
{
    return std::max(m_rate.value_or(0), minRate);
}

double StartRateLimiter::capacity() const
{
    return std::max(1.0, effectiveRate() * capacitySeconds);
}

double StartRateLimiter::tokens() const
{
    const std::chrono::duration<double> elapsed = m_clock.now() - m_updatedAt;
    return std::min(capacity(), m_tokens + elapsed.count() * effectiveRate());
}

}
