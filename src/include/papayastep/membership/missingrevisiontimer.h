#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/membership/announcedrevisions.h"

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

    /// Returns the newest announced revision; 0 if there is none.
    base::Revision newestAnnounced() const;

private:
    const base::Duration m_timeout;
    AnnouncedRevisions m_announced;
    base::TimePoint m_askedAt{};
};

}
