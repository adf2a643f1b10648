#include "papayastep/health/serverhold.h"

#include <utility>

namespace papayastep::health {

namespace {

/// Probabilities that are reported while a recovery has to be confirmed. With the first one, entries offer the server
/// trial requests. The second one keeps them from it until about the time of the next trial, as entries let a reported
/// probability decay.
constexpr double trialDueProbability = GrayFailureEstimatorSettings().trialThreshold + 0.05;
constexpr double trialNotDueProbability = 0.75;

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

ServerHold::ServerHold(base::TimePoint now, const RecoverySettings &recovery)
    : m_estimator(now)
    , m_recovery(recovery)
{
}

bool ServerHold::admits(bool idempotent, base::TimePoint now) const
{
    if (m_recovery.isPending()) {
        return m_recovery.admits(idempotent, m_trialAttempt.has_value(), now);
    }
    return m_estimator.admits(idempotent, m_trialAttempt.has_value(), now);
}

void ServerHold::started(const AttemptKey &attempt, base::TimePoint now)
{
    if (!m_trialAttempt && (m_recovery.isPending() || m_estimator.needsTrial(now))) {
        m_trialAttempt = attempt;
    }
}

HoldChange ServerHold::ended(const AttemptKey &attempt,
                             AttemptOutcome outcome,
                             double relativeTime,
                             base::TimePoint now)
{
    const bool isTrial = m_trialAttempt == attempt;
    if (isTrial) {
        m_trialAttempt.reset();
    }
    const auto end = evidenceOf(outcome);
    if (!end) {
        return HoldChange::None;
    }
    const bool wasHeld = m_estimator.isHeld(now);
    m_estimator.recordEnd(*end, relativeTime, now);
    if (*end == RunEnd::Answered) {
        return recordAnswer(isTrial, now);
    }
    m_recovery.recordFailure(now);
    if (m_estimator.isHeld(now)) {
        m_recovery.begin(now);
    }
    return holdIfGray(wasHeld, now);
}

HoldChange ServerHold::recordAnswer(bool isTrial, base::TimePoint now)
{
    if (isTrial) {
        m_recovery.recordAnswer(now);
    }
    if (m_recovery.isPending()) {
        return HoldChange::None;
    }
    return std::exchange(m_heldBack, false) ? HoldChange::Returned : HoldChange::None;
}

HoldChange ServerHold::recordOverdue(base::TimePoint now)
{
    const bool wasHeld = m_estimator.isHeld(now);
    m_estimator.recordOverdue(now);
    m_recovery.recordFailure(now);
    return holdIfGray(wasHeld, now);
}

HoldChange ServerHold::holdIfGray(bool wasHeld, base::TimePoint now)
{
    if (wasHeld || !m_estimator.isHeld(now)) {
        return HoldChange::None;
    }
    return std::exchange(m_heldBack, true) && m_recovery.isPending() ? HoldChange::None : HoldChange::Held;
}

double ServerHold::grayProbability(base::TimePoint now) const
{
    if (!m_recovery.isPending()) {
        return m_estimator.grayProbability(now);
    }
    return admits(true, now) ? trialDueProbability : trialNotDueProbability;
}

bool ServerHold::isHeldBack() const
{
    return m_heldBack;
}

const RecoveryConfirmation &ServerHold::recovery() const
{
    return m_recovery;
}

}
