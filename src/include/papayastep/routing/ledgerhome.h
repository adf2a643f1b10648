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
    bool complete(const LedgerComplete &report);

    const IdempotencyLedger &ledger() const;

    /// Whether every earlier home of the keys of `service` was heard, for /status.
    bool isCovered(const base::ServiceId &service) const;

private:
    /// An earlier home of keys that are ours now. While it may still grant runs, or has records that we lack, a key
    /// that it could know must not be taken for new.
    struct Predecessor
    {
        base::VmId vm;
        std::shared_ptr<const std::vector<base::VmId>> vms; ///< It was home by these; null: any key may be its.
        bool asNextHome = false; ///< Applies to keys that it would be next home of (it acted for our earlier self).
        base::Revision revision = 0; ///< Of the fetch.
        base::Revision previousRevision = 0;
        base::TimePoint asked; ///< First.
        base::TimePoint sent; ///< Last.
        KeyHash after;
        std::optional<base::TimePoint> lost; ///< It is gone, and what it knew before then with it.
    };
    struct Fetcher
    {
        base::VmId vm;
        base::Revision revision = 0;
        base::TimePoint at;
    };
    struct ServiceState
    {
        std::shared_ptr<const std::vector<base::VmId>> vms;
        std::vector<Predecessor> predecessors;
        std::vector<Fetcher> fetchers; ///< Who took records from us.
        base::Revision frozenUntil = 0; ///< Told of this revision: not home before we hold it.
        base::TimePoint frozenAt;
        base::Duration retention{0}; ///< Longest of its routes.
    };
    struct IncomingHandOver
    {
        base::Incarnation incarnation = 0;
        std::set<std::uint32_t> parts;
        std::optional<std::uint32_t> last;
        bool complete = false;
    };
    struct OutgoingPart
    {
        base::VmId to;
        LedgerHandOver part;
        base::TimePoint sent;
    };
    using ServiceVm = std::pair<base::ServiceId, base::VmId>;

    void receiveFetch(const base::VmId &from, const LedgerFetch &fetch);
    void receiveFetchResult(const base::VmId &from, const LedgerFetchResult &result);
    void receiveHandOver(const base::VmId &from, const LedgerHandOver &part);
    void receiveHandOverResult(const base::VmId &from, const LedgerHandOverResult &result);

    void startService(const base::ServiceId &service, ServiceState &state);
    void moveService(const base::ServiceId &service,
                     ServiceState &state,
                     const std::shared_ptr<const std::vector<base::VmId>> &before,
                     base::Revision previousRevision);
    void addPredecessor(const base::ServiceId &service, ServiceState &state, Predecessor predecessor);
    void ask(const base::ServiceId &service, ServiceState &state, Predecessor &predecessor);
    bool concerns(const Predecessor &predecessor, const ServiceState &state, const KeyHash &key) const;
    std::optional<std::optional<ClaimAnswer>> uncovered(const ServiceState &state, const LedgerClaim &claim) const;
    bool isHomeFor(const ServiceState &state, const base::ServiceId &service, const KeyHash &key) const;
    std::int64_t lostAgo(const ServiceState &state) const;
    void handOverService(const base::ServiceId &service, const ServiceState &state);
    void queuePart(const base::VmId &to, LedgerHandOver part);

    template<typename Value>
    void send(const base::VmId &to, wire::MessageKind kind, const Value &value);

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
    std::map<ServiceVm, IncomingHandOver> m_handedToUs;
    std::vector<OutgoingPart> m_parts; ///< Not acknowledged yet.
    std::map<ServiceVm, std::uint32_t> m_nextPart;
    std::vector<wire::Outgoing> m_messages;
    base::TimePoint m_lastTick;
};

}
