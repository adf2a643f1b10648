#pragma once

#include "papayastep/config/configuration.h"
#include "papayastep/routing/idempotencyledger.h"

#include <set>
#include <unordered_map>

namespace papayastep::routing {

/// The home side of the idempotency ledger: answers claims for the keys that this VM is home of, takes over records
/// when a key's home moves, and gives them away when this node stops. docs/design/idempotency.md holds the argument
/// why a key runs at most once.
class LedgerHome
{
public:
    LedgerHome(const base::Clock &clock, base::VmId self, base::Incarnation incarnation, LedgerSettings settings = {});

    /// The configuration in force. Moves homes where the VMs of a service differ.
    void applyConfiguration(config::ConfigurationPtr configuration);

    /// The platform's list. A VM that was asked for records and is no longer listed counts as stopped.
    void applyVmList(const config::VmList &list);

    /// Kinds LedgerClaim, LedgerComplete, LedgerFetch, LedgerFetchResult, LedgerHandOver and LedgerHandOverResult.
    /// Throws Error(MessageMalformed, MessageUnknownKind).
    void receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload);

    std::vector<wire::Outgoing> takeMessages();

    /// Resends, forgets. Call at nextTick() or later.
    void tick();
    base::TimePoint nextTick() const;

    /// A planned stop: no more claims are granted, and each record goes to its next home.
    void beginHandOver();

    /// Whether every part was acknowledged. The node stops then, or at the end of its patience.
    bool handOverDone() const;

    /// For the entry in the same process. Nothing: not decided yet, ask again.
    std::optional<ClaimAnswer> claim(const LedgerClaim &claim);

    /// Whether the report is noted and no other node can answer a claim that is made from now on by an older record.
    /// False: send it again.
    bool complete(const LedgerComplete &report);

    const IdempotencyLedger &ledger() const;

    /// Whether every earlier home of the keys of `service` was heard, for /status.
    bool hasResolvedEarlierHomes(const base::ServiceId &service) const;

private:
    using VmSet = std::shared_ptr<const std::vector<base::VmId>>;
    using ServiceVm = std::pair<base::ServiceId, base::VmId>;

    /// A VM that may have been home of keys that are ours now. While it may still grant runs, or has records that we
    /// lack, a key that it could know must not be taken for new.
    struct Predecessor
    {
        base::VmId vm;
        base::ServiceId sourceService;
        /// The VMs before the move: keys that were ours by these too are not concerned. Null: any key is.
        VmSet before;
        bool atStart = false; ///< Asked because this process is new, not because a home moved.
        bool isSelf = false; ///< The earlier process on this VM.
        base::TimePoint firstAsked; ///< First.
        base::TimePoint lastAsked; ///< Last.
        KeyHash after; ///< Where the next page begins.
        std::optional<base::TimePoint> lostAt; ///< What it knew before then is gone, and it has stopped.
    };
    /// A VM that took records from us, since a later revision made it home.
    struct Fetcher
    {
        base::VmId vm;
        base::Revision revision = 0;
        base::TimePoint at;
    };
    struct ServiceState
    {
        VmSet vms;
        std::optional<base::TimePoint> memberSince; ///< Since when this VM is one of them.
        std::vector<Predecessor> predecessors;
        std::set<std::pair<base::VmId, VmSet>> asked; ///< Under this revision, so that nobody is asked twice.
        std::vector<Fetcher> fetchers;
        std::map<base::VmId, base::TimePoint> formerHomes; ///< May have been home, and when that was last so.
        std::map<base::VmId, base::Incarnation>
            seenIncarnations; ///< Fetched from us; tells a VM's process from its earlier one.
        VmSet handOverVms; ///< By which our earlier process chose the next homes, when it stopped as planned.
        std::set<base::VmId> handOverHolders; ///< Next homes that hold all it gave them.
        bool earlierProcessSeen = false; ///< Somebody heard an earlier process on this VM.
        bool unseenByLongTimeMember = false; ///< Somebody who must have heard it has not.
        base::Revision previousRevision = 0; ///< The one before ours.
        base::Revision minClaimRevision = 0; ///< Entries that are older may send us keys that have moved.
        base::Revision frozenUntilRevision = 0; ///< Told of this revision: not home before we hold it.
        base::Duration retention{0}; ///< Longest of its routes.
    };
    /// What another home gave us as it stopped.
    struct IncomingHandOver
    {
        base::Incarnation incarnation = 0;
        std::set<base::Incarnation> pastIncarnations; ///< Hand-overs before this one, whose late parts count no more.
        bool isWhole = false; ///< The last part came, and names this process.
        bool isCurrent = true; ///< No other home can have granted runs since.
        std::vector<base::VmId> vms; ///< By which the stopped home chose its next homes.
        std::optional<base::TimePoint> lostAt; ///< The stopped home's own gap.
        std::optional<base::Incarnation> reclaimedBy; ///< By the same VM after its restart.
    };
    /// What this node gives to one next home of a service as it stops.
    struct OutgoingHandOver
    {
        std::uint32_t nextPart = 0;
        bool mayFinish = false; ///< Nothing is missing, so the next home may act once it has all.
        bool hasFinished = false; ///< The last part was sent.
        std::optional<base::Incarnation> receiver; ///< The process that acknowledged so far.
        std::vector<base::VmId> vms;
        std::optional<base::TimePoint> lostAt;
    };
    struct OutgoingPart
    {
        base::VmId to;
        LedgerHandOver part;
        base::TimePoint sent;
    };
    /// Why a claim can't be granted for want of knowledge. Nothing in `refusal`: wait a little.
    struct GrantBlock
    {
        std::optional<ClaimAnswer> refusal;
    };

    void receiveClaim(const base::VmId &from, const LedgerClaim &claim);
    void receiveComplete(const base::VmId &from, const LedgerComplete &report);
    void receiveFetch(const base::VmId &from, const LedgerFetch &fetch);
    void receiveFetchResult(const base::VmId &from, const LedgerFetchResult &result);
    void receiveHandOver(const base::VmId &from, const LedgerHandOver &part);
    void receiveHandOverResult(const base::VmId &from, const LedgerHandOverResult &result);

    void applyToService(const base::ServiceId &service, const config::ConfigurationPtr &before);
    void applyToRoutes(const config::ConfigurationPtr &before);
    void assumeEarlierProcess(const base::ServiceId &service, ServiceState &state);
    void fetchFromAll(const base::ServiceId &service,
                      ServiceState &state,
                      const Predecessor &like,
                      const std::vector<base::VmId> &vms);
    void sendFetch(const base::ServiceId &service, const ServiceState &state, Predecessor &predecessor);
    std::vector<base::VmId> possibleHomes(const base::ServiceId &service, const ServiceState &state) const;
    void answerFetch(const base::VmId &from, const LedgerFetch &fetch, ServiceState &state);
    bool holdsFullHandOver(const base::VmId &from, const LedgerFetch &fetch);
    void noteFetcher(const base::VmId &from, const LedgerFetch &fetch, ServiceState &state);
    bool mergePage(const LedgerFetchResult &result);
    void updateEarlierProcess(const base::VmId &from, const LedgerFetchResult &result, ServiceState &state);
    void resolvePredecessors(const base::VmId &from, const LedgerFetchResult &result, ServiceState &state);

    bool concernsKey(const Predecessor &predecessor, const ServiceState &state, const KeyHash &key) const;
    bool isCoveredByHandOver(const ServiceState &state, const KeyHash &key) const;
    base::Duration retentionOf(const ServiceState &state) const;
    base::Duration age() const;

    const IncomingHandOver *actingHandOver(const ServiceState &state,
                                           const base::ServiceId &service,
                                           const KeyHash &key) const;
    const IncomingHandOver *completedHandOver(const Predecessor &predecessor, const KeyHash &key) const;
    bool isHome(const ServiceState &state, const KeyHash &key) const;
    std::optional<GrantBlock> grantBlockFor(const base::ServiceId &service,
                                            const ServiceState &state,
                                            const LedgerClaim &claim) const;
    std::optional<GrantBlock> grantBlockAfterLoss(base::TimePoint lost,
                                                  const ServiceState &state,
                                                  const LedgerClaim &claim) const;
    std::optional<base::TimePoint> latestLoss(const base::ServiceId &service, const ServiceState &state) const;
    std::int64_t elapsedSince(const std::optional<base::TimePoint> &at) const;
    std::optional<base::TimePoint> timeOf(std::int64_t ago) const;

    bool isOpen(const Predecessor &predecessor, const ServiceState &state, const KeyHash &key) const;
    bool forwardRecord(const ServiceState &state, const KeyHash &key);
    void handOverService(const base::ServiceId &service, const ServiceState &state);
    void queuePart(const base::VmId &to, LedgerHandOver part);
    void finishHandOver(const base::ServiceId &service, const base::VmId &to);
    bool isGone(const Predecessor &predecessor) const;
    bool wasNeverHome(const Predecessor &predecessor) const;
    void tickService(const base::ServiceId &service, ServiceState &state);

    template<typename Value>
    void send(const base::VmId &to, wire::MessageKind kind, const Value &value)
    {
        m_messages.push_back(wire::outgoing(to, kind, value));
    }

    const base::Clock &m_clock;
    base::VmId m_self;
    base::Incarnation m_incarnation;
    LedgerSettings m_settings;
    base::TimePoint m_started;
    IdempotencyLedger m_ledger;
    config::ConfigurationPtr m_configuration;
    std::set<base::VmId> m_listed;
    bool m_hasList = false;
    bool m_stopping = false;
    std::unordered_map<base::ServiceId, ServiceState> m_services;
    std::map<ServiceVm, IncomingHandOver> m_incomingHandOvers;
    std::vector<OutgoingPart> m_parts; ///< Not acknowledged yet.
    std::map<ServiceVm, OutgoingHandOver> m_outgoingHandOvers;
    std::set<std::pair<base::RequestId, std::uint8_t>> m_forwarded; ///< Late reports and their RecordState, as sent.
    std::vector<wire::Outgoing> m_messages;
    base::TimePoint m_lastTick;
};

}
