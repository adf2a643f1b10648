#pragma once

#include "papayastep/config/configuration.h"
#include "papayastep/routing/idempotencyledger.h"

#include <set>
#include <unordered_map>

namespace papayastep::routing {

/// The home side of the idempotency ledger: answers claims for the keys whose home is this VM, fetches records when the
/// home of a key moves, and hands them over when this node stops. docs/design/idempotency.md contains the argument why
/// a key runs at most once.
class LedgerHome
{
public:
    LedgerHome(const base::Clock &clock, base::VmId self, base::Incarnation incarnation, LedgerSettings settings = {});

    /// Applies the configuration in force. Homes move where the VMs of a service differ.
    void applyConfiguration(config::ConfigurationPtr configuration);

    /// Applies the platform's list of VMs. A VM that was asked for records and is no longer listed counts as stopped.
    void applyVmList(const config::VmList &list);

    /// Handles messages of the kinds LedgerClaim, LedgerComplete, LedgerFetch, LedgerFetchResult, LedgerHandOver and
    /// LedgerHandOverResult. Throws Error(MessageMalformed, MessageUnknownKind).
    void receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload);

    std::vector<wire::Outgoing> takeMessages();

    /// Resends messages and removes expired records. To be called at nextTick() or later.
    void tick();
    base::TimePoint nextTick() const;

    /// Begins a planned stop: no more claims are answered, and each record is sent to its next home.
    void beginHandOver();

    /// Returns whether every part was acknowledged. The node stops then, or when its timeout for the hand-over ends.
    bool handOverDone() const;

    /// Answers a claim of the entry in the same process. Nothing means that the claim is undecided and has to be
    /// repeated.
    std::optional<ClaimAnswer> claim(const LedgerClaim &claim);

    /// Records the report. Returns whether it is recorded and no other node can answer a later claim by an older
    /// record; if not, the report has to be resent.
    bool complete(const LedgerComplete &report);

    const IdempotencyLedger &ledger() const;

    /// Returns whether every earlier home of the keys of `service` has answered or has stopped.
    bool hasResolvedEarlierHomes(const base::ServiceId &service) const;

private:
    using VmSet = std::shared_ptr<const std::vector<base::VmId>>;
    using ServiceVm = std::pair<base::ServiceId, base::VmId>;

    /// A VM that may have been home of keys whose home is this VM now. While it may still grant runs, or has records
    /// that are missing here, a key that it may have recorded must not be treated as new.
    struct Predecessor
    {
        base::VmId vm;
        base::ServiceId sourceService;
        /// The VMs of the service before the move: keys whose home was this VM among them too are not affected. Null:
        /// any key is affected.
        VmSet before;
        bool atStart = false; ///< It was asked because this process is new, not because a home moved.
        bool isSelf = false; ///< It is the earlier process on this VM.
        base::TimePoint firstAsked;
        base::TimePoint lastAsked;
        KeyHash after; ///< Key after which the next page begins.
        std::optional<base::TimePoint> lostAt; ///< Its records before this time are lost, and it has stopped.
    };
    /// A VM that fetched records from this node, as a later revision made it home.
    struct Fetcher
    {
        base::VmId vm;
        base::Revision revision = 0;
        base::TimePoint at;
    };
    struct ServiceState
    {
        VmSet vms;
        std::optional<base::TimePoint> memberSince; ///< Time since which this VM is one of them.
        std::vector<Predecessor> predecessors;
        std::set<std::pair<base::VmId, VmSet>> asked; ///< VMs asked under this revision, so that none is asked twice.
        std::vector<Fetcher> fetchers;
        /// VMs that may have been home, with the last time at which this may have been so.
        std::map<base::VmId, base::TimePoint> formerHomes;
        /// Process of each VM that fetched from this node, which distinguishes it from an earlier process of the VM.
        std::map<base::VmId, base::Incarnation> seenIncarnations;
        VmSet handOverVms; ///< VMs by which this VM's earlier process chose the next homes at its planned stop.
        std::set<base::VmId> handOverHolders; ///< Next homes that hold all that it handed over to them.
        bool earlierProcessSeen = false; ///< A VM has received a message of an earlier process on this VM.
        bool unseenByLongTimeMember = false; ///< A VM that must have received one has not.
        base::Revision previousRevision = 0; ///< The revision before the present one.
        base::Revision minClaimRevision = 0; ///< Claims by an older revision may be for keys that have moved.
        /// Revision of a received fetch; no claims are answered before it is held.
        base::Revision frozenUntilRevision = 0;
        base::Duration retention{0}; ///< The longest retention of its routes.
    };
    /// A hand-over from another home that stopped.
    struct IncomingHandOver
    {
        base::Incarnation incarnation = 0;
        std::set<base::Incarnation> pastIncarnations; ///< Earlier hand-overs, whose late parts are ignored.
        bool isWhole = false; ///< The last part has arrived and names this process as the receiver.
        bool isCurrent = true; ///< No other home can have granted runs since.
        std::vector<base::VmId> vms; ///< VMs by which the stopped home chose its next homes.
        std::optional<base::TimePoint> lostAt; ///< Time before which the stopped home itself had lost records.
        std::optional<base::Incarnation> reclaimedBy; ///< The first new process on the same VM, which fetched it.
    };
    /// The hand-over of this node to one next home of a service as it stops.
    struct OutgoingHandOver
    {
        std::uint32_t nextPart = 0;
        bool mayFinish = false; ///< No records are missing, so the next home may act once it has all of them.
        bool hasFinished = false; ///< The last part was sent.
        std::optional<base::Incarnation> receiver; ///< The process that acknowledged the parts so far.
        std::vector<base::VmId> vms;
        std::optional<base::TimePoint> lostAt;
    };
    struct OutgoingPart
    {
        base::VmId to;
        LedgerHandOver part;
        base::TimePoint sent;
    };
    /// Prevents the grant of a claim because records may be missing. Without a `refusal` the claim waits and is resent.
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
    std::vector<OutgoingPart> m_parts; ///< Parts that are not acknowledged yet.
    std::map<ServiceVm, OutgoingHandOver> m_outgoingHandOvers;
    /// Late reports that were sent, with their RecordState.
    std::set<std::pair<base::RequestId, std::uint8_t>> m_forwarded;
    std::vector<wire::Outgoing> m_messages;
    base::TimePoint m_lastTick;
};

}
