#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Chooses the VM that keeps the ledger record of an idempotency key: the home of the key.
namespace papayastep::routing {

/// A BLAKE2b-128 digest. The hash is cryptographic, since a workspace that could make its key collide with a key of
/// another workspace would receive the other's answer.
struct Digest128
{
    std::array<std::uint8_t, 16> bytes{};

    std::string_view view() const;
    auto operator<=>(const Digest128 &) const = default;

    /// For the codec of messages: the digest is encoded as 16 bytes.
    template<typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
        packer.pack_bin_body(view().data(), static_cast<std::uint32_t>(bytes.size()));
    }
    template<typename Object>
    void msgpack_unpack(Object object)
    {
        const std::string raw = object;
        assign(raw);
    }

    /// Throws Error(MessageMalformed) unless `raw` has 16 bytes.
    void assign(std::string_view raw);
};

/// Hash of a caller's Idempotency-Key. A key belongs to its workspace, independently of the service.
using KeyHash = Digest128;
KeyHash keyHash(const base::WorkspaceId &workspace, std::string_view key);

/// Hash of a request, which distinguishes a repeat from another request that uses the same key.
using BodyDigest = Digest128;
BodyDigest bodyDigest(std::string_view method, std::string_view target, std::string_view body);

/// Hash of what a request asks for. Repeats of a request have the same digest, whichever id they have and through
/// whichever node they come.
using RequestDigest = Digest128;
RequestDigest requestDigest(const base::WorkspaceId &workspace,
                            std::string_view method,
                            std::string_view target,
                            std::string_view body);

/// Returns whether `key` is valid: 1 to 255 visible ASCII characters.
bool isValidIdempotencyKey(std::string_view key);

/// Returns the time in a UUID of version 7 (RFC 9562), in milliseconds resolution, or nothing for any other key.
std::optional<base::WallTime> timeOfKey(std::string_view key);

/// Returns the home of `key` among `vms`, which is the same on every node with the same configuration. It does not
/// depend on health, since two entries with different views of it would ask two homes and each would be told to run the
/// request. The result is empty if there are no VMs.
base::VmId homeOf(const KeyHash &key, const std::vector<base::VmId> &vms);

/// Returns the VM that would be home without homeOf(); it receives the records when the home stops. The result is empty
/// if there is only one VM.
base::VmId nextHomeOf(const KeyHash &key, const std::vector<base::VmId> &vms);

}
