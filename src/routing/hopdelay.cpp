#include "papayastep/routing/hopdelay.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

constexpr std::int64_t driftDivisor = 2000; ///< Two clocks drift apart by at most 500 parts in a million.
constexpr base::Duration forgetAfter = std::chrono::hours(1);

}

HopDelay::HopDelay(const base::Clock &clock)
    : m_clock(clock)
{
}

base::Duration HopDelay::observe(const SentStamp &stamp)
{
    const auto now = m_clock.now();
    const base::Duration difference = now.time_since_epoch() - stamp.sent;
    const auto [position, isNew]
        = m_offsets.try_emplace({stamp.sender, stamp.incarnation}, Offset{difference, now, now});
    Offset &offset = position->second;
    offset.lastReceived = now;
    const base::Duration allowedDifference = offset.minimum + (now - offset.since) / driftDivisor;
    if (isNew || difference <= allowedDifference) {
        offset.minimum = difference;
        offset.since = now;
        return base::Duration::zero();
    }
    return difference - allowedDifference;
}

void HopDelay::tick()
{
    const auto now = m_clock.now();
    std::erase_if(m_offsets, [&](const auto &entry) { return now - entry.second.lastReceived > forgetAfter; });
}

std::size_t HopDelay::size() const
{
    return m_offsets.size();
}

}
