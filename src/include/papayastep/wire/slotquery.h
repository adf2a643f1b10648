#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/wire/message.h"

namespace papayastep::wire {

/// Kind SlotQuery, entry to serving node: what would become of this request at your backend server now? Some 100 bytes,
/// where a request that is sent only to be refused costs its whole body and both headers.
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
                   isNestedCall)
};

/// Kind SlotOffer, the answer to a SlotQuery. It promises nothing: the slot may be taken when the request comes.
struct SlotOffer
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    base::BackendServerId server;
    std::int32_t code = 0; ///< ResultCode with which the request would be refused; 0: it would be taken.
    std::uint32_t waitMicros = 0; ///< Until it could start; where it would be refused: until it could be taken.
    std::uint32_t runMicros = 0; ///< How long runs take there.
    std::uint8_t grayPercent = 0; ///< As in HopReply.
    std::uint32_t idleMs = 0; ///< Since the last request was started there.
    bool heldAsGray = false; ///< The server is held back as gray: only a last resort is taken.

    auto operator<=>(const SlotOffer &) const = default;
    MSGPACK_DEFINE(requestHigh, requestLow, server, code, waitMicros, runMicros, grayPercent, idleMs, heldAsGray)
};

}
