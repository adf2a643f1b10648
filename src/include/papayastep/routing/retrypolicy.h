#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/routing/outcome.h"

#include <string_view>

/// Decides what follows each attempt of a request.
namespace papayastep::routing {

/// The end of an attempt, or an event during it.
enum class AttemptEvent {
    ConnectionRefused, ///< The connection to the serving node failed before a byte of the request was written.
    NotAcknowledged, ///< The serving node did not respond within AttemptTimeouts::acknowledge.
    AcknowledgedThenSilent, ///< The serving node acknowledged, but no answer came within AttemptTimeouts::answer.
    RefusedNotRun, ///< The serving node has not started it and never will (with a code and possibly a wait).
    ShedByServer, ///< The backend server itself sent a complete answer of status 503 or 429.
    ServerError, ///< The backend server sent a complete answer of another 5xx status.
    Partial, ///< The answer was cut off, and no part of it was sent to the caller.
    PartialForwarded, ///< The answer was cut off after a part of it was sent to the caller.
    Complete, ///< The backend server sent any other complete answer.
    DeadlinePassed, ///< The request's deadline passed while the attempt was open.
    CancelNeverStarted, ///< By the answer to the cancel, the attempt has not started and never will.
    CancelStarted, ///< By the answer to the cancel, the attempt is running.
    CancelDone, ///< By the answer to the cancel, the attempt has finished.
    CancelUnanswered, ///< The cancel was not answered within AttemptTimeouts::cancel.
    CallerGone, ///< The caller closed its connection, so no answer is needed.
};

std::string_view name(AttemptEvent event);

/// An event of an attempt, with what the other side reported.
struct AttemptResult
{
    AttemptEvent event = AttemptEvent::Complete;
    base::ResultCode code = base::ResultCode::Ok; ///< Reason of a RefusedNotRun.
    base::Duration retryAfter{0}; ///< Wait that the other side requested.

    auto operator<=>(const AttemptResult &) const = default;
};

/// The action of the node after an event.
enum class RetryAction {
    AnswerCaller, ///< Forward the backend server's own answer.
    RetryElsewhere, ///< Make another attempt on a server not tried yet, which costs a token.
    CancelFirst, ///< Send a cancel to the serving node, and pass its answer to decide().
    Wait, ///< Continue to wait for this attempt until the deadline.
    Refuse, ///< Send `refusal` to the caller at once.
    BreakOff, ///< End the caller's answer as an incomplete message.
};

std::string_view name(RetryAction action);

/// The decision of RetryPolicy after an event.
struct RetryDecision
{
    RetryAction action = RetryAction::Refuse;
    bool cancelPrevious = false; ///< Send a cancel to the earlier serving node, without waiting for its answer.
    Refusal refusal; ///< Set if the action is Refuse.
    std::string_view reason; ///< One short sentence for the log.

    auto operator<=>(const RetryDecision &) const = default;
};

/// The progress of one request over all its attempts. It is kept by the node and changed by RetryPolicy.
struct RequestProgress
{
    base::ServiceId service;
    base::WorkspaceId workspace;
    bool idempotent = false;
    bool hasIdempotencyKey = false;
    base::TimePoint deadline;
    int maxAttempts = 3; ///< Limit for serverAttempts, from the route.
    int nodeAttempts = 0; ///< Attempts sent to serving nodes so far; also the number of the present attempt.
    int serverAttempts = 0; ///< Those of nodeAttempts that reached or may have reached a backend server.
    /// An attempt may have had an effect, so that no later refusal may report not-run.
    bool mayHaveRun = false;

    auto operator<=>(const RequestProgress &) const = default;
};

/// Limits and timeouts of RetryPolicy.
struct RetrySettings
{
    /// Limit for the attempts of one request sent to serving nodes. Most are refused before they reach a backend
    /// server, and each costs a round trip. Of six drawn servers, one takes the request unless nearly all are full or
    /// ejected.
    int maxNodeAttempts = 6;
    base::Duration acknowledge = std::chrono::milliseconds(150); ///< Timeout; a node acknowledges before it queues.
    /// Multiple of the service's typical latency after which an acknowledged attempt counts as silent. 0: never, where
    /// the node beside the server detects a hang itself. To give up on a request that only takes long would run it once
    /// more.
    double answerTimeoutFactor = 4;
    base::Duration minAnswerTimeout = std::chrono::milliseconds(50);
    base::Duration cancel = std::chrono::milliseconds(500); ///< Timeout within which the node resends the cancel.
    base::Duration defaultRetryAfter = std::chrono::seconds(1);
};

/// The timeouts of the phases of the present attempt, counted from its start; that of the cancel from the cancel.
struct AttemptTimeouts
{
    base::Duration acknowledge{0};
    base::Duration answer{0};
    base::Duration cancel{0};

    auto operator<=>(const AttemptTimeouts &) const = default;
};

/// Decides after each event of an attempt whether to answer, wait, cancel, retry or refuse.
///
/// Idempotent requests are retried on another server; the servers accept retries within their RetryBudget. All others
/// are retried only on proof that no attempt ran: a connection refused before a byte was written, a refusal by the
/// serving node, or a cancel answered with `never started`.
class RetryPolicy
{
public:
    explicit RetryPolicy(const base::Clock &clock, RetrySettings settings = {});

    /// Counts an attempt; to be called as each attempt is sent.
    static void beginAttempt(RequestProgress &progress);

    RetryDecision decide(RequestProgress &progress, const AttemptResult &result) const;

    /// Returns the refusal after a RetryElsewhere that can't be carried out (no server left, or no token). Its outcome
    /// covers all attempts.
    Refusal refusalFor(const RequestProgress &progress, base::ResultCode code, base::Duration retryAfter) const;

    /// Returns the timeouts of the present attempt. `typicalLatency` of the service includes queueing; if it is not
    /// known (0), the rule of the last attempt applies, which waits until the deadline. A request with attempts left
    /// waits for a silent server only a part of its time.
    AttemptTimeouts timeouts(const RequestProgress &progress, base::Duration typicalLatency) const;

private:
    RetryDecision onProvenNotRun(RequestProgress &progress, const AttemptResult &result) const;
    RetryDecision onPossibleRun(RequestProgress &progress, const AttemptResult &result) const;
    RetryDecision onSilence(RequestProgress &progress, const AttemptResult &result) const;
    RetryDecision refuse(const RequestProgress &progress,
                         base::ResultCode code,
                         base::Duration retryAfter,
                         std::string_view reason) const;
    bool mayTryAgain(const RequestProgress &progress) const;

    const base::Clock &m_clock;
    RetrySettings m_settings;
};

}
