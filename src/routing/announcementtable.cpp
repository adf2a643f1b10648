#include "papayastep/routing/announcementtable.h"

namespace papayastep::routing {

namespace {

/// Time for which a limit is remembered. A server that gets requests repeats it with each answer.
constexpr base::Duration limitMemory = std::chrono::minutes(1);

}

AnnouncementTable::AnnouncementTable(const base::Clock &clock)
    : m_clock(clock)
{
}

void AnnouncementTable::record(const base::BackendServerId &server, const ServerNotice &notice)
{
    if (!notice.requestsPerSecond) {
        m_entries.erase(server);
        return;
    }
    m_entries[server] = Entry{notice, m_clock.now()};
}

std::optional<double> AnnouncementTable::requestsPerSecond(const base::BackendServerId &server,
                                                           base::Incarnation incarnation) const
{
    const auto found = m_entries.find(server);
    const bool isKnown = found != m_entries.end() && found->second.notice.incarnation == incarnation
        && m_clock.now() - found->second.receivedAt < limitMemory;
    return isKnown ? found->second.notice.requestsPerSecond : std::nullopt;
}

void AnnouncementTable::expire()
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.receivedAt >= limitMemory; });
}

}
