#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/routing/outcome.h"
#include "papayastep/routing/retrybudget.h"

#include <string_view>

/// What happens after each attempt of a request.
namespace papayastep::routing {

/// How an attempt ended, or what was heard of it.
enum class AttemptEvent {
    ConnectionRefused, ///< No connection to the serving node; not a byte of the request was written.
    NotAcknowledged, ///< Sent, and no word from the serving node within AttemptTimeouts::acknowledge.
    AcknowledgedThenSilent, ///< The serving node has it, and no answer came within AttemptTimeouts::answer.
    RefusedNotRun, ///< The serving node says it did not and will not start it (with code and perhaps a wait).
    ShedByServer, ///< The backend server itself answered 503 or 429, whole.
    ServerError, ///< Another 5xx answer, whole.
    Partial, ///< The answer broke off, and none of it went to the caller.
    PartialForwarded, ///< The answer broke off after a part of it went to the caller.
    Complete, ///< Any other whole answer.
    DeadlinePassed, ///< The request's deadline passed while the attempt was open.
    CancelNeverStarted, ///< Cancel answered: never started, never will.
    CancelStarted, ///< Cancel answered: too late, it is running.
    CancelDone, ///< Cancel answered: it has run to its end.
    CancelUnanswered, ///< No answer to the cancel within AttemptTimeouts::cancel.
    CallerGone, ///< The caller closed its connection; nobody waits for an answer.
};

std::string_view name(AttemptEvent event);

struct AttemptResult
{
    AttemptEvent event = AttemptEvent::Complete;
    base::ResultCode code = base::ResultCode::Ok; ///< For RefusedNotRun.
    base::Duration retryAfter{0}; ///< As the other side asked.

    auto operator<=>(const AttemptResult &) const = default;
};

enum class RetryAction {
    AnswerCaller, ///< Pass on the backend server's own answer.
    RetryElsewhere, ///< Another attempt on a server not tried yet (pays a token).
    CancelFirst, ///< Ask the serving node to cancel, and report what it says.
    Wait, ///< Keep waiting for this attempt until the deadline.
    Refuse, ///< Give the caller `refusal` at once.
    BreakOff, ///< End the caller's answer as a broken message.
};

std::string_view name(RetryAction action);

struct RetryDecision
{
    RetryAction action = RetryAction::Refuse;
    bool cancelPrevious = false; ///< With RetryElsewhere: tell the earlier serving node, without waiting.
    Refusal refusal; ///< With Refuse.
    std::string_view reason; ///< One short sentence for the log.

    auto operator<=>(const RetryDecision &) const = default;
};

/// What is known of one request over all its attempts. Kept by the node, changed by RetryPolicy.
struct RequestProgress
{
    base::ServiceId service;
    base::WorkspaceId workspace;
    bool idempotent = false;
    bool hasIdempotencyKey = false;
    base::TimePoint deadline;
    int maxAttempts = 3; ///< As the route says.
    int nodeAttempts = 0; ///< Serving nodes asked so far; the number names the attempt.
    int serverAttempts = 0; ///< Of these, the ones that reached or may have reached a backend server.
    /// Some attempt may have had an effect, so that no later refusal may say not-run.
    bool mayHaveRun = false;

    auto operator<=>(const RequestProgress &) const = default;
};

struct RetrySettings
{
    /// Nodes asked for one request, most of which refuse before their backend server gets it. Each costs a round trip;
    /// of six drawn servers one takes the request unless nearly all are full or ejected.
    int maxNodeAttempts = 6;
    base::Duration acknowledge = std::chrono::milliseconds(150); ///< A node acknowledges before it queues.
    /// Of the service's typical latency, after which an acknowledged attempt counts as silent. 0: never, where the node
    /// beside the server sees a hang itself. A request that simply takes long is only run once more by giving up on it.
    double answerTimeoutFactor = 4;
    base::Duration minAnswerTimeout = std::chrono::milliseconds(50);
    base::Duration cancel = std::chrono::milliseconds(500); ///< The node resends the cancel within it.
    base::Duration defaultRetryAfter = std::chrono::seconds(1);
};

/// How long to wait in each phase of the present attempt, counted from its start (cancel: from the cancel).
struct AttemptTimeouts
{
    base::Duration acknowledge{0};
    base::Duration answer{0};
    base::Duration cancel{0};

    auto operator<=>(const AttemptTimeouts &) const = default;
};

/// Idempotent requests are retried on another server within the budget. All others only on proof that no attempt
/// ran: a connection refused before a byte was written, a refusal by the serving node, or a cancel answered
/// `never started`.
class RetryPolicy
{
public:
    RetryPolicy(const base::Clock &clock, RetryBudget &budget, RetrySettings settings = {});

    /// Call as each attempt goes out; counts the first for the budget.
    void beginAttempt(RequestProgress &progress);

    RetryDecision decide(RequestProgress &progress, const AttemptResult &result);

    /// After a RetryElsewhere that can't be done (no server left, or no token): the refusal, true over all attempts.
    Refusal refusalFor(const RequestProgress &progress, base::ResultCode code, base::Duration retryAfter) const;

    /// `typicalLatency` of the service, queueing included; 0 where not known: then the last attempt's rule holds,
    /// to wait until the deadline. A request with attempts left gives a silent server only a part of its time.
    AttemptTimeouts timeouts(const RequestProgress &progress, base::Duration typicalLatency) const;

private:
    RetryDecision onProvenNotRun(RequestProgress &progress, const AttemptResult &result);
    RetryDecision onPossibleRun(RequestProgress &progress, const AttemptResult &result);
    RetryDecision onSilence(RequestProgress &progress, const AttemptResult &result);
    RetryDecision refuse(const RequestProgress &progress,
                         base::ResultCode code,
                         base::Duration retryAfter,
                         std::string_view reason) const;
    bool mayTryAgain(const RequestProgress &progress) const;
    std::string_view whyNoRetry(const RequestProgress &progress) const;
    /// Whether another attempt may follow that a backend server gets beyond the first; takes it from the budget.
    bool takeRetry(const RequestProgress &progress);

    const base::Clock &m_clock;
    RetryBudget &m_budget;
    RetrySettings m_settings;
};

}
