#include "papayastep/membership/announcedrevisions.h"

namespace papayastep::membership {

namespace {

constexpr std::size_t maxRememberedMissing = 64;

}

void AnnouncedRevisions::note(base::Revision revision, base::TimePoint now)
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

void AnnouncedRevisions::removeUpTo(base::Revision active)
{
    while (!m_missing.empty() && m_missing.front().revision <= active) {
        m_missing.pop_front();
    }
}

base::Duration AnnouncedRevisions::delayOf(base::Revision active, base::TimePoint now) const
{
    const bool isAnnounced = !m_missing.empty() && m_missing.front().revision <= active;
    return isAnnounced ? now - m_missing.front().at : base::Duration::zero();
}

std::optional<base::TimePoint> AnnouncedRevisions::oldestAt() const
{
    return m_missing.empty() ? std::nullopt : std::optional(m_missing.front().at);
}

base::Revision AnnouncedRevisions::newest() const
{
    return m_newest;
}

}
