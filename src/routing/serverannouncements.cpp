#include "papayastep/routing/serverannouncements.h"

namespace papayastep::routing {

ServerAnnouncements::ServerAnnouncements(const base::Clock &clock, base::Incarnation incarnation)
    : m_clock(clock)
    , m_incarnation(incarnation)
{
}

void ServerAnnouncements::record(const ServerAnnouncement &announcement, const AnnouncementSource &source)
{
    if (source.incarnation != m_incarnation) {
        return;
    }
    const bool isCertain = source.kind == AnnouncementSource::Kind::Request;
    m_hasAnswered = m_hasAnswered || isCertain;
    if (announcement.isLeaving) {
        setLeaving();
    }
    const NamedLimit &limit = announcement.limit;
    m_inForce.isLimitReadable = limit.isReadable;
    if (limit.requestsPerSecond) {
        setLimit(*limit.requestsPerSecond);
    } else if (limit.isReadable && isCertain && source.sentAt >= m_limitNamedAt) {
        // An answer to an earlier request may arrive after one that names the limit.
        m_inForce.requestsPerSecond.reset();
    }
}

void ServerAnnouncements::adopt(const ServerNotice &notice)
{
    if (notice.incarnation != m_incarnation) {
        return;
    }
    if (notice.isLeaving) {
        setLeaving();
    }
    if (notice.requestsPerSecond && !m_hasAnswered) {
        setLimit(*notice.requestsPerSecond);
    }
}

void ServerAnnouncements::restart(base::Incarnation incarnation)
{
    m_incarnation = incarnation;
    m_inForce = {};
    m_hasAnswered = false;
}

void ServerAnnouncements::expire()
{
    if (m_clock.now() - m_leavingSince >= leavingMemory(m_incarnation)) {
        m_inForce.isLeaving = false;
    }
}

const AnnouncedState &ServerAnnouncements::inForce() const
{
    return m_inForce;
}

void ServerAnnouncements::setLimit(double requestsPerSecond)
{
    m_limitNamedAt = m_clock.now();
    m_inForce.requestsPerSecond = requestsPerSecond;
}

void ServerAnnouncements::setLeaving()
{
    if (!m_inForce.isLeaving) {
        m_inForce.isLeaving = true;
        m_leavingSince = m_clock.now();
    }
}

}
