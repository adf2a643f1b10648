#include "pathevidence.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

constexpr double lostShareHealthy = 0.001;
constexpr double lostShareBroken = 0.5;
const double lostEvidence = std::log(lostShareBroken / lostShareHealthy);
const double reachedEvidence = std::log((1 - lostShareBroken) / (1 - lostShareHealthy));
constexpr double scoreCap = 40;
constexpr int maxBreaks = 10;
constexpr int forgiveAfterHolds = 10; ///< Good time, in holds, after which earlier breaks are forgotten.

}

PathEvidence::PathEvidence(const HealthSettings &settings)
    : m_settings(settings)
{
}

void PathEvidence::sent(const AttemptKey &key, base::TimePoint now)
{
    m_lastUse = now;
    m_waiting[key] = now;
}

void PathEvidence::acknowledged(const AttemptKey &key, base::TimePoint now)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end()) {
        return;
    }
    const bool inTime = now - found->second < m_settings.acknowledgeLimit;
    m_waiting.erase(found);
    m_heardAt = now;
    if (inTime) {
        reached(now);
    }
}

void PathEvidence::ended(const AttemptKey &key, std::optional<bool> wasReached, base::TimePoint now)
{
    if (wasReached == true) {
        acknowledged(key, now);
        return;
    }
    if (m_waiting.erase(key) > 0 && wasReached == false) {
        m_test.add(lostEvidence, 0, scoreCap);
    }
}

void PathEvidence::reached(base::TimePoint now)
{
    m_test.add(reachedEvidence, 0, scoreCap);
    if (m_state != PathState::Good) {
        m_test.reset();
        m_state = PathState::Good;
        m_since = now;
    }
}

void PathEvidence::distrustInFlight()
{
    m_waiting.clear();
}

double PathEvidence::score(base::TimePoint now) const
{
    const auto late = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &entry) {
        return now - entry.second >= m_settings.acknowledgeLimit;
    });
    return m_test.score() + static_cast<double>(late) * lostEvidence;
}

std::optional<HealthEventKind> PathEvidence::advance(base::TimePoint now, double threshold)
{
    const bool trialLost = m_state == PathState::Trial && score(now) >= lostEvidence;
    if (trialLost || (m_state == PathState::Good && score(now) >= threshold)) {
        if (m_state == PathState::Good && now - m_since > forgiveAfterHolds * hold()) {
            m_breaks = 0;
        }
        m_breaks = std::min(m_breaks + 1, maxBreaks);
        m_state = PathState::Broken;
        m_since = now;
        return HealthEventKind::PathEjected;
    }
    if (m_state == PathState::Broken && now - m_since >= hold()) {
        m_state = PathState::Trial;
        m_since = now;
        m_waiting.clear();
        m_test.reset();
        return HealthEventKind::PathTrial;
    }
    return std::nullopt;
}

PathState PathEvidence::state() const
{
    return m_state;
}

base::Duration PathEvidence::hold() const
{
    const auto doubled = m_settings.pathBaseHold * (std::int64_t{1} << std::max(0, m_breaks - 1));
    return std::min<base::Duration>(doubled, m_settings.pathMaxHold);
}

std::optional<base::TimePoint> PathEvidence::heardAt() const
{
    return m_heardAt;
}

bool PathEvidence::idleSince(base::TimePoint limit) const
{
    return m_state == PathState::Good && m_waiting.empty() && m_lastUse < limit;
}

}
