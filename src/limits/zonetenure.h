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

/// Returns the time after which `lifetime` has certainly expired on another node that started to count no later than
/// this node, even if the clock there is slow or has stopped for up to `clockStopBound`.
base::Duration surelyExpired(const BrokerSettings &settings, base::Duration lifetime);

/// Decides whether this VM may act as holder of shares of its zone, and since when.
///
/// It prevents two VMs with different VM lists from both granting the tokens of one share, which would give a workspace
/// twice its rate. A holder needs *proof* no older than the evidence lifetime: a list just read from the platform, or a
/// quorum of witnesses (VMs of its zone, chosen by hash) that know of no newer list with other VMs in the zone. A VM
/// that takes over a share needs a quorum of witnesses that know its list, and then waits until the proof of the
/// previous holder and the grants made under it have expired. Quorums are so large that those before and after a change
/// of two VMs have a witness in common.
class ZoneTenure
{
public:
    ZoneTenure(const NodeIdentity &self, const base::Clock &clock, const BrokerSettings &settings);

    /// Applies a newer list, or the current one read again. `requestedAt` is the time at which the platform was asked.
    void applyList(const config::VmList &list, base::TimePoint requestedAt);

    /// Whether the proof is fresh. Queries the witnesses if it has expired.
    bool mayGrant();

    /// Time since which only this VM can grant the share of `workspace`; it may lie ahead. Returns nullopt if another
    /// VM of the zone holds the share, or if that is not confirmed yet.
    std::optional<base::TimePoint> heldSince(const base::WorkspaceId &workspace) const;

    /// Whether the wait after a start or a restart is over, so that this VM holds the shares that the list assigns to
    /// it.
    bool isReady() const;

    /// Number that rises when all shares and grants held before become invalid.
    std::uint64_t term() const;

    void receive(const base::VmId &from, base::Incarnation incarnation, const TenureQuery &query);
    void receive(const base::VmId &from, const TenureAnswer &answer);

    /// Resets the state as after a restart. Called if the process was not running or its clock had stopped.
    void restart();

    void tick();
    /// If `active`, shares are in use and the proof is renewed before it expires.
    std::optional<base::TimePoint> nextTick(bool active) const;
    std::vector<wire::Outgoing> takeMessages();

    std::uint64_t lapses() const;

private:
    /// A detected change of the VMs of the zone.
    struct Change
    {
        base::TimePoint detectedAt;
        std::optional<base::TimePoint> confirmedAt; ///< Time at which a quorum of witnesses knew of the change.
    };
    struct QueryRound
    {
        std::uint64_t number = 0;
        base::TimePoint askedAt;
        std::set<base::VmId> agreed;
        base::Duration unchangedFor = base::Duration::max(); ///< Shortest value in the answers.
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
    std::uint64_t m_knownVersion = 0; ///< Newest list that this VM knows of; it may not have received that list yet.
    std::uint64_t m_knownHash = 0;
    base::TimePoint m_unchangedSince;
    base::TimePoint m_resetAt; ///< Start of the process, or time of the last restart().
    base::TimePoint m_provenAt;
    bool m_proven = false; ///< Whether m_provenAt is set.
    bool m_lapsed = true; ///< The proof has expired. Only a quorum of witnesses can renew it.
    /// Time before which no share is held; nullopt until a quorum of witnesses has answered after a start.
    std::optional<base::TimePoint> m_heldSince;
    std::vector<Change> m_changes;
    /// Maps a VM that left the zone to the index of its change in m_changes.
    std::map<base::VmId, std::size_t> m_removed;
    QueryRound m_round;
    std::uint64_t m_term = 0;
    std::uint64_t m_lapses = 0;
    std::vector<wire::Outgoing> m_outbox;
};

}
