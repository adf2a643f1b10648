#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Which VM keeps the ledger entry of an idempotency key.
namespace papayastep::routing {

/// BLAKE2b-128 of something. Cryptographic, since a workspace that could make its key collide with another
/// workspace's would be given the other's answer.
struct Digest128
{
    std::array<std::uint8_t, 16> bytes{};

    std::string_view view() const;
    auto operator<=>(const Digest128 &) const = default;

    /// For the codec of messages: travels as 16 bytes.
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

/// Stands for a caller's Idempotency-Key. A key belongs to its workspace, whatever the service.
using KeyHash = Digest128;
KeyHash keyHash(const base::WorkspaceId &workspace, std::string_view key);

/// Tells a repeat from another request that uses the same key.
using BodyDigest = Digest128;
BodyDigest bodyDigest(std::string_view method, std::string_view target, std::string_view body);

/// Whether `key` may be used: 1 to 255 visible ASCII characters.
bool isValidIdempotencyKey(std::string_view key);

/// The time inside a UUID of version 7 (RFC 9562), to the millisecond; nothing for any other key.
std::optional<base::WallTime> timeOfKey(std::string_view key);

/// The home of `key` among `vms`: the same on every node with the same configuration. Health plays no part, else two
/// entries with different views would ask two homes and each would be told to run. Empty for no VMs.
base::VmId homeOf(const KeyHash &key, const std::vector<base::VmId> &vms);

/// The VM that would be home without homeOf(): it gets the entry when the home stops. Empty for one VM.
base::VmId nextHomeOf(const KeyHash &key, const std::vector<base::VmId> &vms);

}
