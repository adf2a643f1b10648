#pragma once

#include "ejectionplan.h"
#include "remoteserver.h"
#include "serverevidence.h"

#include "papayastep/config/configuration.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/wire/message.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace papayastep::health {

/// The backend servers on other VMs of which this node has reports.
using RemoteServers = std::unordered_map<base::BackendServerId, RemoteServer>;

/// Status of a server of the own node, with all routes and the latency distribution that messages may include.
struct FullServerStatus
{
    base::ServiceId service;
    ServerStatus status; ///< Without routes and distribution.
    std::map<std::uint32_t, std::uint8_t> routes;
    std::string distribution; ///< Encoded; empty if not known yet.
};

/// The siblings of this VM: other VMs that run servers of a service that this VM has a server of. Decodes and creates
/// the messages between siblings.
class SiblingTable
{
public:
    SiblingTable(base::VmId self, std::uint64_t seed, const HealthSettings &settings);

    /// Removes VMs that are no longer siblings and keeps the state of the others.
    void configure(const config::Configuration &configuration, base::TimePoint now);
    /// Treats all siblings as unreachable until their next message.
    void invalidate();

    /// Handles a SiblingState message. Returns false if it was ignored because it is out of date or from no sibling.
    /// Throws base::Error if it is malformed.
    bool receiveState(const base::VmId &from,
                      base::Incarnation incarnation,
                      std::string_view payload,
                      const config::Configuration &configuration,
                      RemoteServers &remoteServers,
                      base::TimePoint now);
    /// Whether a message of `incarnation` is valid: false for an earlier incarnation of a restarted VM.
    bool acceptIncarnation(const base::VmId &from, base::Incarnation incarnation);

    bool isSibling(const base::VmId &vm) const;
    /// Whether a message of `vm` arrived recently, relative to the interval that the VM itself announced.
    bool reachable(const base::VmId &vm, base::TimePoint now) const;
    /// The siblings that became unreachable since the last call.
    std::vector<base::VmId> newlyUnreachable(base::TimePoint now);
    std::vector<base::VmId> siblings() const;

    bool anyDue(base::TimePoint now) const;
    /// Creates the messages that are due. Siblings with a service in `urgent` get one in any case.
    std::vector<wire::Outgoing> dueMessages(const std::vector<FullServerStatus> &statuses,
                                            const std::set<base::ServiceId> &urgent,
                                            base::TimePoint now);
    /// The time between two messages to the same sibling, as the budget allows.
    base::Duration interval() const;

private:
    struct Peer
    {
        std::set<base::ServiceId> services; ///< The common services.
        base::TimePoint nextDue;
        std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint8_t>
            sentRoutes; ///< Last sent latency steps, by server and route.
        std::uint32_t lastRefreshedRoute = 0; ///< Routes are sent again in turn, in case a message was lost.
        std::uint64_t messages = 0;

        base::Incarnation incarnation = 0;
        std::vector<base::Incarnation> retiredIncarnations;
        std::uint64_t version = 0;
        std::optional<base::TimePoint> receivedAt;
        base::Duration interval = std::chrono::seconds(1);
        bool reportedUnreachable = false;
    };

    SiblingState stateFor(Peer &peer, const std::vector<FullServerStatus> &statuses);
    void chooseRoutes(Peer &peer, const FullServerStatus &full, ServerStatus &status) const;

    base::VmId m_self;
    HealthSettings m_settings;
    std::mt19937_64 m_random;
    std::map<base::VmId, Peer> m_peers;
    std::uint64_t m_version = 0;
    double m_meanMessageBytes = 150; ///< Moving average, including the overhead.
};

/// The usual latencies and failures of `servers` of a service: medians over the siblings that take work.
ServiceReference referenceOf(const std::vector<base::BackendServerId> &servers, const RemoteServers &remoteServers);

/// The median severity in percent of the siblings that take work. It is subtracted from the severity of each server,
/// because a fault that all servers share must eject none.
int medianSeverity(const std::vector<base::BackendServerId> &servers, const RemoteServers &remoteServers);

}
