#include "papayastep/membership/missingrevisiontimer.h"

namespace papayastep::membership {

namespace {

constexpr std::size_t maxRememberedMissing = 64;

}

MissingRevisionTimer::MissingRevisionTimer(base::Duration timeout)
    : m_timeout(timeout)
{
}

void MissingRevisionTimer::noteAnnounced(base::Revision revision, base::TimePoint now)
{
    if (revision <= m_newest) {
        return;
    }
    m_newest = revision;
    if (m_missing.size() == maxRememberedMissing) {
        // The newer revision then counts as announced a little too early, never too late.
        m_missing.back().revision = revision;
        return;
    }
    m_missing.push_back({revision, now});
}

void MissingRevisionTimer::notePlatformAsked(base::TimePoint now)
{
    m_askedAt = now;
}

bool MissingRevisionTimer::hasExpired(base::Revision active, base::TimePoint now)
{
    removeUpTo(active);
    return !m_missing.empty() && now - m_missing.front().at >= m_timeout && now - m_askedAt >= m_timeout;
}

base::Duration MissingRevisionTimer::takeDelay(base::Revision active, base::TimePoint now)
{
    if (m_missing.empty() || m_missing.front().revision > active) {
        return base::Duration::zero();
    }
    const base::Duration delay = now - m_missing.front().at;
    removeUpTo(active);
    return delay;
}

void MissingRevisionTimer::removeUpTo(base::Revision active)
{
    while (!m_missing.empty() && m_missing.front().revision <= active) {
        m_missing.pop_front();
    }
}

base::Revision MissingRevisionTimer::newestAnnounced() const
{
    return m_newest;
}

}
