#pragma once

#include "belief.h"
#include "ejectionplan.h"
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
using Beliefs = std::unordered_map<base::BackendServerId, Belief>;

/// A claim of the own node and all the routes and the shape it could tell with it.
struct FullClaim
{
    base::ServiceId service;
    ServerClaim claim; ///< Without routes and shape.
    std::map<std::uint32_t, std::uint8_t> routes;
    std::string shape; ///< Empty: not known yet.
};

/// The siblings: VMs that carry servers of a service that this VM has a server of, too. Reads and writes the
/// messages between them and works out what is usual for a service.
class SiblingBook
{
public:
    SiblingBook(base::VmId self, std::uint64_t seed, const HealthSettings &settings);

    /// Forgets siblings that are none any more; keeps what is known of the others.
    void configure(const config::Configuration &configuration, base::TimePoint now);
    /// All siblings have to be heard of again.
    void distrust();

    /// False if the message was ignored: out of date, malformed, or from no sibling.
    bool receiveState(const base::VmId &from,
                      base::Incarnation incarnation,
                      std::string_view payload,
                      const config::Configuration &configuration,
                      Beliefs &beliefs,
                      base::TimePoint now);
    /// Whether a message of `incarnation` may count: false for the old self of a restarted VM.
    bool acceptIncarnation(const base::VmId &from, base::Incarnation incarnation);

    bool isSibling(const base::VmId &vm) const;
    /// Heard of lately, by what it said itself about when it would speak again.
    bool reachable(const base::VmId &vm, base::TimePoint now) const;
    /// Siblings that fell silent since the last call.
    std::vector<base::VmId> newlySilent(base::TimePoint now);
    std::vector<base::VmId> siblings() const;

    bool anyDue(base::TimePoint now) const;
    /// The next message to each sibling that is due. `urgent`: to those of these services at once.
    std::vector<wire::Outgoing> dueMessages(const std::vector<FullClaim> &claims,
                                            const std::set<base::ServiceId> &urgent,
                                            base::TimePoint now);
    /// Between two messages to the same sibling, as the budget allows.
    base::Duration interval() const;

private:
    struct Peer
    {
        std::set<base::ServiceId> services; ///< Common ones.
        base::TimePoint nextDue;
        std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint8_t> toldRoutes; ///< By server and route.
        std::uint32_t refreshAfter = 0; ///< Routes are told again in turn, in case a message was lost.
        std::uint64_t messages = 0;

        base::Incarnation incarnation = 0;
        std::vector<base::Incarnation> retired;
        std::uint64_t version = 0;
        std::optional<base::TimePoint> heardAt;
        base::Duration interval = std::chrono::seconds(1);
        bool reportedSilent = false;
    };

    SiblingState stateFor(Peer &peer, const std::vector<FullClaim> &claims);
    void chooseRoutes(Peer &peer, const FullClaim &full, ServerClaim &claim) const;

    base::VmId m_self;
    HealthSettings m_settings;
    std::mt19937_64 m_random;
    std::map<base::VmId, Peer> m_peers;
    std::uint64_t m_version = 0;
    double m_messageBytes = 150; ///< Running mean, overhead included.
};

/// What is usual for `servers` of a service: medians over the siblings that work.
ServiceReference referenceOf(const std::vector<base::BackendServerId> &servers, const Beliefs &beliefs);

/// The median severity of the working siblings, percent: what everybody suffers from accuses nobody.
int usualSeverity(const std::vector<base::BackendServerId> &servers, const Beliefs &beliefs);

}
