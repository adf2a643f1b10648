#include "papayastep/health/failurefilter.h"

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
    , m_lastFailure(now)
{
}

void FailureFilter::noteEnd(RunEnd end, base::TimePoint now)
{
    switch (end) {
    case RunEnd::Answered:
        weigh(1 - m_settings.grayFailures, 1 - m_settings.wellErrors - m_settings.wellBreaks, now);
        break;
    case RunEnd::Error:
        weigh(m_settings.grayErrors, m_settings.wellErrors, now);
        m_lastFailure = now;
        break;
    case RunEnd::Broken:
        weigh(m_settings.grayFailures, m_settings.wellBreaks, now);
        m_lastFailure = now;
        break;
    }
    noteSpell(now);
}

void FailureFilter::noteOverdue(base::TimePoint now)
{
    weigh(m_settings.grayOverdue, m_settings.wellOverdue, now);
    m_lastFailure = now;
    noteSpell(now);
}

/// Bayes' rule, on what the past makes likely by now.
void FailureFilter::weigh(double ifGray, double ifWell, base::TimePoint now)
{
    const double prior = grayProbability(now);
    const double gray = prior * ifGray;
    m_probability = std::clamp(gray / (gray + (1 - prior) * ifWell), leastGray, m_settings.surest);
    m_updated = now;
}

void FailureFilter::noteSpell(base::TimePoint now)
{
    if (m_probability <= m_settings.trialAbove) {
        m_spellBegan.reset();
    } else if (!m_spellBegan && m_probability > m_settings.holdAbove) {
        m_spellBegan = now;
    }
}

void FailureFilter::assume(double probability, base::TimePoint now)
{
    m_probability = std::clamp(probability, leastGray, 1 - leastGray);
    m_updated = now;
}

/// A spell that has lasted for some time is expected to last as long again.
base::Duration FailureFilter::meanGray() const
{
    return m_spellBegan ? std::max(m_settings.meanGray, m_lastFailure - *m_spellBegan) : m_settings.meanGray;
}

double FailureFilter::grayProbability(base::TimePoint now) const
{
    const double rest = shareOfSpells(m_settings);
    const double change = perSecond(m_settings.meanWell) + perSecond(meanGray());
    const double passed = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    return rest + (m_probability - rest) * std::exp(-change * passed);
}

bool FailureFilter::isHeld(base::TimePoint now) const
{
    return grayProbability(now) > m_settings.holdAbove;
}

bool FailureFilter::admits(bool idempotent, bool scouted, base::TimePoint now) const
{
    const double probability = grayProbability(now);
    if (probability <= m_settings.trialAbove) {
        return true;
    }
    if (!idempotent || scouted) {
        return false;
    }
    return probability <= m_settings.holdAbove || now - m_updated >= m_settings.scoutEvery;
}

bool FailureFilter::wantsScout(base::TimePoint now) const
{
    return grayProbability(now) > m_settings.trialAbove;
}

}
