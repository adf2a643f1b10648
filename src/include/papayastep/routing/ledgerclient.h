#pragma once

#include "papayastep/routing/ledgerhome.h"

#include <unordered_map>

namespace papayastep::routing {

struct ClaimRequest
{
    base::RequestId request;
    base::WorkspaceId workspace;
    std::string key; ///< As the caller sent it.
    BodyDigest digest;
    base::ServiceId service;
    base::Duration retention{0};
    base::TimePoint deadline;

    auto operator<=>(const ClaimRequest &) const = default;
};

/// What the entry does with a request that carries an idempotency key.
struct LedgerDecision
{
    base::RequestId request;
    ClaimAnswer answer;

    auto operator<=>(const LedgerDecision &) const = default;
};

/// The entry side of the idempotency ledger. Each claim gets exactly one decision; a verdict that comes after the
/// claim was given up is not passed on, so a request that was refused never runs.
class LedgerClient
{
public:
    /// `home` is the ledger of the same process: claims for it need no message.
    LedgerClient(const base::Clock &clock, base::VmId self, LedgerHome &home, LedgerSettings settings = {});

    void applyConfiguration(config::ConfigurationPtr configuration);

    /// The decision comes by takeDecisions(), often at once.
    void claim(const ClaimRequest &request);

    /// How a request that was told to run ended: once for each Run. Its report is resent until the home has it. The
    /// caller should hear of the end only when isReporting() is false: before that, a repeat through another node may
    /// be told that the first run has not ended.
    void completeWithAnswer(const base::RequestId &request, StoredAnswer answer);
    /// It may have run.
    void completeUnknown(const base::RequestId &request);
    /// It is proved that it did not run and never will: the key is free again.
    void completeNotRun(const base::RequestId &request);

    /// Whether the home has not acknowledged the report of `request` yet. Each end of that is told by takeRecorded().
    bool isReporting(const base::RequestId &request) const;
    std::vector<base::RequestId> takeRecorded();
    /// How long an answer may wait for that.
    base::Duration recordTimeout() const;

    /// The caller went away while the claim was open: no decision is wanted any more.
    void abandon(const base::RequestId &request);

    std::vector<LedgerDecision> takeDecisions();

    /// Kinds LedgerClaimResult and LedgerCompleteResult.
    void receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload);
    std::vector<wire::Outgoing> takeMessages();

    void tick();
    base::TimePoint nextTick() const;

    /// Claims and reports that are open.
    std::size_t size() const;

private:
    enum class Phase { Claiming, Running, Reporting, Settled };

    struct Entry
    {
        Phase phase = Phase::Claiming;
        LedgerClaim claim;
        base::TimePoint deadline;
        base::TimePoint began; ///< The phase.
        base::TimePoint sent; ///< The last message of the phase.
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
