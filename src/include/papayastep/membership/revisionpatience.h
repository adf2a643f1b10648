#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

namespace papayastep::membership {

/// How long a node leaves it to its peers to bring a revision that it has heard of, before it asks the platform.
class RevisionPatience
{
public:
    explicit RevisionPatience(base::Duration longest);

    /// The platform holds `revision`.
    void noteHeard(base::Revision revision, base::TimePoint now);

    /// Whether a revision newer than `inForce` has been known of for too long.
    bool isOver(base::Revision inForce, base::TimePoint now) const;

    /// 0: none yet.
    base::Revision newestHeard() const;

private:
    const base::Duration m_longest;
    base::Revision m_newest = 0;
    base::TimePoint m_newestAt{};
};

}
