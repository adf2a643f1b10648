#pragma once

#include "papayastep/routing/ledgerhome.h"

#include <unordered_map>

namespace papayastep::routing {

/// A request with an idempotency key, as the entry claims it.
struct ClaimRequest
{
    base::RequestId request;
    base::WorkspaceId workspace;
    std::string key; ///< The key as the caller sent it.
    BodyDigest digest;
    base::ServiceId service;
    base::Duration retention{0};
    base::TimePoint deadline;

    auto operator<=>(const ClaimRequest &) const = default;
};

/// The decision about a request that carries an idempotency key.
struct LedgerDecision
{
    base::RequestId request;
    ClaimAnswer answer;

    auto operator<=>(const LedgerDecision &) const = default;
};

/// The entry side of the idempotency ledger: claims keys at their homes and reports how runs ended.
///
/// Each claim gets exactly one decision. A verdict that arrives after the claim was abandoned is not returned, so that
/// a refused request never runs.
class LedgerClient
{
public:
    /// `home` is the home side in the same process; claims for it need no message.
    LedgerClient(const base::Clock &clock, base::VmId self, LedgerHome &home, LedgerSettings settings = {});

    void applyConfiguration(config::ConfigurationPtr configuration);

    /// Claims the key of `request`. takeDecisions() returns the decision, often at once.
    void claim(const ClaimRequest &request);

    /// Reports how a request with the verdict Run ended; called once for each Run. The report is resent until the home
    /// acknowledges it. The answer should go to the caller only when isReporting() is false: before that, a repeat
    /// through another node may be told that the first run has not ended.
    void completeWithAnswer(const base::RequestId &request, StoredAnswer answer);
    /// Reports that the request may have run.
    void completeUnknown(const base::RequestId &request);
    /// Reports that the request has not run and never will, which releases the key.
    void completeNotRun(const base::RequestId &request);

    /// Returns whether the report of `request` is not acknowledged yet. takeRecorded() returns the requests whose
    /// reports were acknowledged since the last call.
    bool isReporting(const base::RequestId &request) const;
    std::vector<base::RequestId> takeRecorded();
    /// Returns how long an answer may wait for the acknowledgement of its report.
    base::Duration recordTimeout() const;

    /// Abandons an open claim whose caller has disconnected; no decision follows.
    void abandon(const base::RequestId &request);

    std::vector<LedgerDecision> takeDecisions();

    /// Handles messages of the kinds LedgerClaimResult and LedgerCompleteResult. Throws Error(MessageMalformed,
    /// MessageUnknownKind).
    void receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload);
    std::vector<wire::Outgoing> takeMessages();

    void tick();
    base::TimePoint nextTick() const;

    /// Returns the number of claims and reports that are kept.
    std::size_t size() const;

private:
    enum class Phase { Claiming, Running, Reporting, Settled };

    struct Entry
    {
        Phase phase = Phase::Claiming;
        LedgerClaim claim;
        base::TimePoint deadline;
        base::TimePoint began; ///< Start of the phase.
        base::TimePoint sent; ///< Time of the last message of the phase.
        LedgerRecord report;
    };
    using EntryMap = std::unordered_map<base::RequestId, Entry>;

    void sendClaim(Entry &entry);
    void sendReport(Entry &entry);
    void decide(Entry &entry, const ClaimAnswer &answer);
    void report(const base::RequestId &request, RecordState state, StoredAnswer answer);
    void giveUp(Entry &entry);
    bool isRemovable(const Entry &entry) const;
    void refuse(const base::RequestId &request, const Refusal &refusal);
    const std::vector<base::VmId> &vmsOf(const base::ServiceId &service);

    const base::Clock &m_clock;
    base::VmId m_self;
    LedgerHome &m_home;
    LedgerSettings m_settings;
    config::ConfigurationPtr m_configuration;
    std::unordered_map<base::ServiceId, std::vector<base::VmId>> m_vms;
    EntryMap m_entries;
    std::vector<LedgerDecision> m_decisions;
    std::vector<base::RequestId> m_recorded;
    std::vector<wire::Outgoing> m_messages;
};

}
