#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <deque>

namespace papayastep::membership {

/// Limits the time for which a node waits for its peers to deliver an announced revision, before it asks the platform.
/// The time counts from the announcement of the oldest missing revision: newer announcements don't prolong it.
class MissingRevisionTimer
{
public:
    explicit MissingRevisionTimer(base::Duration timeout);

    /// Records that the platform holds `revision`.
    void noteAnnounced(base::Revision revision, base::TimePoint now);

    /// Records that the platform is asked now. Its answer has as much time as the peers had.
    void notePlatformAsked(base::TimePoint now);

    /// Returns whether a revision newer than `active` has been missing for too long.
    bool hasExpired(base::Revision active, base::TimePoint now);

    /// Returns the time since the announcement of the oldest revision that becomes active with `active`, and forgets
    /// it; 0 if none was announced.
    base::Duration takeDelay(base::Revision active, base::TimePoint now);

    /// Returns the newest announced revision; 0 if there is none.
    base::Revision newestAnnounced() const;

private:
    struct Announced
    {
        base::Revision revision = 0;
        base::TimePoint at{};
    };

    void removeUpTo(base::Revision active);

    const base::Duration m_timeout;
    base::Revision m_newest = 0;
    std::deque<Announced> m_missing; ///< Ordered by revision and by time, oldest first.
    base::TimePoint m_askedAt{};
};

}
