#include "attemptmonitor.h"

#include <algorithm>

namespace papayastep::node {

namespace {

/// Interval at which an unanswered cancel request is sent again. A lost request delays the caller by at most this time;
/// ten fit into the timeout for cancels (500 ms).
constexpr base::Duration cancelResendEvery = std::chrono::milliseconds(50);

using base::ResultCode;
using routing::AttemptEvent;

routing::ServerNotice noticeOf(const wire::HopReply &reply)
{
    routing::ServerNotice notice;
    notice.incarnation = reply.serverIncarnation;
    notice.isLeaving = reply.serverLeaving;
    if (reply.serverLimit >= 0) {
        notice.requestsPerSecond = reply.serverLimit;
    }
    return notice;
}

}

AttemptMonitor::AttemptMonitor(NodeContext &context, net::Signal &changed)
    : m_context(context)
    , m_changed(changed)
{
}

AttemptMonitor::~AttemptMonitor()
{
    abandon();
}

void AttemptMonitor::begin(AttemptPtr attempt, const routing::AttemptTimeouts &timeouts, net::ClientRequest request)
{
    abandon();
    m_attempt = std::move(attempt);
    m_timeouts = timeouts;
    m_reported.clear();
    m_resultTaken = false;
    m_cancelling = false;
    m_attempt->start(std::move(request), [this] { m_changed.notify(); });
}

net::Awaitable<routing::AttemptResult> AttemptMonitor::next(const base::TimePoint &deadline, const bool &callerGone)
{
    for (;;) {
        // The result is reported only once: after an attempt has ended without proof, a cancel request may follow,
        // during which the attempt stays finished.
        if (m_attempt->finished() && !m_resultTaken) {
            m_resultTaken = true;
            co_return attemptResult();
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

void AttemptMonitor::beginCancel(bool stop)
{
    m_cancelling = true;
    m_cancelStopsAttempt = stop;
    m_cancelSince = m_context.clock.now();
    m_cancelSentAt = m_cancelSince;
    m_attempt->requestCancel(stop);
}

void AttemptMonitor::abandon()
{
    if (m_attempt) {
        m_attempt->abandon();
        m_attempt.reset();
    }
}

AttemptPtr AttemptMonitor::release()
{
    return std::exchange(m_attempt, nullptr);
}

Attempt *AttemptMonitor::attempt() const
{
    return m_attempt.get();
}

const base::BackendServerId &AttemptMonitor::advice() const
{
    return m_advice;
}

routing::AttemptResult AttemptMonitor::attemptResult()
{
    if (m_attempt->hopFailed()) {
        const auto event = m_attempt->neverSent() ? AttemptEvent::ConnectionRefused
            : m_attempt->acknowledged()           ? AttemptEvent::Partial
                                                  : AttemptEvent::NotAcknowledged;
        return {event, ResultCode::HopUnacknowledged, {}};
    }
    const ServedAnswer &answer = m_attempt->answer();
    const auto code = static_cast<ResultCode>(answer.reply.code);
    m_advice = answer.reply.advice;
    m_context.gray.update(m_attempt->hop().server, answer.reply.grayPercent / 100.0);
    if (answer.reply.hasServerNotice) {
        m_context.announcements.record(m_attempt->hop().server, noticeOf(answer.reply));
    }
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

std::optional<routing::AttemptResult> AttemptMonitor::cancelResult(base::TimePoint now)
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
        // The attempt has run or is running. Its answer is still awaited unless the hop has failed.
        if (m_attempt->finished()) {
            return routing::AttemptResult{AttemptEvent::Partial, ResultCode::AnswerIncomplete, {}};
        }
        return routing::AttemptResult{AttemptEvent::CancelStarted, ResultCode::Ok, {}};
    case routing::CancelAnswer::HandedOver:
    case routing::CancelAnswer::Unconfirmed:
        break;
    }
    return routing::AttemptResult{AttemptEvent::CancelUnanswered, ResultCode::OutcomeUnknown, {}};
}

std::optional<routing::AttemptResult> AttemptMonitor::timeoutReached(base::TimePoint now, base::TimePoint deadline)
{
    if (now >= deadline) {
        return reportOnce(AttemptEvent::DeadlinePassed, ResultCode::DeadlineExceeded);
    }
    const auto age = now - m_attempt->startedAt();
    if (m_cancelling) {
        return std::nullopt;
    }
    if (!m_attempt->acknowledged() && age >= m_timeouts.acknowledge) {
        if (auto result = reportOnce(AttemptEvent::NotAcknowledged, ResultCode::HopUnacknowledged)) {
            return result;
        }
    }
    if (m_attempt->acknowledged() && (m_attempt->reportedHanging() || age >= m_timeouts.answer)) {
        return reportOnce(AttemptEvent::AcknowledgedThenSilent, ResultCode::DeadlineExceeded);
    }
    return std::nullopt;
}

std::optional<routing::AttemptResult> AttemptMonitor::reportOnce(AttemptEvent event, ResultCode code)
{
    if (!m_reported.insert(event).second) {
        return std::nullopt;
    }
    return routing::AttemptResult{event, code, {}};
}

base::TimePoint AttemptMonitor::nextTimeout(base::TimePoint deadline) const
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
        consider(m_cancelSentAt + cancelResendEvery);
    }
    return std::max(next, now + std::chrono::microseconds(100));
}

void AttemptMonitor::resendCancel(base::TimePoint now)
{
    if (m_cancelling && now - m_cancelSentAt >= cancelResendEvery) {
        m_cancelSentAt = now;
        m_attempt->requestCancel(m_cancelStopsAttempt);
    }
}

}
