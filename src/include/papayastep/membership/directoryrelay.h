#pragma once

#include "papayastep/membership/serverdirectory.h"
#include "papayastep/wire/message.h"

#include <optional>
#include <string>
#include <vector>

namespace papayastep::membership {

/// One registered backend server on the wire.
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
    std::uint32_t coldMs = 0; ///< How much longer it is slow after its start.

    auto operator<=>(const ServerRecord &) const = default;
    MSGPACK_DEFINE(id, service, vm, zone, address, port, slots, drain, incarnation, coldMs)
};

/// Kind DirectoryNews, reader to all others: what changed in the directory, or, with no change, that nothing did.
struct DirectoryNews
{
    std::uint64_t from = 0; ///< Applies to any version from this one on.
    std::uint64_t to = 0;
    std::uint32_t answeredAgoMs = 0; ///< Age of the platform's last answer to the reader.
    base::Revision publishedRevision = 0; ///< As in ServerUpdate.
    std::vector<ServerRecord> changed;
    std::vector<base::BackendServerId> removed;

    auto operator<=>(const DirectoryNews &) const = default;
    MSGPACK_DEFINE(from, to, answeredAgoMs, publishedRevision, changed, removed)
};

struct DirectoryRelaySettings
{
    /// Nodes of a group that read for it: two, so that one may be cut off.
    std::size_t readersPerGroup = 2;
    /// About how many nodes make a group. A reader of a hundred sends 330 beats of some 100 bytes a second; one of
    /// 2,300 would send as many as its core can seal.
    std::size_t groupSize = 100;
    /// A reader says so often how old its news is.
    base::Duration heartbeatInterval = std::chrono::milliseconds(300);
    /// News older than this cover nobody; the node then asks the platform itself. A server that leaves must be out of
    /// use two seconds after the platform knows, and the node's own question takes some milliseconds.
    base::Duration maxAnswerAge = std::chrono::milliseconds(1100);
};

/// Lets a few nodes of each group of about a hundred watch the directory of backend servers, which tell the others.
///
/// If every node watches for itself, each change wakes the whole fleet: 81 calls a second from 101 nodes on a calm day
/// (measured), and at thousands of nodes more than the platform answers. With a relay alone, a reader that is cut off
/// would leave the others with old news without their knowing. So each message says how old the reader's last answer
/// is, and a node that has no fresh news from any reader asks the platform itself; which nodes read follows from the
/// VM list by rendezvous hashing, and two that disagree only read more often.
///
/// That an entry is gone is never taken from a reader. A node that is cut off from the platform keeps its last entries,
/// among them its own server and those of others that are cut off with it, whose entries lapse for that alone; told by
/// a reader, it would drop servers that serve it well (with a third of 22 nodes cut off: 0.75 instead of 0.81 served).
/// So the node asks the platform itself, and learns by that whether it is cut off. Nor is a reader's outage passed on:
/// the platform may turn that node alone away, and others would keep servers that left for the grace after an outage.
class DirectoryRelay
{
public:
    DirectoryRelay(base::VmId self, const base::Clock &clock, const DirectoryRelaySettings &settings = {});

    /// The VMs that are there and not about to leave.
    void applyVms(const std::vector<base::VmId> &present);

    bool isReader() const;

    /// Until when a reader's news may be relied on; in the past: not at all. A reader relies on itself.
    base::TimePoint freshUntil() const;

    /// The platform answered this node.
    void notePlatformAnswer(const ServerUpdate &update);

    /// What a reader says. Returns the changes to apply to a directory that holds `version`; nothing where the platform
    /// must be asked instead: some were missed, or entries are gone.
    std::optional<ServerUpdate> receive(const DirectoryNews &news, std::uint64_t version);

    /// News for the other nodes, and the beats that are due.
    std::vector<wire::Outgoing> takeMessages();
    std::optional<base::TimePoint> nextTick() const;

private:
    void sendToAll(const DirectoryNews &news);

    const base::VmId m_self;
    const base::Clock &m_clock;
    const DirectoryRelaySettings m_settings;
    std::vector<base::VmId> m_group; ///< The present VMs of the own group.
    bool m_reader = true;
    base::TimePoint m_freshUntil;
    std::optional<base::TimePoint> m_answeredAt; ///< As a reader.
    std::uint64_t m_version = 0;
    std::uint64_t m_lastChangeVersion = 0; ///< Nothing that a node could have missed came after this version.
    base::Revision m_publishedRevision = 0;
    base::TimePoint m_nextHeartbeat;
    std::vector<wire::Outgoing> m_messages;
};

}
