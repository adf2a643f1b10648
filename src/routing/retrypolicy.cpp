#include "papayastep/routing/retrypolicy.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

using base::ResultCode;

constexpr std::string_view noAttemptLeft = "No attempt is left.";

/// Returns whether another server would refuse the request too, since the request, the key or the entry is at fault.
bool isFinal(ResultCode code)
{
    switch (code) {
    case ResultCode::HopRevisionBehind:
    case ResultCode::HopUnauthenticated:
    case ResultCode::HopMalformed:
    case ResultCode::KeyUnknown:
    case ResultCode::RouteUnknown:
    case ResultCode::RequestMalformed:
    case ResultCode::RequestBodyTooLarge:
    case ResultCode::DeadlineExceeded:
    case ResultCode::RequestEndsServers:
        return true;
    default:
        return false;
    }
}

/// Returns whether the same request would be refused again at any later time.
bool isPermanent(ResultCode code)
{
    switch (code) {
    case ResultCode::KeyUnknown:
    case ResultCode::RouteUnknown:
    case ResultCode::RequestMalformed:
    case ResultCode::RequestBodyTooLarge:
    case ResultCode::HopMalformed:
    case ResultCode::AnswerTooLarge:
        return true;
    default:
        return false;
    }
}

/// Returns whether the serving node refused the attempt before the backend server received it. Such an attempt costs
/// the server nothing, and does not count for the number of servers that the route allows.
bool neverReachedServer(const AttemptResult &result)
{
    const bool byServer
        = result.code == ResultCode::HopBackendServerShed || result.code == ResultCode::HopBackendServerReplaced;
    return !(result.event == AttemptEvent::RefusedNotRun && byServer);
}

/// Returns the code for the caller of an attempt that failed and may have run.
ResultCode unknownOutcomeCode(const AttemptResult &result)
{
    if (result.event != AttemptEvent::Partial) {
        return ResultCode::OutcomeUnknown;
    }
    const bool isInvalid = result.code == ResultCode::AnswerStatusInvalid;
    return isInvalid ? ResultCode::AnswerStatusInvalid : ResultCode::AnswerIncomplete;
}

RetryDecision decisionOf(RetryAction action, std::string_view reason)
{
    return RetryDecision{action, false, {}, reason};
}

}

std::string_view name(AttemptEvent event)
{
    switch (event) {
    case AttemptEvent::ConnectionRefused:
        return "connection-refused";
    case AttemptEvent::NotAcknowledged:
        return "not-acknowledged";
    case AttemptEvent::AcknowledgedThenSilent:
        return "acknowledged-then-silent";
    case AttemptEvent::RefusedNotRun:
        return "refused-not-run";
    case AttemptEvent::ShedByServer:
        return "shed-by-server";
    case AttemptEvent::ServerError:
        return "server-error";
    case AttemptEvent::Partial:
        return "partial";
    case AttemptEvent::PartialForwarded:
        return "partial-forwarded";
    case AttemptEvent::Complete:
        return "complete";
    case AttemptEvent::DeadlinePassed:
        return "deadline-passed";
    case AttemptEvent::CancelNeverStarted:
        return "cancel-never-started";
    case AttemptEvent::CancelStarted:
        return "cancel-started";
    case AttemptEvent::CancelDone:
        return "cancel-done";
    case AttemptEvent::CancelUnanswered:
        return "cancel-unanswered";
    case AttemptEvent::CallerGone:
        return "caller-gone";
    }
    return "unknown";
}

std::string_view name(RetryAction action)
{
    switch (action) {
    case RetryAction::AnswerCaller:
        return "answer-caller";
    case RetryAction::RetryElsewhere:
        return "retry-elsewhere";
    case RetryAction::CancelFirst:
        return "cancel-first";
    case RetryAction::Wait:
        return "wait";
    case RetryAction::Refuse:
        return "refuse";
    case RetryAction::BreakOff:
        return "break-off";
    }
    return "unknown";
}

RetryPolicy::RetryPolicy(const base::Clock &clock, RetrySettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

void RetryPolicy::beginAttempt(RequestProgress &progress)
{
    ++progress.nodeAttempts;
    ++progress.serverAttempts;
}

bool RetryPolicy::mayTryAgain(const RequestProgress &progress) const
{
    return progress.serverAttempts < progress.maxAttempts && progress.nodeAttempts < m_settings.maxNodeAttempts
        && m_clock.now() < progress.deadline;
}

RetryDecision RetryPolicy::decide(RequestProgress &progress, const AttemptResult &result) const
{
    switch (result.event) {
    case AttemptEvent::ConnectionRefused:
    case AttemptEvent::CancelNeverStarted:
        return onProvenNotRun(progress, result);
    case AttemptEvent::RefusedNotRun:
        // A serving node that received the attempt before does not report what became of the first copy.
        return result.code == ResultCode::HopReplayed ? onPossibleRun(progress, result)
                                                      : onProvenNotRun(progress, result);
    case AttemptEvent::NotAcknowledged:
    case AttemptEvent::AcknowledgedThenSilent:
        return onSilence(progress, result);
    case AttemptEvent::ShedByServer:
    case AttemptEvent::ServerError:
    case AttemptEvent::Partial:
    case AttemptEvent::DeadlinePassed:
    case AttemptEvent::CancelUnanswered:
        return onPossibleRun(progress, result);
    case AttemptEvent::CancelStarted:
        // The attempt is still open: it may yet end with proof if the backend server refuses the connection.
        return decisionOf(RetryAction::Wait, "The attempt has started, so its answer is awaited.");
    case AttemptEvent::CancelDone:
        progress.mayHaveRun = true;
        return decisionOf(RetryAction::Wait, "The attempt has run, so its answer is awaited.");
    case AttemptEvent::PartialForwarded:
        progress.mayHaveRun = true;
        return decisionOf(RetryAction::BreakOff, "The answer was cut off after a part of it was forwarded.");
    case AttemptEvent::Complete:
        progress.mayHaveRun = true;
        return decisionOf(RetryAction::AnswerCaller, "The answer is complete.");
    case AttemptEvent::CallerGone:
        progress.mayHaveRun = true;
        return decisionOf(RetryAction::BreakOff, "The caller closed its connection.");
    }
    return refuse(progress, ResultCode::Internal, base::Duration::zero(), "The event is unknown.");
}

RetryDecision RetryPolicy::onProvenNotRun(RequestProgress &progress, const AttemptResult &result) const
{
    ResultCode code = result.code;
    if (code == ResultCode::Ok) {
        const bool refused = result.event == AttemptEvent::ConnectionRefused;
        code = refused ? ResultCode::NoBackendServer : ResultCode::HopUnacknowledged;
    }
    const bool free = neverReachedServer(result);
    progress.serverAttempts -= free ? 1 : 0;
    if (m_clock.now() >= progress.deadline) {
        return refuse(progress, ResultCode::DeadlineExceeded, result.retryAfter, "The deadline passed.");
    }
    if (isFinal(code)) {
        return refuse(progress, code, result.retryAfter, "Another backend server would refuse it too.");
    }
    if (progress.mayHaveRun && !progress.idempotent) {
        return refuse(progress, code, result.retryAfter, "An earlier attempt may have run.");
    }
    if (mayTryAgain(progress)) {
        return decisionOf(RetryAction::RetryElsewhere, "The attempt provably did not run.");
    }
    return refuse(progress, code, result.retryAfter, noAttemptLeft);
}

RetryDecision RetryPolicy::onSilence(RequestProgress &progress, const AttemptResult &result) const
{
    if (!progress.idempotent) {
        const bool acknowledged = result.event == AttemptEvent::AcknowledgedThenSilent;
        return decisionOf(RetryAction::CancelFirst,
                          acknowledged
                              ? "No answer came in time, and only a cancel shows whether it started."
                              : "No acknowledgement came in time, and only a cancel shows whether it started.");
    }
    if (!mayTryAgain(progress)) {
        return decisionOf(RetryAction::Wait, noAttemptLeft);
    }
    progress.mayHaveRun = true;
    RetryDecision decision
        = decisionOf(RetryAction::RetryElsewhere, "The attempt got no response and is safe to repeat.");
    decision.cancelPrevious = true;
    return decision;
}

RetryDecision RetryPolicy::onPossibleRun(RequestProgress &progress, const AttemptResult &result) const
{
    progress.mayHaveRun = true;
    const bool hasAnswer = result.event == AttemptEvent::ShedByServer || result.event == AttemptEvent::ServerError;
    if (result.event == AttemptEvent::DeadlinePassed) {
        RetryDecision decision
            = refuse(progress, ResultCode::DeadlineExceeded, result.retryAfter, "The deadline passed.");
        decision.cancelPrevious = true;
        return decision;
    }
    if (progress.idempotent && mayTryAgain(progress)) {
        return decisionOf(RetryAction::RetryElsewhere, "The attempt failed and is safe to repeat.");
    }
    if (hasAnswer) {
        return decisionOf(RetryAction::AnswerCaller,
                          progress.idempotent ? noAttemptLeft : "The request may not run twice.");
    }
    return refuse(progress, unknownOutcomeCode(result), result.retryAfter, "The attempt may have run.");
}

RetryDecision RetryPolicy::refuse(const RequestProgress &progress,
                                  ResultCode code,
                                  base::Duration retryAfter,
                                  std::string_view reason) const
{
    return RetryDecision{RetryAction::Refuse, false, refusalFor(progress, code, retryAfter), reason};
}

Refusal RetryPolicy::refusalFor(const RequestProgress &progress, ResultCode code, base::Duration retryAfter) const
{
    Refusal refusal;
    refusal.code = code;
    refusal.retryAfter = retryAfter > base::Duration::zero() ? retryAfter : m_settings.defaultRetryAfter;
    refusal.outcome = progress.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    if (refusal.outcome == Outcome::NotRun) {
        refusal.retryClass = progress.hasIdempotencyKey ? RetryClass::WithSameKey : RetryClass::Later;
    } else if (progress.idempotent) {
        refusal.retryClass = RetryClass::Later;
    } else if (progress.hasIdempotencyKey) {
        // The ledger records the key as running until the deadline, so an earlier repeat would only be refused.
        refusal.retryClass = RetryClass::WithSameKey;
        refusal.retryAfter = std::max(refusal.retryAfter, progress.deadline - m_clock.now());
    } else {
        refusal.retryClass = RetryClass::AfterCheck;
        refusal.retryAfter = base::Duration::zero();
    }
    const bool isPermanentRefusal = isPermanent(code) && refusal.outcome == Outcome::NotRun;
    if (isPermanentRefusal || code == ResultCode::RequestEndsServers) {
        refusal.retryClass = RetryClass::Never;
        refusal.retryAfter = base::Duration::zero();
    }
    return refusal;
}

AttemptTimeouts RetryPolicy::timeouts(const RequestProgress &progress, base::Duration typicalLatency) const
{
    const base::Duration remaining = std::max(progress.deadline - m_clock.now(), base::Duration::zero());
    AttemptTimeouts timeouts;
    timeouts.acknowledge = std::min(m_settings.acknowledge, remaining / 2);
    timeouts.cancel = std::min(m_settings.cancel, remaining);
    timeouts.answer = remaining;

    const bool isLast = progress.serverAttempts >= progress.maxAttempts;
    const bool neverSilent = m_settings.answerTimeoutFactor <= 0;
    if (isLast || neverSilent || typicalLatency <= base::Duration::zero()) {
        return timeouts;
    }
    const auto multiple = std::chrono::duration_cast<base::Duration>(typicalLatency * m_settings.answerTimeoutFactor);
    const base::Duration patience = std::min(std::max(multiple, m_settings.minAnswerTimeout), remaining / 2);
    // A timeout little longer than a typical answer would only cut the answer off.
    if (patience >= 2 * typicalLatency) {
        timeouts.answer = patience;
    }
    return timeouts;
}

}
