#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"
#include "papayastep/wire/envelope.h"

namespace papayastep::wire {

/// Names of the HTTP headers of a hop between two nodes. Only nodes set them.
constexpr const char *hopHeader = "Papayastep-Hop";
constexpr const char *hopReplyHeader = "Papayastep-Hop-Reply";

/// What an entry node tells a serving node with each attempt.
struct HopRequest
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    base::VmId entry;
    base::Incarnation entryIncarnation = 0;
    base::WorkspaceId workspace;
    std::string keyFingerprint; ///< 64 hexadecimal digits, so that the serving node can check the key itself.
    base::BackendServerId server;
    base::RouteId route;
    base::Revision revision = 0;
    std::int64_t remaining = 0; ///< Nanoseconds of the request's deadline that are left when it is sent.
    std::int64_t sent = 0; ///< The entry's monotonic clock when it is sent, in nanoseconds.
    bool idempotent = false;
    bool redirected = false; ///< Came here on the advice of a sibling: no more advice.
    base::ServiceId callerService; ///< Of the VM where the request entered; empty: not known.
    std::string callerId; ///< The caller's own name for the request, for the logs of both sides; may be empty.
    std::uint8_t priority = 0; ///< 0 is the most urgent.
    std::int64_t remainingTarget = 0; ///< Nanoseconds after which an answer is worth less, like `remaining`; 0: none.
    bool lastResort = false; ///< All servers were found ejected, so this one is to try whatever it thinks of itself.
    bool isNestedCall = false; ///< Made by a backend server beside the entry in a run that is at work.

    base::RequestId requestId() const
    {
        return {requestHigh, requestLow};
    }

    /// The name under which both nodes log the request.
    std::string logId() const
    {
        return callerId.empty() ? toString(requestId()) : callerId;
    }

    auto operator<=>(const HopRequest &) const = default;
    MSGPACK_DEFINE(requestHigh,
                   requestLow,
                   attempt,
                   entry,
                   entryIncarnation,
                   workspace,
                   keyFingerprint,
                   server,
                   route,
                   revision,
                   remaining,
                   sent,
                   idempotent,
                   redirected,
                   callerService,
                   callerId,
                   priority,
                   remainingTarget,
                   lastResort,
                   isNestedCall)
};

/// How an attempt ended, as the serving node knows it.
enum class HopOutcome : std::uint8_t {
    Answered = 0, ///< The answer of the backend server follows.
    NotRun = 1, ///< It was never handed to a backend server and never will be.
    Unknown = 2, ///< It was handed over, and no whole answer came.
};

/// What a serving node tells the entry with each answer.
struct HopReply
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    std::uint8_t outcome = 0; ///< HopOutcome.
    std::int32_t code = 0; ///< ResultCode where the outcome is not Answered.
    std::uint32_t retryAfterMs = 0;
    base::BackendServerId server; ///< The one that answered.
    base::BackendServerId advice; ///< With NotRun: a sibling that is better placed to take it, or empty.
    base::Revision revision = 0;
    std::uint32_t queueMicros = 0;
    std::uint32_t serverMicros = 0;
    std::string report; ///< State of the server and its siblings (package health), encoded there.
    std::uint8_t grayPercent = 0; ///< How likely the server is in a spell of gray failure.
    bool callFailed = false; ///< The server answered with a failure because a call of its own failed.

    base::RequestId requestId() const
    {
        return {requestHigh, requestLow};
    }

    auto operator<=>(const HopReply &) const = default;
    MSGPACK_DEFINE(requestHigh,
                   requestLow,
                   attempt,
                   outcome,
                   code,
                   retryAfterMs,
                   server,
                   advice,
                   revision,
                   queueMicros,
                   serverMicros,
                   report,
                   grayPercent,
                   callFailed)
};

/// Kind CancelAttempt, entry to serving node: don't start the attempt, and say whether it has started.
/// Resent until answered or given up.
struct CancelAttempt
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    std::int64_t remaining = 0; ///< As in HopRequest.
    std::int64_t sent = 0; ///< As in HopRequest.
    bool stop = false; ///< Also stop it if it has started: its answer is no longer wanted.

    auto operator<=>(const CancelAttempt &) const = default;
    MSGPACK_DEFINE(requestHigh, requestLow, attempt, remaining, sent, stop)
};

/// Kind CancelResult, the answer to a CancelAttempt.
struct CancelResult
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    std::uint8_t answer = 0; ///< routing::CancelAnswer.

    auto operator<=>(const CancelResult &) const = default;
    MSGPACK_DEFINE(requestHigh, requestLow, attempt, answer)
};

/// Seals hop headers with the fleet secret. The tag of a request covers its method, target and body too, so that an
/// outsider can neither make a hop nor change one.
class HopCodec
{
public:
    explicit HopCodec(const std::string &secret);

    std::string sealRequest(const HopRequest &request,
                            std::string_view method,
                            std::string_view target,
                            std::string_view body) const;
    /// Throws Error(HopMalformed) or Error(HopUnauthenticated).
    HopRequest openRequest(std::string_view header,
                           std::string_view method,
                           std::string_view target,
                           std::string_view body) const;

    std::string sealReply(const HopReply &reply) const;
    /// Throws Error(HopMalformed) or Error(HopUnauthenticated).
    HopReply openReply(std::string_view header) const;

private:
    std::string seal(const std::string &bytes, std::string_view context) const;
    std::string open(std::string_view header, std::string_view context) const;

    std::string m_key;
};

}
