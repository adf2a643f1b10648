#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <deque>

namespace papayastep::membership {

/// How long a node leaves it to its peers to bring a revision that it has heard of, before it asks the platform. The
/// wait is that of the oldest revision that is missing: newer ones that are heard of meanwhile don't prolong it.
class MissingRevisionTimer
{
public:
    explicit MissingRevisionTimer(base::Duration longest);

    /// The platform holds `revision`.
    void noteAnnounced(base::Revision revision, base::TimePoint now);

    /// The platform is asked now; the answer has as long to come as peers had.
    void notePlatformAsked(base::TimePoint now);

    /// Whether a revision newer than `inForce` has been missing for too long.
    bool hasExpired(base::Revision inForce, base::TimePoint now);

    /// 0: none yet.
    base::Revision newestAnnounced() const;

private:
    struct Announced
    {
        base::Revision revision = 0;
        base::TimePoint at{};
    };

    const base::Duration m_timeout;
    base::Revision m_newest = 0;
    std::deque<Announced> m_missing; ///< Both ascend.
    base::TimePoint m_askedAt{};
};

}
