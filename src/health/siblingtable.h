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

/// All that this node was told about backend servers elsewhere.
using RemoteServers = std::unordered_map<base::BackendServerId, RemoteServer>;

/// A claim of the own node and all the routes and the shape it could tell with it.
struct FullServerStatus
{
    base::ServiceId service;
    ServerStatus status; ///< Without routes and shape.
    std::map<std::uint32_t, std::uint8_t> routes;
    std::string distribution; ///< Empty: not known yet.
};

/// The siblings: VMs that carry servers of a service that this VM has a server of, too. Reads and writes the
/// messages between them and works out what is usual for a service.
class SiblingTable
{
public:
    SiblingTable(base::VmId self, std::uint64_t seed, const HealthSettings &settings);

    /// Forgets siblings that are none any more; keeps what is known of the others.
    void configure(const config::Configuration &configuration, base::TimePoint now);
    /// All siblings have to be heard of again.
    void invalidate();

    /// False if the message was ignored: out of date, malformed, or from no sibling.
    bool receiveState(const base::VmId &from,
                      base::Incarnation incarnation,
                      std::string_view payload,
                      const config::Configuration &configuration,
                      RemoteServers &beliefs,
                      base::TimePoint now);
    /// Whether a message of `incarnation` may count: false for the old self of a restarted VM.
    bool acceptIncarnation(const base::VmId &from, base::Incarnation incarnation);

    bool isSibling(const base::VmId &vm) const;
    /// Heard of lately, by what it said itself about when it would speak again.
    bool reachable(const base::VmId &vm, base::TimePoint now) const;
    /// Siblings that fell silent since the last call.
    std::vector<base::VmId> newlyUnreachable(base::TimePoint now);
    std::vector<base::VmId> siblings() const;

    bool anyDue(base::TimePoint now) const;
    /// The next message to each sibling that is due. `urgent`: to those of these services at once.
    std::vector<wire::Outgoing> dueMessages(const std::vector<FullServerStatus> &claims,
                                            const std::set<base::ServiceId> &urgent,
                                            base::TimePoint now);
    /// Between two messages to the same sibling, as the budget allows.
    base::Duration interval() const;

private:
    struct Peer
    {
        std::set<base::ServiceId> services; ///< Common ones.
        base::TimePoint nextDue;
        std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint8_t> sentRoutes; ///< By server and route.
        std::uint32_t lastRefreshedRoute = 0; ///< Routes are told again in turn, in case a message was lost.
        std::uint64_t messages = 0;

        base::Incarnation incarnation = 0;
        std::vector<base::Incarnation> retiredIncarnations;
        std::uint64_t version = 0;
        std::optional<base::TimePoint> receivedAt;
        base::Duration interval = std::chrono::seconds(1);
        bool reportedUnreachable = false;
    };

    SiblingState stateFor(Peer &peer, const std::vector<FullServerStatus> &claims);
    void chooseRoutes(Peer &peer, const FullServerStatus &full, ServerStatus &claim) const;

    base::VmId m_self;
    HealthSettings m_settings;
    std::mt19937_64 m_random;
    std::map<base::VmId, Peer> m_peers;
    std::uint64_t m_version = 0;
    double m_meanMessageBytes = 150; ///< Running mean, overhead included.
};

/// What is usual for `servers` of a service: medians over the siblings that work.
ServiceReference referenceOf(const std::vector<base::BackendServerId> &servers, const RemoteServers &beliefs);

/// The median severity of the working siblings, percent: what everybody suffers from accuses nobody.
int medianSeverity(const std::vector<base::BackendServerId> &servers, const RemoteServers &beliefs);

}
