#include "papayastep/health/recoveryconfirmation.h"

#include <algorithm>

namespace papayastep::health {

namespace {

constexpr int maxDoublings = 8; ///< Bounds the exponent, so that the delay can't overflow.

}

RecoveryConfirmation::RecoveryConfirmation(const RecoverySettings &settings)
    : m_settings(settings)
{
}

void RecoveryConfirmation::begin(base::TimePoint now)
{
    if (!m_settings.isRequired || m_isPending) {
        return;
    }
    m_isPending = true;
    m_answersInARow = 0;
    m_answers = 0;
    m_failures = 1;
    m_heldSince = now;
    m_lastEvidence = now;
}

void RecoveryConfirmation::recordAnswer(base::TimePoint now)
{
    if (!m_isPending) {
        return;
    }
    ++m_answers;
    ++m_answersInARow;
    m_lastEvidence = now;
    m_isPending = m_answersInARow < m_settings.answersNeeded;
}

void RecoveryConfirmation::recordFailure(base::TimePoint now)
{
    if (!m_isPending) {
        return;
    }
    ++m_failures;
    m_answersInARow = 0;
    m_lastEvidence = now;
}

bool RecoveryConfirmation::isPending() const
{
    return m_isPending;
}

bool RecoveryConfirmation::admits(bool idempotent, bool trialInFlight, base::TimePoint now) const
{
    if (trialInFlight) {
        return false;
    }
    const base::Duration passed = now - m_lastEvidence;
    if (!idempotent) {
        return passed >= (m_answersInARow > 0 ? m_settings.trialInterval : riskyTrialDelay());
    }
    const base::Duration interval = m_failures > 2 ? m_settings.laterTrialInterval : m_settings.trialInterval;
    return m_answersInARow > 0 || passed >= interval;
}

RecoverySummary RecoveryConfirmation::summary() const
{
    return {m_answers, m_failures, m_lastEvidence - m_heldSince};
}

base::Duration RecoveryConfirmation::riskyTrialDelay() const
{
    const int doublings = std::clamp(m_failures - 1, 0, maxDoublings);
    return std::min(m_settings.firstRiskyTrial * (1 << doublings), m_settings.maxRiskyTrial);
}

}
