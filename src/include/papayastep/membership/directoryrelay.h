#pragma once

#include "papayastep/membership/serverdirectory.h"
#include "papayastep/wire/message.h"

#include <optional>
#include <string>
#include <vector>

namespace papayastep::membership {

/// A registered backend server as sent on the wire.
struct ServerRecord
{
    base::BackendServerId id;
    base::ServiceId service;
    base::VmId vm;
    base::ZoneId zone;
    std::string address;
    std::uint16_t port = 0;
    std::int32_t slots = 1;
    bool drain = false;
    std::uint64_t incarnation = 0;
    std::uint32_t coldMs = 0; ///< Remaining time in which the server is slow after its start.

    auto operator<=>(const ServerRecord &) const = default;
    MSGPACK_DEFINE(id, service, vm, zone, address, port, slots, drain, incarnation, coldMs)
};

/// Kind DirectoryNews, sent by a reader to all other nodes of its group: the changes of the directory or, if there are
/// none, a heartbeat that reports this.
struct DirectoryNews
{
    std::uint64_t from = 0; ///< Lowest version that the changes apply to.
    std::uint64_t to = 0;
    std::uint32_t answeredAgoMs = 0; ///< Age of the platform's last answer to the reader.
    base::Revision publishedRevision = 0; ///< The same as in ServerUpdate.
    std::vector<ServerRecord> changed;
    std::vector<base::BackendServerId> removed;
    std::vector<base::ZoneId> evacuated; ///< The same as in ServerUpdate.
    std::vector<base::ZoneId> restored; ///< The same as in ServerUpdate.

    auto operator<=>(const DirectoryNews &) const = default;
    MSGPACK_DEFINE(from, to, answeredAgoMs, publishedRevision, changed, removed, evacuated, restored)
};

/// Group size, intervals and ages of a DirectoryRelay.
struct DirectoryRelaySettings
{
    /// Number of nodes of a group that read for it: two, so that one may be cut off.
    std::size_t readersPerGroup = 2;
    /// Approximate number of nodes in a group. A reader in a group of a hundred sends 330 heartbeats of some 100 bytes
    /// a second; in a group of 2,300 it would send as many as its core can seal.
    std::size_t groupSize = 100;
    /// Interval at which a reader sends the age of the platform's last answer.
    base::Duration heartbeatInterval = std::chrono::milliseconds(300);
    /// Age of the platform's answer to a reader up to which other nodes rely on it. With older answers only, a node
    /// asks the platform itself. A server that leaves must be out of use two seconds after the platform has registered
    /// that, and the node's own call takes some milliseconds.
    base::Duration maxAnswerAge = std::chrono::milliseconds(1100);
    /// Time without a change of the VM list after which a node whose first list was empty takes the list as complete.
    /// While the servers of a new fleet register one after the other, each node that has received few of them would act
    /// as a reader.
    base::Duration settlingTime = std::chrono::milliseconds(1500);
    /// Time without coverage after which as many further nodes of the group act as readers, and again after each such
    /// time: the readers may be cut off from the platform or from the group.
    base::Duration standInDelay = std::chrono::milliseconds(1500);
    /// Time after the start at which a node that has received no other VM acts all the same.
    base::Duration maxSettlingTime = std::chrono::seconds(5);
};

/// Lets a few nodes of each group of about a hundred watch the directory of backend servers and send its changes to the
/// others.
///
/// If every node kept a watch of its own, each change would wake the whole fleet: 81 calls a second from 101 nodes on a
/// calm day, and at thousands of nodes more calls than the platform answers. With a relay alone, a reader that is cut
/// off would leave the others with outdated entries without their knowledge. So each message contains the age of the
/// reader's last answer from the platform, and a node without a recent one from any reader asks the platform itself.
/// The readers follow from the VM list by rendezvous hashing; nodes that disagree on them only read more often.
///
/// The removal of an entry is not applied from a reader's message alone. A node that is cut off from the platform keeps
/// its last entries, among them its own server and those of other nodes that are cut off with it, whose entries lapse
/// for that reason alone. If it applied a reader's removals, it would drop servers that still serve it well (with a
/// third of 22 nodes cut off: 0.75 instead of 0.81 served). So the node first checks by the cheapest call that the
/// platform answers it. A reader's outage is not passed on either: the platform may reject that node alone, and the
/// others would keep servers that left for the grace period after an outage.
class DirectoryRelay
{
public:
    DirectoryRelay(base::VmId self, const base::Clock &clock, const DirectoryRelaySettings &settings = {});

    /// Sets the VMs that are listed and not about to leave.
    void applyVms(const std::vector<base::VmId> &present);

    /// Whether this node reads for its group: always, or for as long as no other reader covers it.
    bool isReader() const;

    /// Whether the VM list is complete as far as this node can tell. Until then it sends nothing to others.
    bool isSettled() const;

    /// Ends the time for which the updates of readers may be relied on, until the next one that fits.
    void endCoverage();

    /// Time until which the updates of readers may be relied on; in the past if they may not. A reader relies on its
    /// own reads.
    base::TimePoint freshUntil() const;

    /// Handles an answer of the platform to this node.
    void notePlatformAnswer(const ServerUpdate &update);

    /// Whether the message removes entries from a directory that holds `version`, so that the platform must be shown to
    /// answer this node before the message is passed to receive().
    static bool needsCheck(const DirectoryNews &news, std::uint64_t version);

    /// Handles a message from a reader. Returns the changes to apply to a directory that holds `version`; empty if the
    /// platform must be asked instead, because changes were missed.
    std::optional<ServerUpdate> receive(const DirectoryNews &news, std::uint64_t version);

    /// Returns the updates for the other nodes and the heartbeats that are due.
    std::vector<wire::Outgoing> takeMessages();
    std::optional<base::TimePoint> nextTick() const;

private:
    void sendToAll(const DirectoryNews &news);

    const base::VmId m_self;
    const base::Clock &m_clock;
    const DirectoryRelaySettings m_settings;
    std::vector<base::VmId> m_present; ///< The active VMs.
    std::vector<base::VmId> m_group; ///< The active VMs of the own group.
    base::TimePoint m_startedAt;
    base::TimePoint m_presentChangedAt;
    mutable std::optional<base::TimePoint> m_settledAt;
    std::size_t m_rank = 0; ///< Number of nodes of the group that read before this one.
    base::TimePoint m_freshUntil;
    std::optional<base::TimePoint> m_answeredAt; ///< Time of the platform's last answer; only a reader sends its age.
    std::uint64_t m_version = 0;
    std::uint64_t m_lastChangeVersion = 0; ///< Version after which nothing changed that a node could have missed.
    base::Revision m_publishedRevision = 0;
    base::TimePoint m_nextHeartbeat;
    std::vector<wire::Outgoing> m_messages;
};

}
