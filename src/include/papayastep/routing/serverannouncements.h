#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/routing/announcementtable.h"
#include "papayastep/routing/serverannouncement.h"

namespace papayastep::routing {

/// Decides which announcements of one backend server are in force at the node beside it.
///
/// A limit is in force as long as answers name it: it ends with an answer without it to a request that was sent after
/// it was last named. An announced end is in force until the server is started again, even if later answers do not
/// repeat it. What another start of the server announced is ignored.
class ServerAnnouncements
{
public:
    ServerAnnouncements(const base::Clock &clock, base::Incarnation incarnation);

    void record(const ServerAnnouncement &announcement, const AnnouncementSource &source);

    /// Takes over what is remembered elsewhere: by an entry, since an earlier process of this node ran, or by this
    /// node, since the directory did not list the server for a while. A limit is taken only until the server itself has
    /// answered a request.
    void adopt(const ServerNotice &notice);

    /// Forgets everything, because the server was started again.
    void restart(base::Incarnation incarnation);
    /// Forgets an announced end that is outdated (leavingMemory).
    void expire();

    const AnnouncedState &inForce() const;

private:
    void setLimit(double requestsPerSecond);
    void setLeaving();

    const base::Clock &m_clock;
    base::Incarnation m_incarnation;
    AnnouncedState m_inForce;
    base::TimePoint m_leavingSince; ///< Time at which the server announced its end.
    base::TimePoint m_limitNamedAt; ///< Time of the last answer that named a limit.
    bool m_hasAnswered = false; ///< The server has answered a request since its start or the start of this node.
};

}
