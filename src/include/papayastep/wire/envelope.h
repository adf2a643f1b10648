#pragma once

#include "papayastep/wire/message.h"

#include <map>
#include <optional>

namespace papayastep::wire {

/// Flags that change how the bytes of an envelope are decoded. A receiver refuses an envelope with a flag that it does
/// not know, since it would decode all following bytes wrongly (as in the Felix wire protocol, where reserved flags
/// must be zero).
using LayoutBits = std::uint32_t;
constexpr LayoutBits layoutPlain = 0;
constexpr LayoutBits layoutCompressed = 1; ///< The payload is a zstd frame.
constexpr LayoutBits knownLayout = layoutCompressed;

/// Features that a node supports. Two nodes use the features that both support, so there is no version number to
/// compare (as the capabilities of Felix).
using CapabilityBits = std::uint64_t;
constexpr CapabilityBits capabilityCompressed = 1;
constexpr CapabilityBits capabilityLedgerHandOver = 2;
constexpr CapabilityBits allCapabilities = capabilityCompressed | capabilityLedgerHandOver;

/// Maximum size of a message that a node accepts, in bytes. A configuration value of the platform has at most 1 MB.
constexpr std::size_t maxMessageBytes = 2u << 20;

/// A message between nodes: the fields that every message has, and its payload.
struct Envelope
{
    base::VmId sender;
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each message of an incarnation.
    /// Revision of the sender's active configuration, from which a receiver detects one that it missed.
    base::Revision revision = 0;
    CapabilityBits capabilities = 0;
    MessageKind kind = MessageKind::RevisionNotice;
    std::string payload;
    /// Address on which the sender listens, as `address:port`, for a receiver whose VM list does not contain the
    /// sender. Empty in most messages.
    std::string replyTo;

    auto operator<=>(const Envelope &) const = default;
};

/// Encodes envelopes and authenticates them with the fleet secret (BLAKE2b keyed hash, libsodium).
class EnvelopeCodec
{
public:
    /// Throws Error(SettingsSecretMissing) if `secret` has fewer than 16 bytes.
    explicit EnvelopeCodec(const std::string &secret);

    /// Encodes `envelope` and appends its authentication tag. The payload is compressed if `compress` is set and
    /// compression makes it smaller.
    std::string seal(const Envelope &envelope, bool compress = false) const;

    /// Checks the tag and decodes the envelope. Throws Error with MessageMalformed, MessageUnauthenticated or
    /// MessageUnknownLayout.
    Envelope open(std::string_view bytes) const;

private:
    std::string m_key;
};

/// Detects replayed messages. A message that is recorded on the network and sent again has a valid tag, but a sequence
/// number that has been received before. Delayed and reordered messages within the window are accepted once.
class ReplayWindow
{
public:
    /// Returns whether (sender, incarnation, sequence) is new, and records it.
    bool accept(const base::VmId &sender, base::Incarnation incarnation, std::uint64_t sequence);

    /// Removes the record of a VM that no longer exists.
    void forget(const base::VmId &sender);

private:
    struct ReceivedSequences
    {
        base::Incarnation incarnation = 0;
        std::uint64_t highest = 0;
        std::uint64_t bitmap = 0; ///< Bit i is set if sequence number `highest - i` was received.
    };
    std::map<base::VmId, ReceivedSequences> m_received;
};

}
