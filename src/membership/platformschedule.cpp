#include "papayastep/membership/platformschedule.h"

#include "papayastep/membership/configdistributor.h"

#include <algorithm>

namespace papayastep::membership {

namespace {

base::Duration randomPart(base::Duration from, base::Duration to, std::mt19937_64 &random)
{
    return base::Duration(std::uniform_int_distribution<base::Duration::rep>(from.count(), to.count())(random));
}

}

PlatformSchedule::PlatformSchedule(const DistributionSettings &settings)
    : m_settings(settings)
{
}

PlatformCall PlatformSchedule::call(bool reader, std::uint64_t after) const
{
    if (!reader) {
        return {PlatformCallKind::Read, std::max(m_pollAt, m_backoffUntil), 0, std::chrono::seconds(0)};
    }
    if (m_watchNext) {
        return {PlatformCallKind::Watch, m_backoffUntil, after, m_settings.watchWait};
    }
    return {PlatformCallKind::Read, m_backoffUntil, 0, std::chrono::seconds(0)};
}

void PlatformSchedule::readAnswered(base::TimePoint now, std::size_t fleet, std::mt19937_64 &random)
{
    m_backoff = base::Duration::zero();
    m_watchNext = true;
    const auto share = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(static_cast<double>(fleet) / m_settings.pollsPerSecond));
    const base::Duration interval = std::max(m_settings.shortestPollInterval, share);
    m_pollAt = now + randomPart(interval / 2, interval * 3 / 2, random);
}

void PlatformSchedule::watchEnded()
{
    m_backoff = base::Duration::zero();
    m_watchNext = false;
}

void PlatformSchedule::requestRead()
{
    m_pollAt = {};
    m_backoffUntil = {};
    m_watchNext = false;
}

void PlatformSchedule::failed(base::TimePoint now, std::mt19937_64 &random)
{
    m_backoff = std::clamp(m_backoff * 2, m_settings.shortestBackoff, m_settings.longestBackoff);
    m_backoffUntil = now + randomPart(m_backoff / 2, m_backoff, random);
    m_watchNext = false;
}

}
