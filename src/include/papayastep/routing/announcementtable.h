#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <optional>
#include <unordered_map>

namespace papayastep::routing {

/// What a node beside a backend server has received from the server, as entries keep it.
struct ServerNotice
{
    base::Incarnation incarnation = 0; ///< The start of the server to which the notice belongs; 0 if unknown.
    std::optional<double> requestsPerSecond; ///< The limit that the server names; empty if there is none.
    bool isLeaving = false; ///< The server has announced its end.

    auto operator<=>(const ServerNotice &) const = default;
};

/// Time for which the announced end of a server applies. A server whose starts can be distinguished ends long before;
/// of one without a known start, this time shows that it was started again.
base::Duration leavingMemory(base::Incarnation incarnation);

/// The announcements of backend servers that have reached an entry with its answers.
///
/// The node beside a server keeps the limit and refuses what is sent to a leaving server. The entries remember both,
/// because that node may be restarted while the server goes on: they return the limit with each attempt, and choose no
/// server that is leaving, whatever the directory reports.
class AnnouncementTable
{
public:
    explicit AnnouncementTable(const base::Clock &clock);

    void record(const base::BackendServerId &server, const ServerNotice &notice);

    /// Returns the limit that this start of the server named last; empty if it named none.
    std::optional<double> requestsPerSecond(const base::BackendServerId &server, base::Incarnation incarnation) const;

    /// Whether this start of the server has announced its end. It never takes new requests again.
    bool isLeaving(const base::BackendServerId &server, base::Incarnation incarnation) const;

    /// Returns what is remembered of this start of the server.
    ServerNotice notice(const base::BackendServerId &server, base::Incarnation incarnation) const;

    /// Removes what is outdated.
    void expire();

private:
    struct Entry
    {
        ServerNotice notice;
        base::TimePoint receivedAt;
        base::TimePoint leavingSince; ///< Time at which the announced end was received first.
    };

    bool isOutdated(const Entry &entry) const;

    const base::Clock &m_clock;
    std::unordered_map<base::BackendServerId, Entry> m_entries;
};

}
