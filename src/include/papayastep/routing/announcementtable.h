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

    auto operator<=>(const ServerNotice &) const = default;
};

/// The announcements of backend servers that have reached an entry with its answers.
///
/// The node beside a server keeps the limit. The entries remember it too, and return it with each attempt, because that
/// node may be restarted while the server goes on.
class AnnouncementTable
{
public:
    explicit AnnouncementTable(const base::Clock &clock);

    void record(const base::BackendServerId &server, const ServerNotice &notice);

    /// Returns the limit that this start of the server named last; empty if it named none.
    std::optional<double> requestsPerSecond(const base::BackendServerId &server, base::Incarnation incarnation) const;

    /// Removes what is outdated.
    void expire();

private:
    struct Entry
    {
        ServerNotice notice;
        base::TimePoint receivedAt;
    };

    const base::Clock &m_clock;
    std::unordered_map<base::BackendServerId, Entry> m_entries;
};

}
