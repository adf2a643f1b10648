#include "papayastep/health/serverhold.h"

#include <utility>

namespace papayastep::health {

namespace {

/// Returns the evidence about the server in the end of an attempt; empty if the cause is load or outside the server.
std::optional<RunEnd> evidenceOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Success:
        return RunEnd::Answered;
    case AttemptOutcome::Error:
        return RunEnd::Error;
    case AttemptOutcome::Partial:
        return RunEnd::Broken;
    case AttemptOutcome::Timeout:
        return RunEnd::TimedOut;
    case AttemptOutcome::CallFailed:
    case AttemptOutcome::ConnectionRefused:
    case AttemptOutcome::Shed:
    case AttemptOutcome::CancelledByUs:
        return std::nullopt;
    }
    return std::nullopt;
}

}

ServerHold::ServerHold(base::TimePoint now)
    : m_estimator(now)
{
}

bool ServerHold::admits(bool idempotent, base::TimePoint now) const
{
    return m_estimator.admits(idempotent, m_trialAttempt.has_value(), now);
}

void ServerHold::started(const AttemptKey &attempt, base::TimePoint now)
{
    if (!m_trialAttempt && m_estimator.needsTrial(now)) {
        m_trialAttempt = attempt;
    }
}

HoldChange ServerHold::ended(const AttemptKey &attempt,
                             AttemptOutcome outcome,
                             double relativeTime,
                             base::TimePoint now)
{
    if (m_trialAttempt == attempt) {
        m_trialAttempt.reset();
    }
    const auto end = evidenceOf(outcome);
    if (!end) {
        return HoldChange::None;
    }
    const bool wasHeld = m_estimator.isHeld(now);
    m_estimator.recordEnd(*end, relativeTime, now);
    if (*end != RunEnd::Answered) {
        return recordFailure(wasHeld, now);
    }
    return std::exchange(m_heldBack, false) ? HoldChange::Returned : HoldChange::None;
}

HoldChange ServerHold::recordOverdue(base::TimePoint now)
{
    const bool wasHeld = m_estimator.isHeld(now);
    m_estimator.recordOverdue(now);
    return recordFailure(wasHeld, now);
}

HoldChange ServerHold::recordFailure(bool wasHeld, base::TimePoint now)
{
    if (wasHeld || !m_estimator.isHeld(now)) {
        return HoldChange::None;
    }
    m_heldBack = true;
    return HoldChange::Held;
}

double ServerHold::grayProbability(base::TimePoint now) const
{
    return m_estimator.grayProbability(now);
}

bool ServerHold::isHeldBack() const
{
    return m_heldBack;
}

}
