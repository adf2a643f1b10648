#include "papayastep/health/failurefilter.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

/// Never quite sure of either state, so that a change is always seen.
constexpr double surest = 0.999;

double perSecond(base::Duration mean)
{
    return 1 / std::chrono::duration<double>(mean).count();
}

/// Share of time that spells take in the long run.
double shareOfSpells(const FailureFilterSettings &settings)
{
    const double begin = perSecond(settings.meanWell);
    return begin / (begin + perSecond(settings.meanGray));
}

}

FailureFilter::FailureFilter(base::TimePoint now, const FailureFilterSettings &settings)
    : m_settings(settings)
    , m_probability(shareOfSpells(settings))
    , m_updated(now)
{
}

void FailureFilter::noteOutcome(bool failed, base::TimePoint now)
{
    const double ifGray = failed ? m_settings.grayFailures : 1 - m_settings.grayFailures;
    const double ifWell = failed ? m_settings.wellFailures : 1 - m_settings.wellFailures;
    weigh(ifGray, ifWell, now);
}

void FailureFilter::noteOverdue(base::TimePoint now)
{
    weigh(m_settings.grayOverdue, m_settings.wellOverdue, now);
}

/// Bayes' rule, on what the past makes likely by now.
void FailureFilter::weigh(double ifGray, double ifWell, base::TimePoint now)
{
    const double prior = grayProbability(now);
    const double gray = prior * ifGray;
    m_probability = std::clamp(gray / (gray + (1 - prior) * ifWell), 1 - surest, surest);
    m_updated = now;
}

void FailureFilter::assume(double probability, base::TimePoint now)
{
    m_probability = std::clamp(probability, 1 - surest, surest);
    m_updated = now;
}

double FailureFilter::grayProbability(base::TimePoint now) const
{
    const double rest = shareOfSpells(m_settings);
    const double change = perSecond(m_settings.meanWell) + perSecond(m_settings.meanGray);
    const double passed = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    return rest + (m_probability - rest) * std::exp(-change * passed);
}

bool FailureFilter::isHeld(base::TimePoint now) const
{
    return grayProbability(now) > m_settings.holdAbove;
}

bool FailureFilter::isOnTrial(base::TimePoint now) const
{
    const double probability = grayProbability(now);
    return probability > m_settings.trialAbove && probability <= m_settings.holdAbove;
}

}
