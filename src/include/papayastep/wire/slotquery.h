#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/wire/message.h"

namespace papayastep::wire {

/// Message of kind SlotQuery from the entry node to a serving node: asks how this request would be handled now at a
/// backend server of that node. It has some 100 bytes, whereas a request that is sent and then refused costs its whole
/// body and both headers.
struct SlotQuery
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    base::BackendServerId server;
    base::WorkspaceId workspace;
    std::uint8_t priority = 0; ///< As in HopRequest.
    bool idempotent = false;
    std::int64_t remaining = 0; ///< As in HopRequest.
    std::int64_t remainingTarget = 0; ///< As in HopRequest.
    base::RouteId route;
    bool isNestedCall = false; ///< As in HopRequest.
    bool isRepeat = false; ///< As in HopRequest.

    auto operator<=>(const SlotQuery &) const = default;
    MSGPACK_DEFINE(requestHigh,
                   requestLow,
                   server,
                   workspace,
                   priority,
                   idempotent,
                   remaining,
                   remainingTarget,
                   route,
                   isNestedCall,
                   isRepeat)
};

/// Message of kind SlotOffer, the answer to a SlotQuery. It reserves nothing: the slot may be in use when the request
/// arrives.
struct SlotOffer
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    base::BackendServerId server;
    std::int32_t code = 0; ///< ResultCode with which the request would be refused; 0 if it would be accepted.
    /// Time in microseconds until the request could start or, if it would be refused, until it could be accepted.
    std::uint32_t waitMicros = 0;
    std::uint32_t runMicros = 0; ///< How long runs take at this server, in microseconds.
    std::uint8_t grayPercent = 0; ///< As in HopReply.
    std::uint32_t idleMs = 0; ///< Time since the last request was started at this server, in milliseconds.
    bool heldAsGray = false; ///< Held because of suspected gray failure: the server accepts only last-resort requests.

    auto operator<=>(const SlotOffer &) const = default;
    MSGPACK_DEFINE(requestHigh, requestLow, server, code, waitMicros, runMicros, grayPercent, idleMs, heldAsGray)
};

}
