#include "papayastep/health/grayfailureestimator.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

/// Never quite sure that a server is well, so that a change is always seen.
constexpr double leastGray = 0.001;

double perSecond(base::Duration mean)
{
    return 1 / std::chrono::duration<double>(mean).count();
}

/// Share of time that spells take in the long run.
double shareOfSpells(const GrayFailureEstimatorSettings &settings)
{
    const double begin = perSecond(settings.meanHealthyTime);
    return begin / (begin + perSecond(settings.meanGrayTime));
}

}

GrayFailureEstimator::GrayFailureEstimator(base::TimePoint now, const GrayFailureEstimatorSettings &settings)
    : m_settings(settings)
    , m_probability(shareOfSpells(settings))
    , m_updated(now)
    , m_lastFailure(now)
{
}

void GrayFailureEstimator::recordEnd(RunEnd end, base::TimePoint now)
{
    switch (end) {
    case RunEnd::Answered:
        applyEvidence(
            1 - m_settings.grayFailureRate, 1 - m_settings.healthyErrorRate - m_settings.healthyBrokenRate, now);
        break;
    case RunEnd::Error:
        applyEvidence(m_settings.grayErrorRate, m_settings.healthyErrorRate, now);
        m_lastFailure = now;
        break;
    case RunEnd::Broken:
        applyEvidence(m_settings.grayFailureRate, m_settings.healthyBrokenRate, now);
        m_lastFailure = now;
        break;
    }
    updateEpisode(now);
}

void GrayFailureEstimator::recordOverdue(base::TimePoint now)
{
    applyEvidence(m_settings.grayOverdueRate, m_settings.healthyOverdueRate, now);
    m_lastFailure = now;
    updateEpisode(now);
}

/// Bayes' rule, on what the past makes likely by now.
void GrayFailureEstimator::applyEvidence(double ifGray, double ifWell, base::TimePoint now)
{
    const double prior = grayProbability(now);
    const double gray = prior * ifGray;
    m_probability = std::clamp(gray / (gray + (1 - prior) * ifWell), leastGray, m_settings.maxProbability);
    m_updated = now;
}

void GrayFailureEstimator::updateEpisode(base::TimePoint now)
{
    if (m_probability <= m_settings.trialThreshold) {
        m_episodeStart.reset();
    } else if (!m_episodeStart && m_probability > m_settings.holdThreshold) {
        m_episodeStart = now;
    }
}

void GrayFailureEstimator::setProbability(double probability, base::TimePoint now)
{
    m_probability = std::clamp(probability, leastGray, 1 - leastGray);
    m_updated = now;
}

/// A spell that has lasted for some time is expected to last as long again.
base::Duration GrayFailureEstimator::expectedGrayTime() const
{
    return m_episodeStart ? std::max(m_settings.meanGrayTime, m_lastFailure - *m_episodeStart)
                          : m_settings.meanGrayTime;
}

double GrayFailureEstimator::grayProbability(base::TimePoint now) const
{
    const double rest = shareOfSpells(m_settings);
    const double change = perSecond(m_settings.meanHealthyTime) + perSecond(expectedGrayTime());
    const double passed = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    return rest + (m_probability - rest) * std::exp(-change * passed);
}

bool GrayFailureEstimator::isHeld(base::TimePoint now) const
{
    return grayProbability(now) > m_settings.holdThreshold;
}

bool GrayFailureEstimator::admits(bool idempotent, bool scouted, base::TimePoint now) const
{
    const double probability = grayProbability(now);
    if (probability <= m_settings.trialThreshold) {
        return true;
    }
    if (!idempotent || scouted) {
        return false;
    }
    return probability <= m_settings.holdThreshold || now - m_updated >= m_settings.trialInterval;
}

bool GrayFailureEstimator::needsTrial(base::TimePoint now) const
{
    return grayProbability(now) > m_settings.trialThreshold;
}

}
