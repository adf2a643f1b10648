#include "papayastep/health/grayfailureestimator.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

/// Lower bound of the probability, so that a change can always be detected.
constexpr double minProbability = 0.001;

double perSecond(base::Duration mean)
{
    return 1 / std::chrono::duration<double>(mean).count();
}

/// Long-term share of time that gray failures take.
double grayTimeShare(const GrayFailureEstimatorSettings &settings)
{
    const double begin = perSecond(settings.meanHealthyTime);
    return begin / (begin + perSecond(settings.meanGrayTime));
}

}

GrayFailureEstimator::GrayFailureEstimator(base::TimePoint now, const GrayFailureEstimatorSettings &settings)
    : m_settings(settings)
    , m_probability(grayTimeShare(settings))
    , m_updated(now)
    , m_lastFailure(now)
{
}

void GrayFailureEstimator::recordEnd(RunEnd end, double relativeTime, base::TimePoint now)
{
    switch (end) {
    case RunEnd::Answered:
        applyEvidence(
            1 - m_settings.grayFailureRate, 1 - m_settings.healthyErrorRate - m_settings.healthyBrokenRate, now);
        break;
    case RunEnd::Error:
        if (relativeTime < m_settings.immediateErrorTime) {
            applyEvidence(m_settings.grayImmediateErrorRate, m_settings.healthyImmediateErrorRate, now);
        } else {
            applyEvidence(m_settings.grayErrorRate, m_settings.healthyErrorRate, now);
        }
        m_lastFailure = now;
        break;
    case RunEnd::Broken:
        applyEvidence(m_settings.grayFailureRate, m_settings.healthyBrokenRate, now);
        m_lastFailure = now;
        break;
    case RunEnd::TimedOut:
        // A deadline that leaves little more than the usual run time passes at a healthy server, too.
        applyEvidence(m_settings.grayOverdueRate, std::min(m_settings.grayOverdueRate, std::exp(-relativeTime)), now);
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

/// Applies Bayes' rule with the estimate for `now` as the prior.
void GrayFailureEstimator::applyEvidence(double likelihoodIfGray, double likelihoodIfHealthy, base::TimePoint now)
{
    const double prior = grayProbability(now);
    const double gray = prior * likelihoodIfGray;
    m_probability
        = std::clamp(gray / (gray + (1 - prior) * likelihoodIfHealthy), minProbability, m_settings.maxProbability);
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
    m_probability = std::clamp(probability, minProbability, 1 - minProbability);
    m_updated = now;
}

/// A gray failure that has lasted for some time is expected to last as long again.
base::Duration GrayFailureEstimator::expectedGrayTime() const
{
    return m_episodeStart ? std::max(m_settings.meanGrayTime, m_lastFailure - *m_episodeStart)
                          : m_settings.meanGrayTime;
}

double GrayFailureEstimator::grayProbability(base::TimePoint now) const
{
    const double longTerm = grayTimeShare(m_settings);
    const double change = perSecond(m_settings.meanHealthyTime) + perSecond(expectedGrayTime());
    const double passed = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    return longTerm + (m_probability - longTerm) * std::exp(-change * passed);
}

bool GrayFailureEstimator::isHeld(base::TimePoint now) const
{
    return grayProbability(now) > m_settings.holdThreshold;
}

bool GrayFailureEstimator::admits(bool idempotent, bool trialInFlight, base::TimePoint now) const
{
    const double probability = grayProbability(now);
    if (probability <= m_settings.trialThreshold) {
        return true;
    }
    if (!idempotent || trialInFlight) {
        return false;
    }
    return probability <= m_settings.holdThreshold || now - m_updated >= m_settings.trialInterval;
}

bool GrayFailureEstimator::needsTrial(base::TimePoint now) const
{
    return grayProbability(now) > m_settings.trialThreshold;
}

}
