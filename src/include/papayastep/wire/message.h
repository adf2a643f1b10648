#pragma once

#include "papayastep/base/error.h"
#include "papayastep/base/identifiers.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Messages between nodes. Every message is one-way and idempotent: the next message makes up for a lost one, and a
/// duplicate is recognised by the ids in it. Payloads are value types with MSGPACK_DEFINE that are encoded as arrays,
/// so a newer node may append fields and an older node skips them.
namespace papayastep::wire {

/// The kind of a payload. The numbers are stable, and each package has its own range.
enum class MessageKind : std::uint8_t {
    // 10-19: limits
    TokenRequest = 10,
    TokenGrant = 11,
    TokenReturn = 12,
    ShareHandOver = 13,
    TenureQuery = 14,
    TenureAnswer = 15,
    PoolAsk = 16,
    PoolGrant = 17,
    // 20-29: health
    SiblingState = 20,
    SiblingLeaving = 21,
    GrayNotice = 22,
    // 30-39: configuration and membership
    RevisionNotice = 30,
    ConfigurationDelta = 31,
    ConfigurationRequest = 32,
    ConfigurationPart = 33,
    VmListNotice = 34,
    VmLeaving = 35,
    DirectoryNews = 36,
    RequestDeclined = 37,
    // 40-49: attempts
    CancelAttempt = 40,
    CancelResult = 41,
    SlotQuery = 42,
    SlotOffer = 43,
    ServerEndNotice = 44,
    // 50-59: idempotency ledger
    LedgerClaim = 50,
    LedgerClaimResult = 51,
    LedgerComplete = 52,
    LedgerHandOver = 53,
    LedgerHandOverResult = 54,
    LedgerFetch = 55,
    LedgerCompleteResult = 56,
    LedgerFetchResult = 57,
};

/// A message to be sent: its receiver, its kind and its encoded payload.
struct Outgoing
{
    base::VmId to;
    MessageKind kind;
    std::string payload;

    auto operator<=>(const Outgoing &) const = default;
};

/// Encodes `value` as MessagePack.
template<typename Value>
std::string encode(const Value &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return std::string(buffer.data(), buffer.size());
}

/// Maximum nesting depth of arrays in a message.
constexpr std::size_t maxMessageDepth = 16;

/// Limits for unpacking a message of `bytes` bytes. Five bytes can announce an array of four billion fields, for which
/// the library allocates memory before it reads on, so that the node would run out of memory. No valid message has more
/// fields than bytes.
inline msgpack::unpack_limit unpackLimits(std::size_t bytes)
{
    return msgpack::unpack_limit(bytes, bytes, bytes, bytes, bytes, maxMessageDepth);
}

/// The inverse of encode(). Throws Error(MessageMalformed) if the bytes do not encode such a value.
template<typename Value>
Value decode(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpackLimits(bytes.size()));
        return handle.get().as<Value>();
    } catch (const msgpack::unpack_error &error) {
        throw base::Error(base::ResultCode::MessageMalformed, error.what());
    } catch (const msgpack::type_error &) {
        throw base::Error(base::ResultCode::MessageMalformed, "a field has an unexpected type");
    }
}

/// Makes a message to `to` with the encoded `value` as its payload.
template<typename Value>
Outgoing outgoing(const base::VmId &to, MessageKind kind, const Value &value)
{
    return Outgoing{to, kind, encode(value)};
}

}
