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
    base::Duration suspicion = std::chrono::seconds(1); ///< How long a silent node is passed over.
    int homesTried = 2; ///< Silent homes until a request is decided alone: it must not wait longer than it runs.

    base::Duration prefetch = std::chrono::milliseconds(200); ///< An entry asks for this much of its demand.
    base::Duration stockLifetime
        = std::chrono::milliseconds(500); ///< Of tokens that an entry has asked for in advance.

    /// What a stand-in gives of the rate while it still hears from the home. Its asker then has lost a packet, or the
    /// path between those two alone is cut; the home gives the whole rate to all others, and operators tolerate a
    /// quarter more.
    double standInPart = 0.05;
    base::Duration heardFor = std::chrono::seconds(1); ///< A home that was heard of so lately lives.

    /// Tokens that come back to an entry, because no server had room, are kept for its next requests. More than this
    /// many at each entry would be spent together when room is found: with two, and stand-ins that begin a quarter
    /// full, a flood at 22 entries got 626 of 612 tolerated in 5 s.
    double mostGivenBack = 1;

    /// What a node may admit alone while it reaches no home: its even part of the rate, and this many tokens at once.
    double aloneBurst = 1;
};

/// One pool of tokens for each workspace, held by one VM (its home, by rendezvous hash over the VM list). Each entry
/// asks the home for what it needs, so the whole rate is at hand wherever requests come in.
///
/// What can go wrong is that no home answers, or that two nodes take themselves for home. In the first case callers
/// inside their rate must not be refused for it: the next node in the order stands in, or the entry admits its even
/// part alone. In the second both give up to the rate. The excess is bounded: a stand-in first tries to reach the home
/// and passes the wish on; only if that is silent too it gives tokens itself, from a pool that begins a quarter full,
/// at the part of the rate that the reachable nodes stand for. docs/design/limits.md has the sums.
class PooledLimiter final : public RateLimiter
{
public:
    PooledLimiter(BrokerSelf self, const base::Clock &clock, PoolSettings settings = {});

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
    bool isSettled() const override;
    bool chargesRepeats() const override;
    WorkspaceStatus status(const base::WorkspaceId &workspace) const override;
    const BrokerCounters &counters() const override;
    std::size_t activeWorkspaces() const override;

private:
    /// Tokens that grow with time. Levels are in tokens.
    struct Bucket
    {
        double level = 0;
        base::TimePoint updated;

        void refill(double rate, double burst, base::TimePoint now);
    };

    /// The pool of a workspace at its home or a stand-in.
    struct Pool
    {
        Bucket bucket;
        base::TimePoint promisedUntil; ///< Times to come back were given out up to here.
    };

    /// What one workspace has at this entry.
    struct Entry
    {
        double stock = 0; ///< Tokens asked for in advance.
        base::TimePoint stockUntil;
        double demand = 0; ///< Requests per second, smoothed.
        base::TimePoint demandUpdated;
        Bucket alone;
        bool aloneUsed = false;
    };

    /// What became of a workspace's requests here since `since`, by whose tokens; and what was given to others.
    struct Tally
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
    struct Wish
    {
        base::WorkspaceId workspace;
        std::vector<base::RequestId> requests; ///< Of this entry, in order.
        std::uint32_t wanted = 0;
        base::VmId home; ///< Who was asked.
        base::TimePoint overdue; ///< When the home counts as silent.
        int homesTried = 0;
        // On behalf of another node:
        base::VmId asker; ///< Empty: our own wish.
        base::Incarnation askerIncarnation = 0;
        std::uint64_t askerAsk = 0;
        std::uint32_t askerUrgent = 0;
    };

    const config::Workspace *limited(const base::WorkspaceId &workspace) const;
    double partOfRate(const base::WorkspaceId &workspace) const;
    bool homeLives(const base::WorkspaceId &workspace) const;
    const std::vector<base::VmId> &homesOf(const base::WorkspaceId &workspace) const;
    std::vector<base::VmId> weighHomes(const base::WorkspaceId &workspace) const;
    base::VmId reachableHome(const base::WorkspaceId &workspace) const;
    bool isSuspect(const base::VmId &vm) const;
    double reachablePart() const;
    bool isFirstHome(const base::WorkspaceId &workspace) const;

    void noteDemand(Entry &entry);
    Pool &poolOf(const config::Workspace &workspace);
    std::uint32_t takeFromPool(const config::Workspace &workspace, std::uint32_t urgent, std::uint32_t wanted);
    base::Duration comeBackAfter(const config::Workspace &workspace);
    bool takeAlone(const config::Workspace &workspace, Entry &entry);
    Token tokenOf(const base::WorkspaceId &workspace) const;

    void ask(Wish wish);
    void answer(const base::VmId &to, base::Incarnation incarnation, const PoolAnswer &answer);
    void decideAlone(const Wish &wish);
    void settle(const Wish &wish, std::uint32_t granted, base::Duration retryAfter);
    void receiveAsk(const base::VmId &from, base::Incarnation incarnation, const PoolAsk &ask);
    void receiveWish(const base::VmId &from, base::Incarnation incarnation, const PoolWish &wish);
    void receiveGrant(const base::VmId &from, const PoolGrant &grant);
    void passOver(const base::VmId &home);

    Tally &tallyOf(const base::WorkspaceId &workspace);
    void tallyAdmitted(const base::WorkspaceId &workspace, const base::VmId &home);
    void writeTallies();

    const BrokerSelf m_self;
    const base::Clock &m_clock;
    const PoolSettings m_settings;
    config::ConfigurationPtr m_configuration;
    std::vector<base::VmId> m_vms; ///< Not leaving, sorted.
    mutable std::unordered_map<base::WorkspaceId, std::vector<base::VmId>> m_homes; ///< Of `m_vms`, once asked for.
    std::uint64_t m_listVersion = 0;
    base::TimePoint m_listChanged; ///< Pools that are new since then begin nearly empty.
    std::unordered_map<base::WorkspaceId, Pool> m_pools;
    std::unordered_map<base::WorkspaceId, Entry> m_entries;
    std::map<std::uint64_t, Wish> m_wishes; ///< By number, so by age.
    std::map<base::VmId, base::TimePoint> m_suspects; ///< Until when.
    std::map<base::VmId, base::TimePoint> m_heard; ///< When a node last sent anything about rates.
    std::map<base::VmId, PoolAsk> m_asks; ///< To be sent.
    std::map<std::pair<base::VmId, base::Incarnation>, PoolGrant> m_grants; ///< To be sent.
    std::map<base::WorkspaceId, Tally> m_tallies; ///< Not yet written down.
    std::vector<AdmissionDecision> m_decisions;
    BrokerCounters m_counters;
    std::uint64_t m_lastAsk = 0;
    bool m_draining = false;
};

}
