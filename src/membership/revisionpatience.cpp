#include "papayastep/membership/revisionpatience.h"

namespace papayastep::membership {

namespace {

constexpr std::size_t rememberedMissing = 64;

}

RevisionPatience::RevisionPatience(base::Duration longest)
    : m_longest(longest)
{
}

void RevisionPatience::noteHeard(base::Revision revision, base::TimePoint now)
{
    if (revision <= m_newest) {
        return;
    }
    m_newest = revision;
    if (m_missing.size() == rememberedMissing) {
        // Counts as heard of a little too early, never too late.
        m_missing.back().revision = revision;
        return;
    }
    m_missing.push_back({revision, now});
}

void RevisionPatience::noteAsked(base::TimePoint now)
{
    m_askedAt = now;
}

bool RevisionPatience::isOver(base::Revision inForce, base::TimePoint now)
{
    while (!m_missing.empty() && m_missing.front().revision <= inForce) {
        m_missing.pop_front();
    }
    return !m_missing.empty() && now - m_missing.front().at >= m_longest && now - m_askedAt >= m_longest;
}

base::Revision RevisionPatience::newestHeard() const
{
    return m_newest;
}

}
