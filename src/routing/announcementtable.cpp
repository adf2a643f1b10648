#include "papayastep/routing/announcementtable.h"

namespace papayastep::routing {

namespace {

/// Time for which a limit is remembered. A server that gets requests repeats it with each answer.
constexpr base::Duration limitMemory = std::chrono::minutes(1);

}

base::Duration leavingMemory(base::Incarnation incarnation)
{
    return incarnation == 0 ? std::chrono::minutes(1) : std::chrono::minutes(10);
}

AnnouncementTable::AnnouncementTable(const base::Clock &clock)
    : m_clock(clock)
{
}

void AnnouncementTable::record(const base::BackendServerId &server, const ServerNotice &notice)
{
    const auto known = m_entries.find(server);
    const bool isSameStart = known != m_entries.end() && known->second.notice.incarnation == notice.incarnation;
    const bool wasLeaving = isSameStart && isLeaving(server, notice.incarnation);
    if (!notice.requestsPerSecond && !notice.isLeaving && !wasLeaving) {
        m_entries.erase(server);
        return;
    }
    Entry entry{notice, m_clock.now(), m_clock.now()};
    if (wasLeaving) {
        entry.notice.isLeaving = true;
        entry.leavingSince = known->second.leavingSince;
    }
    m_entries[server] = entry;
}

std::optional<double> AnnouncementTable::requestsPerSecond(const base::BackendServerId &server,
                                                           base::Incarnation incarnation) const
{
    const auto found = m_entries.find(server);
    const bool isKnown = found != m_entries.end() && found->second.notice.incarnation == incarnation
        && m_clock.now() - found->second.receivedAt < limitMemory;
    return isKnown ? found->second.notice.requestsPerSecond : std::nullopt;
}

bool AnnouncementTable::isLeaving(const base::BackendServerId &server, base::Incarnation incarnation) const
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || !found->second.notice.isLeaving
        || found->second.notice.incarnation != incarnation) {
        return false;
    }
    return m_clock.now() - found->second.leavingSince < leavingMemory(incarnation);
}

ServerNotice AnnouncementTable::notice(const base::BackendServerId &server, base::Incarnation incarnation) const
{
    return {incarnation, requestsPerSecond(server, incarnation), isLeaving(server, incarnation)};
}

void AnnouncementTable::expire()
{
    std::erase_if(m_entries, [this](const auto &entry) { return isOutdated(entry.second); });
}

bool AnnouncementTable::isOutdated(const Entry &entry) const
{
    const base::TimePoint now = m_clock.now();
    const bool isLeaving = entry.notice.isLeaving && now - entry.leavingSince < leavingMemory(entry.notice.incarnation);
    return !isLeaving && now - entry.receivedAt >= limitMemory;
}

}
