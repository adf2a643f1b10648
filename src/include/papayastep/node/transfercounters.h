#pragma once

#include "papayastep/wire/message.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace papayastep::node {

/// What bytes between nodes are for.
enum class TransferPurpose {
    Request, ///< Requests that this node passed on to the node beside a backend server.
    Answer, ///< Answers that it received to them.
    SlotQuestion,
    SlotOffer,
    RateLimit,
    Directory,
    Siblings,
    Configuration,
    Other,
};

inline constexpr std::size_t transferPurposes = 9;

std::string_view name(TransferPurpose purpose);

/// Returns what a message between nodes is for.
TransferPurpose purposeOf(wire::MessageKind kind);

/// Counts of the bytes that this node has exchanged with other nodes: its requests with their answers, and the messages
/// that it has sent. Bodies, sealed headers and messages are counted, without the other headers of HTTP, TCP and IP.
class TransferCounters
{
public:
    void record(TransferPurpose purpose, bool leavesZone, std::size_t bytes);

    std::uint64_t bytes(TransferPurpose purpose, bool leavesZone) const;

private:
    std::array<std::array<std::uint64_t, 2>, transferPurposes> m_bytes{};
};

}
