#include "papayastep/membership/revisionpatience.h"

namespace papayastep::membership {

RevisionPatience::RevisionPatience(base::Duration longest)
    : m_longest(longest)
{
}

void RevisionPatience::noteHeard(base::Revision revision, base::TimePoint now)
{
    if (revision > m_newest) {
        m_newest = revision;
        m_newestAt = now;
    }
}

bool RevisionPatience::isOver(base::Revision inForce, base::TimePoint now) const
{
    return inForce < m_newest && now - m_newestAt >= m_longest;
}

base::Revision RevisionPatience::newestHeard() const
{
    return m_newest;
}

}
