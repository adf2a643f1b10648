#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"
#include "papayastep/limits/messages.h"
#include "papayastep/limits/tokenbroker.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayastep::limits {

/// How long this node must wait until something has run out for another node whose clock may be slow or have stood
/// still, and which began to count no later than this node.
base::Duration surelyExpired(const BrokerSettings &settings, base::Duration lifetime);

/// Whether this VM may act as holder of shares of its zone, and since when.
///
/// What goes wrong without it: two VMs believe in different VM lists and both grant the tokens of one share, and a
/// workspace gets twice its rate. So a holder needs *proof* no older than the evidence lifetime: a list just read
/// from the platform, or a quorum of witnesses (VMs of its zone, chosen by hash) that know of no newer list with
/// other VMs in the zone. A VM that takes a share over needs a quorum of witnesses that know its list, and then
/// waits until the proofs of the one before have run out, and the grants made on them. Quorums are so large that
/// those before and after a change of two VMs have a witness in common.
class ZoneTenure
{
public:
    ZoneTenure(const NodeIdentity &self, const base::Clock &clock, const BrokerSettings &settings);

    /// A newer list, or the one in force read again. `heardAt`: when the platform was asked.
    void applyList(const config::VmList &list, base::TimePoint heardAt);

    /// Whether proof is fresh. Asks the witnesses if it runs out.
    bool mayGrant();

    /// Since when this VM alone could grant the share of `workspace`, a time that may lie ahead. Nothing if another VM
    /// of the zone holds it, or if that is not settled yet.
    std::optional<base::TimePoint> heldSince(const base::WorkspaceId &workspace) const;

    /// Whether the wait after a start or a lapse is over, so that this VM holds what the list gives it.
    bool isReady() const;

    /// Rises when all that was held before must be forgotten.
    std::uint64_t term() const;

    void receive(const base::VmId &from, base::Incarnation incarnation, const TenureQuery &query);
    void receive(const base::VmId &from, const TenureAnswer &answer);

    /// The process was not running, or its clock stood still: the same as a restart.
    void restart();

    void tick();
    /// `active`: shares are in use, so proof is renewed before it runs out.
    std::optional<base::TimePoint> nextTick(bool active) const;
    std::vector<wire::Outgoing> takeMessages();

    std::uint64_t lapses() const;

private:
    /// A change of the zone's VMs that has been seen.
    struct Change
    {
        base::TimePoint detectedAt;
        std::optional<base::TimePoint> confirmedAt; ///< When a quorum of witnesses knew of it.
    };
    struct QueryRound
    {
        std::uint64_t number = 0;
        base::TimePoint askedAt;
        std::set<base::VmId> agreed;
        base::Duration unchangedFor = base::Duration::max(); ///< The shortest of the answers.
        bool open = false;
    };

    bool isListed() const;
    bool isSuperseded() const;
    bool hasFreshProof(base::TimePoint now) const;
    void recordKnownList(std::uint64_t version, std::uint64_t members);
    void adoptMembers(std::vector<base::VmId> members);
    void chooseWitnesses();
    std::size_t quorum() const;
    void ask();
    void evaluateRound();
    void confirmChanges(base::TimePoint now);
    base::Duration takeoverDelay() const;

    NodeIdentity m_self;
    const base::Clock &m_clock;
    const BrokerSettings &m_settings;
    std::vector<base::VmId> m_members; ///< VMs of the own zone that are not leaving, sorted.
    std::vector<base::VmId> m_witnesses;
    std::uint64_t m_version = 0;
    std::uint64_t m_membersHash = 0;
    std::uint64_t m_knownVersion = 0; ///< The newest list heard of, perhaps not held.
    std::uint64_t m_knownHash = 0;
    base::TimePoint m_unchangedSince;
    base::TimePoint m_withoutProofSince; ///< Start of the process, or of the time without proof.
    base::TimePoint m_provenAt;
    bool m_proven = false; ///< m_provenAt is set.
    bool m_lapsed = true; ///< Proof ran out; only a quorum can end it.
    std::optional<base::TimePoint> m_heldSince; ///< Nothing is held before it. Empty: the start is not settled.
    std::vector<Change> m_changes;
    std::map<base::VmId, std::size_t> m_removed; ///< VM that left the zone -> index in m_changes.
    QueryRound m_round;
    std::uint64_t m_term = 0;
    std::uint64_t m_lapses = 0;
    std::vector<wire::Outgoing> m_outbox;
};

}
