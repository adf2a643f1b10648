#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// Backend servers that register themselves at the platform, for fleets whose operators do not list them by hand.
namespace papayastep::membership {

/// An answer of the platform about the registered servers: the complete list, or the changes since the last answer.
struct ServerUpdate
{
    std::uint64_t version = 0; ///< Increases with each change at the platform; the next watch starts from it.
    /// Whether `changed` is the complete list, so that entries that it does not contain are gone.
    bool isComplete = false;
    std::vector<config::BackendServer> changed;
    std::vector<base::BackendServerId> removed;
    /// Revision of the newest configuration that the platform holds; 0 if not reported.
    base::Revision publishedRevision = 0;
    /// Availability zones whose evacuation has begun; in a complete list, all that are evacuated.
    std::vector<base::ZoneId> evacuated{};
    std::vector<base::ZoneId> restored{}; ///< Availability zones whose evacuation has ended.
};

/// Settings of a ServerDirectory.
struct ServerDirectorySettings
{
    /// Time for which missing entries are kept after an outage of the platform. An entry that lapsed during the outage
    /// returns within about two seconds after it, as the platform states; until then a missing entry does not prove
    /// that its server is gone.
    base::Duration outageGracePeriod = std::chrono::seconds(2);
};

/// The registered servers as this node knows them. They change by the second, while the configuration changes by the
/// hour.
///
/// While the platform is unreachable the last known entries are kept: a service must not become unavailable because its
/// registry is. When the platform returns, entries may be missing only because their leases expired in the meantime.
/// Dropping them at once would empty whole services, and callers would get refusals right after the outage; so such an
/// entry is kept for the grace period and removed if it has not returned by then.
///
/// Operators evacuate an availability zone through the same source: its servers stay registered but get no new requests
/// until the zone is restored. An evacuation is no lease, so it ends only by a change of the platform. Not thread-safe.
class ServerDirectory
{
public:
    explicit ServerDirectory(const base::Clock &clock, ServerDirectorySettings settings = {});

    /// Applies an answer and returns whether servers() changed. `answeredAt` is the time of the platform's answer; it
    /// is in the past for an update from a reader.
    bool apply(const ServerUpdate &update, base::TimePoint answeredAt);
    bool apply(const ServerUpdate &update);

    /// Records that a call of the platform failed.
    void noteUnreachable();

    /// Removes the entries that were missing for longer than the grace period. Returns whether servers() changed.
    bool tick();
    std::optional<base::TimePoint> nextTick() const;

    /// Returns whether entries are kept that the platform does not have.
    bool anyMissing() const;

    /// Returns whether a complete list was ever received.
    bool hasCompleteList() const;
    std::uint64_t version() const;

    /// Time since the platform last answered; empty if it never did.
    std::optional<base::Duration> timeSinceAnswer() const;

    /// The servers, sorted by id. Of two entries with the same address only the younger one is listed: an address is
    /// reassigned to the next server before the entry of the previous one has lapsed.
    std::vector<config::BackendServer> servers() const;

    /// The availability zones that are evacuated, whether or not they have servers.
    const std::set<base::ZoneId> &evacuatedZones() const;

private:
    struct Entry
    {
        config::BackendServer server;
        bool missing = false; ///< Whether the platform no longer has the entry, which perhaps only lapsed.
    };
    using Entries = std::map<base::BackendServerId, Entry>;

    bool isInOutageGracePeriod() const;
    bool put(const config::BackendServer &server);
    bool remove(Entries::iterator entry);
    bool applyEvacuations(const ServerUpdate &update);
    bool evacuate(const base::ZoneId &zone);
    bool restore(const base::ZoneId &zone);

    const base::Clock &m_clock;
    const ServerDirectorySettings m_settings;
    Entries m_entries;
    std::set<base::ZoneId> m_evacuated;
    std::size_t m_missingCount = 0; ///< Entries that are missing.
    std::uint64_t m_version = 0;
    bool m_hasCompleteList = false;
    bool m_unreachable = false;
    std::optional<base::TimePoint> m_answeredAt; ///< Time of the platform's last answer.
    std::optional<base::TimePoint> m_failedAt; ///< Time of the last failed call of the platform.
    std::optional<base::TimePoint> m_returnedAt; ///< Time of the platform's first answer after its last failed call.
};

}
