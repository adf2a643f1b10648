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
/// Good time, in ejection times, after which earlier ejections no longer count.
constexpr int resetAfterEjectionTimes = 10;

}

PathEvidence::PathEvidence(const HealthSettings &settings)
    : m_settings(settings)
{
}

void PathEvidence::sent(const AttemptKey &key, base::TimePoint now)
{
    m_lastUse = now;
    m_unacknowledged[key] = now;
}

void PathEvidence::acknowledged(const AttemptKey &key, base::TimePoint now)
{
    const auto found = m_unacknowledged.find(key);
    if (found == m_unacknowledged.end()) {
        return;
    }
    const bool inTime = now - found->second < m_settings.acknowledgeLimit;
    m_unacknowledged.erase(found);
    m_lastContact = now;
    if (inTime) {
        recordReached(now);
    }
}

void PathEvidence::ended(const AttemptKey &key, std::optional<bool> wasReached, base::TimePoint now)
{
    if (wasReached == true) {
        acknowledged(key, now);
        return;
    }
    if (m_unacknowledged.erase(key) > 0 && wasReached == false) {
        m_test.add(lostEvidence, 0, scoreCap);
    }
}

void PathEvidence::recordReached(base::TimePoint now)
{
    m_test.add(reachedEvidence, 0, scoreCap);
    if (m_state != PathState::Good) {
        m_test.reset();
        m_state = PathState::Good;
        m_stateSince = now;
    }
}

void PathEvidence::invalidateInFlight()
{
    m_unacknowledged.clear();
}

double PathEvidence::score(base::TimePoint now) const
{
    const auto late = std::count_if(m_unacknowledged.begin(), m_unacknowledged.end(), [&](const auto &entry) {
        return now - entry.second >= m_settings.acknowledgeLimit;
    });
    return m_test.score() + static_cast<double>(late) * lostEvidence;
}

std::optional<HealthEventKind> PathEvidence::advance(base::TimePoint now, double threshold)
{
    const bool trialLost = m_state == PathState::Trial && score(now) >= lostEvidence;
    if (trialLost || (m_state == PathState::Good && score(now) >= threshold)) {
        if (m_state == PathState::Good && now - m_stateSince > resetAfterEjectionTimes * ejectionTime()) {
            m_ejections = 0;
        }
        m_ejections = std::min(m_ejections + 1, maxBreaks);
        m_state = PathState::Broken;
        m_stateSince = now;
        return HealthEventKind::PathEjected;
    }
    if (m_state == PathState::Broken && now - m_stateSince >= ejectionTime()) {
        m_state = PathState::Trial;
        m_stateSince = now;
        m_unacknowledged.clear();
        m_test.reset();
        return HealthEventKind::PathTrial;
    }
    return std::nullopt;
}

PathState PathEvidence::state() const
{
    return m_state;
}

base::Duration PathEvidence::ejectionTime() const
{
    const auto doubled = m_settings.basePathEjectionTime * (std::int64_t{1} << std::max(0, m_ejections - 1));
    return std::min<base::Duration>(doubled, m_settings.maxPathEjectionTime);
}

std::optional<base::TimePoint> PathEvidence::lastContact() const
{
    return m_lastContact;
}

bool PathEvidence::idleSince(base::TimePoint limit) const
{
    return m_state == PathState::Good && m_unacknowledged.empty() && m_lastUse < limit;
}

}
