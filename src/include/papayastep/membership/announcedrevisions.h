#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <deque>
#include <optional>

namespace papayastep::membership {

/// The announced revisions that a node does not hold yet, with the time of their announcement.
class AnnouncedRevisions
{
public:
    /// Records that `revision` exists. Ignored unless it is newer than all before.
    void note(base::Revision revision, base::TimePoint now);

    /// Forgets the revisions up to `active`, which are no longer missing.
    void removeUpTo(base::Revision active);

    /// Returns the time since the announcement of the oldest revision up to `active`; 0 if none was announced.
    base::Duration delayOf(base::Revision active, base::TimePoint now) const;

    /// Returns the time at which the oldest missing revision was announced; empty if none is missing.
    std::optional<base::TimePoint> oldestAt() const;

    /// Returns the newest revision ever announced; 0 if there is none.
    base::Revision newest() const;

private:
    struct Announced
    {
        base::Revision revision = 0;
        base::TimePoint at{};
    };

    base::Revision m_newest = 0;
    std::deque<Announced> m_missing; ///< Ordered by revision and by time, oldest first.
};

}
