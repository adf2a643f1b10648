#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"
#include "papayastep/wire/envelope.h"

#include <initializer_list>

namespace papayastep::wire {

/// Names of the HTTP header fields of a hop between two nodes. Only nodes set them.
constexpr const char *hopHeader = "Papayastep-Hop";
constexpr const char *hopReplyHeader = "Papayastep-Hop-Reply";

/// Data that an entry node sends to a serving node with each attempt.
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
    std::int64_t remaining = 0; ///< Time left until the request's deadline when the attempt is sent, in nanoseconds.
    std::int64_t sent = 0; ///< Time of the entry node's monotonic clock when the attempt is sent, in nanoseconds.
    bool idempotent = false;
    bool redirected = false; ///< Whether the advice of a sibling led here. Such an attempt gets no further advice.
    base::ServiceId callerService; ///< Service of the VM at which the request entered; empty if unknown.
    std::string callerId; ///< The caller's own id of the request, for the logs of both nodes; may be empty.
    std::uint8_t priority = 0; ///< 0 is the most urgent.
    /// Nanoseconds after which an answer is worth less, relative like `remaining`; 0: not stated.
    std::int64_t remainingTarget = 0;
    bool lastResort = false; ///< All servers were ejected, so this server is tried whatever its own state is.
    bool isNestedCall = false; ///< Sent by a backend server on the entry's VM during a run that is in progress there.
    /// An earlier attempt of the request reached, or may have reached, a backend server, or the request is a nested
    /// call of a run to which this applies.
    bool isRepeat = false;
    base::Incarnation serverIncarnation = 0; ///< The start of the server that the entry has in its directory.
    /// The limit in requests per second that this start of the server named last, as the entry received it; negative:
    /// none. The serving node may have been restarted since.
    double serverLimit = -1;
    std::uint8_t serverEnds = 0; ///< Number of servers that ended under earlier attempts of the request.

    base::RequestId requestId() const
    {
        return {requestHigh, requestLow};
    }

    /// The id under which both nodes log the request.
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
                   isNestedCall,
                   isRepeat,
                   serverIncarnation,
                   serverLimit,
                   serverEnds)
};

/// The outcome of an attempt as far as the serving node knows it.
enum class HopOutcome : std::uint8_t {
    Answered = 0, ///< The answer of the backend server follows.
    NotRun = 1, ///< The attempt was never sent to a backend server and never will be.
    Unknown = 2, ///< The attempt was sent to a backend server, and no complete answer was received.
};

/// Data that a serving node sends to the entry node with each answer.
struct HopReply
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    std::uint8_t outcome = 0; ///< HopOutcome.
    std::int32_t code = 0; ///< ResultCode if the outcome is not Answered.
    std::uint32_t retryAfterMs = 0;
    base::BackendServerId server; ///< The backend server that answered.
    base::BackendServerId advice; ///< With NotRun: a sibling that is in a better position to run the attempt, or empty.
    base::Revision revision = 0;
    std::uint32_t queueMicros = 0;
    std::uint32_t serverMicros = 0;
    std::string report; ///< State of the server and its siblings, encoded by package health.
    std::uint8_t grayPercent = 0; ///< Probability in percent that the server is in an episode of gray failure.
    bool callFailed = false; ///< The server answered with a failure because a call of its own failed.
    bool hasServerNotice = false; ///< Whether the node serves the server, so that the three fields below are news.
    base::Incarnation serverIncarnation = 0; ///< The start of the server to which the announcements below belong.
    double serverLimit = -1; ///< The limit in requests per second that the server names; negative: none.
    bool serverLeaving = false; ///< The server has announced its end.
    bool serverEnded = false; ///< The server ended while it ran the attempt.

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
                   callFailed,
                   hasServerNotice,
                   serverIncarnation,
                   serverLimit,
                   serverLeaving,
                   serverEnded)
};

/// Message of kind CancelAttempt from the entry node to the serving node: requests that the attempt is not started, and
/// asks whether it has started. It is resent until it is answered or the entry node gives up.
struct CancelAttempt
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    std::int64_t remaining = 0; ///< As in HopRequest.
    std::int64_t sent = 0; ///< As in HopRequest.
    bool stop = false; ///< Also stops an attempt that has started, because its answer is no longer needed.

    auto operator<=>(const CancelAttempt &) const = default;
    MSGPACK_DEFINE(requestHigh, requestLow, attempt, remaining, sent, stop)
};

/// Message of kind CancelResult, the answer to a CancelAttempt.
struct CancelResult
{
    std::uint64_t requestHigh = 0;
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    std::uint8_t answer = 0; ///< routing::CancelAnswer.

    auto operator<=>(const CancelResult &) const = default;
    MSGPACK_DEFINE(requestHigh, requestLow, attempt, answer)
};

/// Encodes hop headers and authenticates them with the fleet secret. The tag of a request also covers its method,
/// target and body, so that an outsider can neither forge nor change a hop.
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
    /// `context` is authenticated together with the bytes, as if its pieces were joined.
    std::string seal(const std::string &bytes, std::initializer_list<std::string_view> context) const;
    std::string open(std::string_view header, std::initializer_list<std::string_view> context) const;

    std::string m_key;
};

}
