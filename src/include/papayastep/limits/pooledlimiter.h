#pragma once

#include "papayastep/limits/messages.h"
#include "papayastep/limits/ratelimiter.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace papayastep::limits {

struct PoolSettings
{
    /// What the pool gives beyond the stated rate and burst. Requests bunch on their way from the caller to the entry,
    /// so a caller who keeps exactly to its rate would now and then be refused. Operators say what they tolerate over
    /// some seconds (a quarter more and 20 requests, at the sites measured); a part of it is left for two nodes that
    /// take themselves for home of one pool.
    double rateExcess = 0.12;
    double burstExcess = 6; ///< Tokens.

    /// A home that has not answered after it is passed over. Twenty round trips within a region; a node on a fifth of
    /// a core needs some milliseconds of its own.
    base::Duration askTimeout = std::chrono::milliseconds(60);
    base::Duration suspicionTime = std::chrono::seconds(1); ///< How long a silent node is passed over.
    int maxHomesTried = 2; ///< Silent homes until a request is decided alone: it must not wait longer than it runs.

    base::Duration prefetch = std::chrono::milliseconds(200); ///< An entry asks for this much of its demand.
    base::Duration stockLifetime
        = std::chrono::milliseconds(500); ///< Of tokens that an entry has asked for in advance.

    /// A stand-in gives their parts to who asked it so lately; where requests are rare, for longer.
    base::Duration askerRetention = std::chrono::seconds(2);
    base::Duration maxAskerRetention = std::chrono::seconds(10);

    /// A home asks those for a sign of life of whom it has not heard for so long, and keeps back the parts of those
    /// that have not answered in another such time.
    base::Duration probeInterval = std::chrono::milliseconds(600);

    /// Tokens that an entry got elsewhere are charged to the home's pool up to twice this time later. What is older lay
    /// beyond the burst to which the pool fills up.
    base::Duration debtRetention = std::chrono::seconds(1);
    double maxDebtBursts = 1; ///< Of the burst: a pool is not charged further below nothing.

    /// Tokens that come back to an entry, because no server had room, are kept for its next requests. More than this
    /// many at each entry would be spent together when room is found: with two, and stand-ins that begin a quarter
    /// full, a flood at 22 entries got 626 of 612 tolerated in 5 s.
    double maxReturnedTokens = 1;

    /// What a node may admit alone while it reaches no home: its even part of the rate, and this many tokens at once.
    double localBurst = 1;
};

/// One pool of tokens for each workspace, held by one VM (its home, by rendezvous hash over the VM list). Each entry
/// asks the home for what it needs, so the whole rate is at hand wherever requests come in.
///
/// What can go wrong is that the home is silent to some entries. Callers inside their rate must not be refused for it:
/// the next node in the order stands in, or the entry admits alone. So that no token is given twice, each entry stands
/// for an even part of the rate. A stand-in gives the parts of those who ask it, an entry alone its own, and the home
/// keeps back the parts of those that have fallen silent to it. What was given elsewhere before the home noticed, it
/// learns from the entry and charges to its pool. docs/design/limits.md has the sums.
class PooledLimiter final : public RateLimiter
{
public:
    PooledLimiter(NodeIdentity self, const base::Clock &clock, PoolSettings settings = {});

    void applyConfiguration(config::ConfigurationPtr configuration) override;
    void applyVmList(const config::VmList &list, base::TimePoint heardAt) override;
    Admission acquire(const base::WorkspaceId &workspace,
                      const base::RequestId &request,
                      base::TimePoint deadline) override;
    void cancelWaiting(const base::RequestId &request) override;
    void giveBack(const Token &token) override;
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload) override;
    void tick() override;
    std::optional<base::TimePoint> nextTick() const override;
    void drain() override;
    std::vector<wire::Outgoing> takeMessages() override;
    std::vector<AdmissionDecision> takeDecisions() override;
    bool isReady() const override;
    bool chargesRepeats() const override;
    WorkspaceStatus status(const base::WorkspaceId &workspace) const override;
    const LimiterCounters &counters() const override;
    std::size_t activeWorkspaces() const override;

private:
    /// Tokens that grow with time. Levels are in tokens.
    struct Bucket
    {
        double level = 0;
        base::TimePoint updatedAt;

        void refill(double rate, double burst, base::TimePoint now);
    };

    /// A node was asked for a sign of life and has given none.
    struct Probe
    {
        base::TimePoint firstSentAt;
        base::TimePoint lastSentAt;
    };

    /// An entry that asked this node for tokens of a workspace.
    struct Asker
    {
        base::TimePoint askedAt;
        base::Incarnation incarnation = 0;
        std::uint64_t charged = 0; ///< Of what that incarnation got elsewhere.
    };

    /// The pool of a workspace at its home or a stand-in.
    struct Pool
    {
        Bucket bucket;
        base::TimePoint servingSince; ///< When this node began to give.
        bool isHome = false; ///< Whether this node was the home when the pool was last used.
        base::TimePoint lastRetryTime; ///< Times to come back were given out up to here.
        std::map<base::VmId, Asker> askers;
        base::TimePoint fractionUpdatedAt; ///< When `part` was worked out.
        double rateFraction = 1; ///< Of the rate, that this pool gives.
    };

    /// What an entry got from others than the home, in tokens since the start.
    struct Debt
    {
        std::uint64_t total = 0;
        std::uint64_t settled = 0; ///< Charged by a home, or too old to matter.
        std::uint64_t totalAtMark = 0; ///< `total` at `mark`.
        base::TimePoint markedAt;
    };

    /// What one workspace has at this entry.
    struct Entry
    {
        double stock = 0; ///< Tokens asked for in advance.
        base::TimePoint stockUntil;
        double demand = 0; ///< Requests per second, smoothed.
        base::TimePoint demandUpdatedAt;
        Bucket localBucket;
        bool localBucketUsed = false;
        Debt debt;
    };

    /// What became of a workspace's requests here since `since`, by whose tokens; and what was given to others.
    struct AdmissionTally
    {
        base::TimePoint since;
        int stock = 0; ///< Out of tokens asked for in advance, or given back.
        int home = 0;
        int standIn = 0;
        int alone = 0;
        int refused = 0;
        int givenBack = 0;
        int granted = 0; ///< Out of the pool at this node, its own requests included.
    };

    /// Who waits for the answer to a wish.
    struct PendingAsk
    {
        base::WorkspaceId workspace;
        std::vector<base::RequestId> requests; ///< Of this entry, in order.
        std::uint32_t wanted = 0;
        base::VmId home; ///< Who was asked.
        base::TimePoint timeoutAt; ///< When the home counts as silent.
        std::uint64_t reportedDebt = 0; ///< The debt that the home was told of.
        int homesTried = 0;
        // On behalf of another node:
        base::VmId asker; ///< Empty: our own wish.
        base::Incarnation askerIncarnation = 0;
        std::uint64_t askerAskId = 0;
        std::uint32_t askerUrgent = 0;
    };

    const config::Workspace *limitedWorkspace(const base::WorkspaceId &workspace) const;
    double currentRateFraction(const config::Workspace &workspace, const Pool &pool) const;
    const std::vector<base::VmId> &homesOf(const base::WorkspaceId &workspace) const;
    std::vector<base::VmId> rankHomes(const base::WorkspaceId &workspace) const;
    base::VmId reachableHome(const base::WorkspaceId &workspace) const;
    bool isSuspect(const base::VmId &vm) const;
    void recordRemovedVms(const std::vector<base::VmId> &vms);
    bool higherRankedVmRemoved(const base::WorkspaceId &workspace, base::TimePoint since) const;
    bool homeFellSilent(const base::WorkspaceId &workspace, base::TimePoint since) const;
    base::Duration askerRetention(const config::Workspace &workspace) const;
    bool isSilent(const base::VmId &vm) const;
    bool isFirstHome(const base::WorkspaceId &workspace) const;

    void updateDemand(Entry &entry);
    Pool &poolOf(const config::Workspace &workspace);
    void startServing(const config::Workspace &workspace, Pool &pool);
    void updateRateFraction(const config::Workspace &workspace, Pool &pool);
    void creditNewAsker(const config::Workspace &workspace, Pool &pool, base::TimePoint since);
    void probeSilentNodes();
    void recordAsker(const config::Workspace &workspace,
                     const base::VmId &from,
                     base::Incarnation incarnation,
                     const PoolTokenAsk &wish);
    void addDebt(const base::WorkspaceId &workspace, std::uint32_t tokens);
    Debt &currentDebt(const base::WorkspaceId &workspace);
    std::uint32_t takeFromPool(const config::Workspace &workspace, std::uint32_t urgent, std::uint32_t wanted);
    base::Duration nextRetryAfter(const config::Workspace &workspace);
    bool takeLocally(const config::Workspace &workspace, Entry &entry);
    Token makeToken(const base::WorkspaceId &workspace) const;

    void askNextHome(PendingAsk wish);
    void queueAnswer(const base::VmId &to, base::Incarnation incarnation, const PoolAnswer &answer);
    void decideLocally(const PendingAsk &wish);
    void completeAsk(const PendingAsk &wish, std::uint32_t granted, base::Duration retryAfter, bool ofHome);
    void receiveAsk(const base::VmId &from, base::Incarnation incarnation, const PoolAsk &ask);
    void receiveTokenAsk(const base::VmId &from, base::Incarnation incarnation, const PoolTokenAsk &wish);
    void receiveGrant(const base::VmId &from, const PoolGrant &grant);
    void suspectHome(const base::VmId &home);

    AdmissionTally &tallyOf(const base::WorkspaceId &workspace);
    void countAdmitted(const base::WorkspaceId &workspace, const base::VmId &home);
    void logTallies();
    void logTally(const base::WorkspaceId &workspace, const AdmissionTally &tally) const;

    const NodeIdentity m_self;
    const base::Clock &m_clock;
    const PoolSettings m_settings;
    config::ConfigurationPtr m_configuration;
    std::vector<base::VmId> m_vms; ///< Not leaving, sorted.
    mutable std::unordered_map<base::WorkspaceId, std::vector<base::VmId>> m_homes; ///< Of `m_vms`, once asked for.
    std::uint64_t m_listVersion = 0;
    base::TimePoint m_listChangedAt; ///< Pools that are new since then begin nearly empty.
    std::unordered_map<base::WorkspaceId, Pool> m_pools;
    std::unordered_map<base::WorkspaceId, Entry> m_entries;
    std::map<std::uint64_t, PendingAsk> m_pendingAsks; ///< By number, so by age.
    std::map<base::VmId, base::TimePoint> m_suspectedUntil; ///< Until when.
    std::map<base::VmId, base::TimePoint> m_silentSince; ///< Homes that did not answer, until heard of again.
    std::map<base::VmId, base::TimePoint> m_lastReceivedAt; ///< When a node last sent anything about rates.
    std::map<base::VmId, Probe> m_probes;
    std::size_t m_lastProbedIndex = 0; ///< Place in `m_vms`.
    base::TimePoint m_lastProbeRoundAt; ///< When nodes were last asked for signs of life.
    std::map<base::VmId, base::TimePoint> m_removedAt; ///< When VMs went off the list.
    std::map<base::VmId, PoolAsk> m_outgoingAsks; ///< To be sent.
    std::map<std::pair<base::VmId, base::Incarnation>, PoolGrant> m_outgoingGrants; ///< To be sent.
    std::map<base::WorkspaceId, AdmissionTally> m_tallies; ///< Not yet written down.
    std::vector<AdmissionDecision> m_decisions;
    LimiterCounters m_counters;
    std::uint64_t m_lastAsk = 0;
    bool m_draining = false;
};

}
