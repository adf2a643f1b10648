#pragma once

#include "papayastep/wire/message.h"

#include <map>
#include <optional>

namespace papayastep::wire {

/// Bits that change how the bytes of an envelope must be read. A receiver refuses a bit that it does not know,
/// since ignoring it would mean to misread all that follows (Felix wire protocol: reserved flags must be zero).
using LayoutBits = std::uint32_t;
constexpr LayoutBits layoutPlain = 0;
constexpr LayoutBits layoutCompressed = 1; ///< The payload is a zstd frame.
constexpr LayoutBits knownLayout = layoutCompressed;

/// What a node can do. Two nodes use what both can; there is no version number to compare (Felix: capabilities).
using CapabilityBits = std::uint64_t;
constexpr CapabilityBits capabilityCompressed = 1;
constexpr CapabilityBits capabilityLedgerHandOver = 2;
constexpr CapabilityBits allCapabilities = capabilityCompressed | capabilityLedgerHandOver;

/// The longest message that a node reads, in bytes. A configuration value of the platform is at most 1 MB.
constexpr std::size_t maxMessageBytes = 2u << 20;

/// What surrounds each message between nodes.
struct Envelope
{
    base::VmId sender;
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0; ///< Rises with each message of an incarnation.
    base::Revision revision = 0; ///< The configuration in force at the sender: repairs what a spread missed.
    CapabilityBits capabilities = 0;
    MessageKind kind = MessageKind::RevisionNotice;
    std::string payload;
    /// Where the sender listens, `address:port`, for a receiver whose VM list does not name it. Empty in most messages.
    std::string replyTo;

    auto operator<=>(const Envelope &) const = default;
};

/// Seals and opens envelopes with the fleet secret (BLAKE2b keyed hash, libsodium).
class EnvelopeCodec
{
public:
    /// `secret` has at least 16 bytes, or Error(SettingsSecretMissing) is thrown.
    explicit EnvelopeCodec(const std::string &secret);

    /// The bytes of `envelope`. The payload is compressed when `compress` is set and it pays.
    std::string seal(const Envelope &envelope, bool compress = false) const;

    /// Throws Error with MessageMalformed, MessageUnauthenticated or MessageUnknownLayout.
    Envelope open(std::string_view bytes) const;

private:
    std::string m_key;
};

/// Refuses messages that were seen before. A message that was recorded and sent again by somebody on the network
/// carries a good tag; its sequence gives it away. Late and crossed messages within the window still pass once.
class ReplayWindow
{
public:
    /// Whether (sender, incarnation, sequence) is new. Remembers it.
    bool accept(const base::VmId &sender, base::Incarnation incarnation, std::uint64_t sequence);

    /// Drops what is known of VMs that are gone.
    void forget(const base::VmId &sender);

private:
    struct Seen
    {
        base::Incarnation incarnation = 0;
        std::uint64_t highest = 0;
        std::uint64_t bitmap = 0; ///< Bit i: highest - i was seen.
    };
    std::map<base::VmId, Seen> m_seen;
};

}
