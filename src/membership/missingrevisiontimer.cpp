#include "papayastep/membership/missingrevisiontimer.h"

namespace papayastep::membership {

MissingRevisionTimer::MissingRevisionTimer(base::Duration timeout)
    : m_timeout(timeout)
{
}

void MissingRevisionTimer::noteAnnounced(base::Revision revision, base::TimePoint now)
{
    m_announced.note(revision, now);
}

void MissingRevisionTimer::notePlatformAsked(base::TimePoint now)
{
    m_askedAt = now;
}

bool MissingRevisionTimer::hasExpired(base::Revision active, base::TimePoint now)
{
    m_announced.removeUpTo(active);
    const auto oldestAt = m_announced.oldestAt();
    return oldestAt && now - *oldestAt >= m_timeout && now - m_askedAt >= m_timeout;
}

base::Revision MissingRevisionTimer::newestAnnounced() const
{
    return m_announced.newest();
}

}
