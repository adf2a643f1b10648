#include "attemptwatch.h"

#include <algorithm>

namespace papayastep::node {

namespace {

/// A lost cancel costs the caller at most this long; five fit into the time that is given to a cancel (500 ms).
constexpr base::Duration cancelResendEvery = std::chrono::milliseconds(50);

using base::ResultCode;
using routing::AttemptEvent;

}

AttemptWatch::AttemptWatch(NodeContext &context, net::Signal &changed)
    : m_context(context)
    , m_changed(changed)
{
}

AttemptWatch::~AttemptWatch()
{
    abandon();
}

void AttemptWatch::begin(AttemptPtr attempt, const routing::AttemptTimeouts &timeouts, net::ClientRequest request)
{
    abandon();
    m_attempt = std::move(attempt);
    m_timeouts = timeouts;
    m_reported.clear();
    m_resultTaken = false;
    m_cancelling = false;
    m_attempt->start(std::move(request), [this] { m_changed.notify(); });
}

net::Awaitable<routing::AttemptResult> AttemptWatch::next(const base::TimePoint &deadline, const bool &callerGone)
{
    for (;;) {
        // Taken once: an attempt that ended without proof goes on to a cancel, and stays ended while that is asked for.
        if (m_attempt->finished() && !m_resultTaken) {
            m_resultTaken = true;
            co_return resultOfAttempt();
        }
        const auto now = m_context.clock.now();
        if (callerGone) {
            const routing::AttemptResult gone{AttemptEvent::CallerGone, ResultCode::Ok, {}};
            co_return gone;
        }
        if (const auto result = cancelResult(now)) {
            co_return *result;
        }
        if (const auto result = timeoutReached(now, deadline)) {
            co_return *result;
        }
        resendCancel(now);
        co_await m_changed.waitUntil(nextTimeout(deadline));
    }
}

void AttemptWatch::beginCancel(bool stop)
{
    m_cancelling = true;
    m_cancelStops = stop;
    m_cancelSince = m_context.clock.now();
    m_cancelSent = m_cancelSince;
    m_attempt->requestCancel(stop);
}

void AttemptWatch::abandon()
{
    if (m_attempt) {
        m_attempt->abandon();
        m_attempt.reset();
    }
}

AttemptPtr AttemptWatch::release()
{
    return std::exchange(m_attempt, nullptr);
}

Attempt *AttemptWatch::attempt() const
{
    return m_attempt.get();
}

const base::BackendServerId &AttemptWatch::advice() const
{
    return m_advice;
}

routing::AttemptResult AttemptWatch::resultOfAttempt()
{
    if (m_attempt->linkFailed()) {
        const auto event = m_attempt->neverSent() ? AttemptEvent::ConnectionRefused
            : m_attempt->acknowledged()           ? AttemptEvent::Partial
                                                  : AttemptEvent::NotAcknowledged;
        return {event, ResultCode::HopUnacknowledged, {}};
    }
    const ServedAnswer &answer = m_attempt->answer();
    const auto code = static_cast<ResultCode>(answer.reply.code);
    m_advice = answer.reply.advice;
    m_context.gray.update(m_attempt->hop().server, answer.reply.grayPercent / 100.0);
    switch (answer.outcome()) {
    case wire::HopOutcome::NotRun:
        return {AttemptEvent::RefusedNotRun, code, std::chrono::milliseconds(answer.reply.retryAfterMs)};
    case wire::HopOutcome::Answered: {
        const unsigned status = answer.head.result_int();
        if (status == 503 || status == 429) {
            return {AttemptEvent::ShedByServer, ResultCode::HopBackendServerShed, {}};
        }
        return {status >= 500 ? AttemptEvent::ServerError : AttemptEvent::Complete, ResultCode::Ok, {}};
    }
    default:
        return {code == ResultCode::DeadlineExceeded ? AttemptEvent::DeadlinePassed : AttemptEvent::Partial, code, {}};
    }
}

std::optional<routing::AttemptResult> AttemptWatch::cancelResult(base::TimePoint now)
{
    if (!m_cancelling) {
        return std::nullopt;
    }
    if (!m_attempt->cancelAnswer()) {
        if (now < m_cancelSince + m_timeouts.cancel) {
            return std::nullopt;
        }
        m_cancelling = false;
        return routing::AttemptResult{AttemptEvent::CancelUnanswered, ResultCode::OutcomeUnknown, {}};
    }
    m_cancelling = false;
    switch (*m_attempt->cancelAnswer()) {
    case routing::CancelAnswer::NeverStarted:
        return routing::AttemptResult{AttemptEvent::CancelNeverStarted, ResultCode::HopCancelled, {}};
    case routing::CancelAnswer::Started:
    case routing::CancelAnswer::Done:
        // It has run or is running. Its answer is awaited, but over a broken hop none will ever come.
        if (m_attempt->finished()) {
            return routing::AttemptResult{AttemptEvent::Partial, ResultCode::AnswerIncomplete, {}};
        }
        return routing::AttemptResult{AttemptEvent::CancelStarted, ResultCode::Ok, {}};
    case routing::CancelAnswer::HandedOver:
    case routing::CancelAnswer::NoPromise:
        break;
    }
    return routing::AttemptResult{AttemptEvent::CancelUnanswered, ResultCode::OutcomeUnknown, {}};
}

std::optional<routing::AttemptResult> AttemptWatch::timeoutReached(base::TimePoint now, base::TimePoint deadline)
{
    if (now >= deadline) {
        return once(AttemptEvent::DeadlinePassed, ResultCode::DeadlineExceeded);
    }
    const auto age = now - m_attempt->startedAt();
    if (m_cancelling) {
        return std::nullopt;
    }
    if (!m_attempt->acknowledged() && age >= m_timeouts.acknowledge) {
        if (auto result = once(AttemptEvent::NotAcknowledged, ResultCode::HopUnacknowledged)) {
            return result;
        }
    }
    if (m_attempt->acknowledged() && (m_attempt->suspect() || age >= m_timeouts.answer)) {
        return once(AttemptEvent::AcknowledgedThenSilent, ResultCode::DeadlineExceeded);
    }
    return std::nullopt;
}

std::optional<routing::AttemptResult> AttemptWatch::once(AttemptEvent event, ResultCode code)
{
    if (!m_reported.insert(event).second) {
        return std::nullopt;
    }
    return routing::AttemptResult{event, code, {}};
}

base::TimePoint AttemptWatch::nextTimeout(base::TimePoint deadline) const
{
    base::TimePoint next = deadline;
    const auto now = m_context.clock.now();
    const auto consider = [&](base::TimePoint due) {
        if (due > now) {
            next = std::min(next, due);
        }
    };
    consider(m_attempt->startedAt() + m_timeouts.acknowledge);
    consider(m_attempt->startedAt() + m_timeouts.answer);
    if (m_cancelling) {
        consider(m_cancelSince + m_timeouts.cancel);
        consider(m_cancelSent + cancelResendEvery);
    }
    return std::max(next, now + std::chrono::microseconds(100));
}

void AttemptWatch::resendCancel(base::TimePoint now)
{
    if (m_cancelling && now - m_cancelSent >= cancelResendEvery) {
        m_cancelSent = now;
        m_attempt->requestCancel(m_cancelStops);
    }
}

}
