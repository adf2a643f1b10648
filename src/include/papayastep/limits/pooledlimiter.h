#pragma once

#include "papayastep/limits/homeagreement.h"
#include "papayastep/limits/messages.h"
#include "papayastep/limits/ratelimiter.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace papayastep::limits {

/// Settings of PooledLimiter. Excess and debt are in tokens or as fractions of rate and burst.
struct PoolSettings
{
    /// Fraction by which the pool exceeds the configured rate. Requests arrive in bunches after their way from the
    /// caller to the entry, so a caller that keeps exactly to its rate would occasionally be refused. Operators
    /// tolerate an excess over some seconds (a quarter more and 20 requests); a part of it is left for the case that
    /// two nodes both act as home of one pool.
    double rateExcess = 0.12;
    double burstExcess = 6; ///< Tokens by which the pool exceeds the configured burst.
    /// Tokens per second by which the pool exceeds the configured rate besides. Callers send to hundreds of entries at
    /// irregular times, so that a workspace of a few requests per second exceeds its rate for seconds on end while it
    /// keeps to it over a longer time. In the five seconds of the tolerance it adds up to half of the 20 requests.
    double excessPerSecond = 2;

    /// Time after which a home that has not answered is suspected and the next one is asked. It covers twenty round
    /// trips within a region; a node that runs on a fifth of a core needs some milliseconds itself.
    base::Duration askTimeout = std::chrono::milliseconds(60);
    /// Time for which a node that did not decide an ask is skipped.
    base::Duration suspicionTime = std::chrono::seconds(1);
    /// Homes that are asked before a request is decided locally. More would let it wait longer than it runs.
    int maxHomesTried = 2;

    base::Duration prefetch = std::chrono::milliseconds(200); ///< Time whose demand an entry asks for in advance.
    base::Duration stockLifetime
        = std::chrono::milliseconds(500); ///< Lifetime of the tokens that an entry has in stock.

    /// Time for which a stand-in counts an entry that has asked it. Where requests are rare, the time is longer, up to
    /// `maxAskerRetention`.
    base::Duration askerRetention = std::chrono::seconds(2);
    base::Duration maxAskerRetention = std::chrono::seconds(10);

    /// Time after which a home probes a node from which it has received nothing. If the node does not answer within the
    /// same time again, the home withholds its part of the rate.
    base::Duration probeInterval = std::chrono::milliseconds(600);

    /// Tokens that an entry did not get from the home are charged to the pool of the home for one to two times this
    /// time. Older ones need no charge: the pool, which fills only up to its burst, would not hold them any more.
    base::Duration debtRetention = std::chrono::seconds(1);
    double maxDebtBursts = 1; ///< Largest debt of a pool, in bursts. A pool is not charged beyond it.

    /// Largest number of tokens in stock to which a returned token is added. Tokens are returned to an entry if no
    /// backend server had room, and are kept for its next requests. If each entry kept more, all would be spent at once
    /// when room is found: with two, and stand-ins that start a quarter full, an overload at 22 entries was admitted
    /// 626 requests in 5 s where 612 are tolerated.
    double maxReturnedTokens = 1;

    /// Burst in tokens of a node that reaches no home and admits locally. Its rate is its equal part of the workspace's
    /// rate.
    double localBurst = 1;
};

/// Rate limiter with one pool of tokens for each workspace. One VM holds the pool: its home, chosen by rendezvous
/// hashing over the VM list. Each entry (the node that receives a request) asks the home for the tokens that it needs,
/// so the whole rate is available wherever requests arrive.
///
/// The home may fail to answer some entries. Callers within their rate must not be refused because of that: the next
/// node in the hash order acts as stand-in, or the entry admits locally. So that no token is given twice, each entry
/// accounts for an equal part of the rate. A stand-in gives out the parts of the entries that ask it, an entry that
/// admits locally its own part, and the home withholds the parts of the nodes that do not answer its probes or that
/// have another VM list by which another node is the home. Tokens that were given elsewhere before the home detected
/// the failure are reported by the entry and charged to the pool as debt. docs/design/limits.md contains the
/// calculation.
class PooledLimiter final : public RateLimiter
{
public:
    PooledLimiter(NodeIdentity self, const base::Clock &clock, PoolSettings settings = {});

    void applyConfiguration(config::ConfigurationPtr configuration) override;
    void applyVmList(const config::VmList &list, base::TimePoint requestedAt) override;
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
    /// Token bucket. Levels are in tokens.
    struct Bucket
    {
        double level = 0;
        base::TimePoint updatedAt;

        void refill(double rate, double burst, base::TimePoint now);
    };

    /// Probe of a node from which nothing has been received. It is open until the node sends a message.
    struct Probe
    {
        base::TimePoint firstSentAt;
        base::TimePoint lastSentAt;
    };

    /// Entry that has asked this node for tokens of a workspace.
    struct Asker
    {
        base::TimePoint askedAt;
        base::Incarnation incarnation = 0;
        std::uint64_t charged = 0; ///< Debt of that incarnation that is charged to the pool, in tokens.
    };

    /// Pool of a workspace at its home or at a stand-in.
    struct Pool
    {
        Bucket bucket;
        base::TimePoint servingSince; ///< Time at which this node started to give tokens of the pool.
        bool isHome = false; ///< Whether this node was the home when the pool was last used.
        base::TimePoint lastRetryTime; ///< Latest retry time that was given to a refused request.
        std::map<base::VmId, Asker> askers;
        base::TimePoint fractionUpdatedAt; ///< Time at which `rateFraction` was updated.
        double rateFraction = 1; ///< Fraction of the workspace's rate that this pool gives.
    };

    /// Tokens that an entry has used since its start and that did not come from the home.
    struct Debt
    {
        std::uint64_t total = 0;
        std::uint64_t settled = 0; ///< Part of `total` that a home has charged or that is too old to be charged.
        std::uint64_t totalAtMark = 0; ///< Value of `total` at `markedAt`.
        base::TimePoint markedAt;
    };

    /// State of one workspace at this entry.
    struct Entry
    {
        double stock = 0; ///< Tokens that were asked for in advance or returned.
        base::TimePoint stockUntil;
        double demand = 0; ///< Requests per second, as an exponential moving average.
        base::TimePoint demandUpdatedAt;
        Bucket localBucket;
        bool localBucketUsed = false;
        Debt debt;
    };

    /// Numbers of requests of a workspace at this node since `since`, by the source of their tokens, and of the tokens
    /// given to other nodes.
    struct AdmissionTally
    {
        base::TimePoint since;
        int stock = 0; ///< Admitted with tokens in stock.
        int home = 0; ///< Admitted with tokens of the home.
        int standIn = 0; ///< Admitted with tokens of a stand-in.
        int alone = 0; ///< Admitted locally.
        int refused = 0;
        int givenBack = 0;
        int granted = 0; ///< Tokens given from the pool at this node, including those for its own requests.
    };

    /// An ask that has not been answered yet, and the requests or the node that wait for the answer.
    struct PendingAsk
    {
        base::WorkspaceId workspace;
        std::vector<base::RequestId> requests; ///< Waiting requests of this entry, in order.
        std::uint32_t wanted = 0;
        base::VmId home; ///< VM that was asked.
        base::TimePoint timeoutAt; ///< Time at which the home is suspected if it has not answered.
        std::uint64_t reportedDebt = 0; ///< Debt that the ask reported to the home.
        int homesTried = 0;
        // Set if the ask is made on behalf of another node:
        base::VmId asker; ///< Node that asked; empty for an ask of this node.
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
    bool hasPart(const base::VmId &vm) const;
    bool isSilent(const base::VmId &vm) const;
    std::size_t deniedParts(const base::WorkspaceId &workspace) const;
    bool hasYielded(const base::WorkspaceId &workspace) const;
    bool isFirstHome(const base::WorkspaceId &workspace) const;

    void updateDemand(Entry &entry);
    Pool &poolOf(const config::Workspace &workspace);
    void startServing(const config::Workspace &workspace, Pool &pool);
    void updateRateFraction(const config::Workspace &workspace, Pool &pool);
    void creditNewAsker(const config::Workspace &workspace, Pool &pool, base::TimePoint since);
    void probeSilentNodes();
    std::vector<base::WorkspaceId> recentClaims() const;
    void sendClaims(const base::WorkspaceId &workspace, bool hasJustStarted);
    std::vector<ClaimAnswer> answersTo(const std::vector<base::WorkspaceId> &claims) const;
    void recordClaimAnswer(const base::VmId &from, const ClaimAnswer &answer);
    void recordMembers(const base::VmId &from, std::uint64_t members);
    void recordAsker(const config::Workspace &workspace,
                     const base::VmId &from,
                     base::Incarnation incarnation,
                     const PoolTokenAsk &tokenAsk);
    void addDebt(const base::WorkspaceId &workspace, std::uint32_t tokens);
    Debt &currentDebt(const base::WorkspaceId &workspace);
    std::uint32_t takeFromPool(const config::Workspace &workspace, std::uint32_t urgent, std::uint32_t wanted);
    base::Duration nextRetryAfter(const config::Workspace &workspace);
    bool takeLocally(const config::Workspace &workspace, Entry &entry);
    Token makeToken(const base::WorkspaceId &workspace) const;

    void askNextHome(PendingAsk pending);
    void queueAnswer(const base::VmId &to, base::Incarnation incarnation, const PoolAnswer &answer);
    void decideLocally(const PendingAsk &pending);
    void completeAsk(const PendingAsk &pending, std::uint32_t granted, base::Duration retryAfter, bool ofHome);
    void receiveAsk(const base::VmId &from, base::Incarnation incarnation, const PoolAsk &message);
    void receiveTokenAsk(const base::VmId &from, base::Incarnation incarnation, const PoolTokenAsk &tokenAsk);
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
    std::vector<base::VmId> m_vms; ///< VMs of the list that can hold pools, sorted.
    std::uint64_t m_members = 0; ///< Hash of `m_vms`.
    /// Cached results of rankHomes() for `m_vms`.
    mutable std::unordered_map<base::WorkspaceId, std::vector<base::VmId>> m_homes;
    std::uint64_t m_listVersion = 0;
    base::TimePoint m_listChangedAt; ///< Time of the last change of `m_vms`. A pool at a new home refills from then on.
    std::unordered_map<base::WorkspaceId, Pool> m_pools;
    std::unordered_map<base::WorkspaceId, Entry> m_entries;
    std::map<std::uint64_t, PendingAsk> m_pendingAsks; ///< Ordered by ask id and thus by age.
    /// Time until which a VM that did not decide an ask is skipped.
    std::map<base::VmId, base::TimePoint> m_suspectedUntil;
    /// Times at which homes first did not decide an ask, until a message of theirs is received.
    std::map<base::VmId, base::TimePoint> m_silentSince;
    std::map<base::VmId, base::TimePoint> m_lastReceivedAt; ///< Time of the last rate limiting message of each node.
    std::map<base::VmId, Probe> m_probes;
    HomeAgreement m_agreement; ///< Which of `m_vms` take this node for a home although their lists differ.
    std::size_t m_lastProbedIndex = 0; ///< Index in `m_vms` of the node that was considered last.
    base::TimePoint m_lastProbeRoundAt; ///< Time at which nodes were last probed.
    std::map<base::VmId, base::TimePoint> m_removedAt; ///< Times at which VMs were removed from the list.
    std::map<base::VmId, PoolAsk> m_outgoingAsks; ///< Asks to send with the next takeMessages().
    /// Answers to send with the next takeMessages().
    std::map<std::pair<base::VmId, base::Incarnation>, PoolGrant> m_outgoingGrants;
    std::map<base::WorkspaceId, AdmissionTally> m_tallies; ///< Tallies that are not logged yet.
    std::vector<AdmissionDecision> m_decisions;
    LimiterCounters m_counters;
    std::uint64_t m_lastAsk = 0;
    bool m_draining = false;
};

}
