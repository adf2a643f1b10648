#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/config/configstore.h"
#include "papayastep/config/configuration.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

/// Payloads of the message kinds 30 to 39.
namespace papayastep::membership {

/// Kind RevisionNotice: the versions that the sender holds. A receiver that is behind requests the newer ones; one that
/// is ahead answers with its own notice.
struct RevisionNotice
{
    base::Revision revision = 0;
    std::uint64_t vmListVersion = 0;
    /// Time since the platform confirmed `revision`; neverConfirmed if it never did.
    std::uint64_t confirmationAgeMilliseconds = 0;

    static constexpr std::uint64_t neverConfirmed = ~0ull;

    auto operator<=>(const RevisionNotice &) const = default;
    MSGPACK_DEFINE(revision, vmListVersion, confirmationAgeMilliseconds)
};

/// Kind ConfigurationRequest: requests what is newer than the sender's versions.
struct ConfigurationRequest
{
    config::FileListing have; ///< The files that the sender holds; empty when it starts.
    std::uint64_t vmListVersion = 0;
    bool wantConfiguration = false;
    bool wantVmList = false;

    auto operator<=>(const ConfigurationRequest &) const = default;
    MSGPACK_DEFINE(have, vmListVersion, wantConfiguration, wantVmList)
};

/// Kind RequestDeclined: the sender has reached its limit of answers; another peer may answer the request.
struct RequestDeclined
{
    bool configuration = false;
    bool vmList = false;

    auto operator<=>(const RequestDeclined &) const = default;
    MSGPACK_DEFINE(configuration, vmList)
};

/// The content of a transfer, sent as a number.
enum class TransferContent : std::uint8_t { Configuration = 0, VmList = 1 };

/// A part of an encoded ConfigurationPatch or VmListUpdate. Sent as kind ConfigurationDelta (pushed along a tree,
/// forwarded byte for byte), ConfigurationPart (the answer to a request) or VmListNotice (either).
struct TransferPart
{
    std::uint8_t content = 0; ///< A TransferContent.
    std::uint64_t version = 0; ///< Revision or VM list version that the transfer leads to.
    std::uint64_t checksum = 0; ///< XXH3 of the complete transfer; it also identifies the transfer.
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    base::VmId treeRoot; ///< Root of the tree to forward along; empty if the part is not to be forwarded.
    std::string bytes;

    auto operator<=>(const TransferPart &) const = default;
    MSGPACK_DEFINE(content, version, checksum, index, count, treeRoot, bytes)
};

/// A VM as sent on the wire.
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
    bool retained = false;

    auto operator<=>(const VmRecord &) const = default;
    MSGPACK_DEFINE(id, zone, address, callerPort, hopPort, peerPort, adminPort, leaving, retained)
};

/// The changes from one version of the platform's VM list to a later one. If `from` is 0, `changed` is the complete
/// list.
struct VmListUpdate
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<base::VmId> removed;
    std::vector<VmRecord> changed;

    auto operator<=>(const VmListUpdate &) const = default;
    MSGPACK_DEFINE(from, to, removed, changed)
};

/// Kind VmLeaving: this VM stops soon and must get no new work. Forwarded along two trees.
struct VmLeaving
{
    base::VmId vm;
    base::Incarnation incarnation = 0;
    std::uint64_t tree = 0; ///< Index of one of the two trees.

    auto operator<=>(const VmLeaving &) const = default;
    MSGPACK_DEFINE(vm, incarnation, tree)
};

}
