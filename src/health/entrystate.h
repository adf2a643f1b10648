#pragma once

#include "entryevidence.h"
#include "pathevidence.h"

#include "papayastep/health/messages.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace papayastep::health {

/// What this node has observed as an entry node: the evidence of its own hops, and the reports on their answers.
class EntryState
{
public:
    explicit EntryState(const HealthSettings &settings);

    void hopSent(const base::VmId &vm, const base::BackendServerId &server, const AttemptKey &key, base::TimePoint now);
    void hopAcknowledged(const base::VmId &vm, const AttemptKey &key, base::TimePoint now);
    void hopEnded(
        const base::VmId &vm, const AttemptKey &key, HopOutcome outcome, base::Duration latency, base::TimePoint now);
    void invalidate();

    /// Records which siblings of `service` the node on `from` reports as ejected. Returns whether the set changed.
    bool recordEjected(const base::ServiceId &service,
                       const base::VmId &from,
                       std::uint64_t version,
                       const std::vector<std::uint32_t> &ejected,
                       base::TimePoint now);
    /// The time of the last report that `server` is ejected, if at least half of the recent reporters say so. Reports
    /// of its own VM `vm` do not count.
    std::optional<base::TimePoint> reportedEjected(const base::ServiceId &service,
                                                   const base::VmId &vm,
                                                   std::uint32_t server,
                                                   base::TimePoint now) const;

    std::unordered_map<base::BackendServerId, EntryEvidence> &servers();
    std::map<base::VmId, PathEvidence> &paths();
    const EntryEvidence *server(const base::BackendServerId &id) const;
    const PathEvidence *path(const base::VmId &vm) const;
    /// Removes entries without recent use or report, so that the memory depends on the traffic, not on the fleet.
    void expire(base::TimePoint now);

private:
    struct EjectionReport
    {
        std::uint64_t version = 0;
        std::vector<std::uint32_t> ejected;
        base::TimePoint receivedAt;
    };

    HealthSettings m_settings;
    std::unordered_map<base::BackendServerId, EntryEvidence> m_servers;
    std::map<base::VmId, PathEvidence> m_paths;
    std::unordered_map<AttemptKey, base::BackendServerId> m_serverOfHop;
    std::unordered_map<base::ServiceId, std::map<base::VmId, EjectionReport>> m_ejectionReports;
};

}
