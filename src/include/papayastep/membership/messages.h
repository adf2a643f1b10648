#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/config/configstore.h"
#include "papayastep/config/configuration.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

/// Payloads of the message kinds 30 to 39.
namespace papayastep::membership {

/// Kind RevisionNotice: what the sender holds. A receiver that is behind asks for it; one that is ahead says so.
struct RevisionNotice
{
    base::Revision revision = 0;
    std::uint64_t vmListVersion = 0;
    std::uint64_t confirmationAgeMilliseconds
        = 0; ///< Since the platform confirmed `revision`; neverConfirmed if never.

    static constexpr std::uint64_t neverConfirmed = ~0ull;

    auto operator<=>(const RevisionNotice &) const = default;
    MSGPACK_DEFINE(revision, vmListVersion, confirmationAgeMilliseconds)
};

/// Kind ConfigurationRequest: asks for what is newer than the sender has.
struct ConfigurationRequest
{
    config::FileListing have; ///< Empty at the start of a node.
    std::uint64_t vmListVersion = 0;
    bool wantConfiguration = false;
    bool wantVmList = false;

    auto operator<=>(const ConfigurationRequest &) const = default;
    MSGPACK_DEFINE(have, vmListVersion, wantConfiguration, wantVmList)
};

/// Kind RequestDeclined: the sender has no time for a request; another peer may have.
struct RequestDeclined
{
    bool configuration = false;
    bool vmList = false;

    auto operator<=>(const RequestDeclined &) const = default;
    MSGPACK_DEFINE(configuration, vmList)
};

/// What a transfer carries, as a number on the wire.
enum class TransferContent : std::uint8_t { Configuration = 0, VmList = 1 };

/// A part of an encoded ConfigurationPatch or VmListUpdate. Kinds ConfigurationDelta (pushed down a tree, forwarded
/// byte for byte), ConfigurationPart (the answer to a request) and VmListNotice (either).
struct TransferPart
{
    std::uint8_t content = 0; ///< TransferContent.
    std::uint64_t version = 0; ///< Revision or version of the VM list that it leads to.
    std::uint64_t checksum = 0; ///< XXH3 of the whole, which also names the transfer.
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    base::VmId treeRoot; ///< Empty: not to be forwarded.
    std::string bytes;

    auto operator<=>(const TransferPart &) const = default;
    MSGPACK_DEFINE(content, version, checksum, index, count, treeRoot, bytes)
};

/// One VM on the wire.
struct VmRecord
{
    base::VmId id;
    base::ZoneId zone;
    std::string address;
    std::uint16_t callerPort = 0;
    std::uint16_t hopPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    bool leaving = false;

    auto operator<=>(const VmRecord &) const = default;
    MSGPACK_DEFINE(id, zone, address, callerPort, hopPort, peerPort, adminPort, leaving)
};

/// From one version of the platform's VM list to a later one. `from` 0: `changed` is the whole list.
struct VmListUpdate
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<base::VmId> removed;
    std::vector<VmRecord> changed;

    auto operator<=>(const VmListUpdate &) const = default;
    MSGPACK_DEFINE(from, to, removed, changed)
};

/// Kind VmLeaving: this VM stops soon and must get no new work. Forwarded down two trees.
struct VmLeaving
{
    base::VmId vm;
    base::Incarnation incarnation = 0;
    std::uint64_t tree = 0; ///< Which of the two trees.

    auto operator<=>(const VmLeaving &) const = default;
    MSGPACK_DEFINE(vm, incarnation, tree)
};

}
