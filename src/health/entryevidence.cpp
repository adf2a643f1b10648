#include "entryevidence.h"

#include <algorithm>

namespace papayastep::health {

namespace {

constexpr double failureWeight = 0.05; ///< Weight of one hop in the moving average of failures.
constexpr double scoreCap = 40;
constexpr double unansweredMultiple = 20; ///< A hop without an answer for so many usual latencies counts as unanswered.
constexpr double unansweredEvidence = 3;
constexpr int probationAnswers = 5;
constexpr int maxAvoidances = 6;
constexpr double probationEvidence = 4;
const base::Duration minUnansweredTime = std::chrono::milliseconds(500);
const base::Duration defaultUnansweredTime = std::chrono::seconds(5);

}

EntryEvidence::EntryEvidence(const HealthSettings &settings)
    : m_settings(settings)
{
}

void EntryEvidence::sent(const AttemptKey &key, base::TimePoint now)
{
    m_lastUse = now;
    m_hops[key] = Hop{now, false};
}

void EntryEvidence::acknowledged(const AttemptKey &key, base::TimePoint now)
{
    const auto found = m_hops.find(key);
    if (found != m_hops.end()) {
        found->second = Hop{now, true};
    }
}

void EntryEvidence::ended(const AttemptKey &key, HopOutcome outcome, base::Duration latency, base::TimePoint now)
{
    const auto found = m_hops.find(key);
    if (found == m_hops.end()) {
        return;
    }
    const bool acknowledged = found->second.acknowledged;
    m_hops.erase(found);
    const bool failed = outcome == HopOutcome::ServerFailed || (outcome == HopOutcome::GivenUp && acknowledged);
    if (!failed && outcome != HopOutcome::Answered) {
        return;
    }
    const FailureModel failures(m_usualFailures);
    m_test.add(failed ? failures.failed : failures.good, 0, scoreCap);
    m_failureShare += failureWeight * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (!failed) {
        m_latencies.add(latency);
        m_lastAnswer = now;
        ++m_probationAnswers;
    }
}

void EntryEvidence::invalidateInFlight()
{
    m_hops.clear();
}

double EntryEvidence::score(base::TimePoint now, base::Duration usualLatency) const
{
    base::Duration limit = defaultUnansweredTime;
    if (usualLatency > base::Duration::zero()) {
        limit = std::max(minUnansweredTime,
                         std::chrono::duration_cast<base::Duration>(usualLatency * unansweredMultiple));
    }
    const auto unanswered = std::count_if(m_hops.begin(), m_hops.end(), [&](const auto &entry) {
        return entry.second.acknowledged && now - entry.second.startedAt >= limit;
    });
    return m_test.score() + static_cast<double>(unanswered) * unansweredEvidence;
}

std::optional<HealthEventKind> EntryEvidence::advance(base::TimePoint now,
                                                      double threshold,
                                                      base::Duration usualLatency,
                                                      double usualFailures)
{
    m_usualFailures = usualFailures;
    const double limit = m_status == Status::Probation ? probationEvidence : threshold;
    if (m_status != Status::Avoided && score(now, usualLatency) >= limit) {
        m_status = Status::Avoided;
        m_avoidances = std::min(m_avoidances + 1, maxAvoidances);
        m_statusSince = now;
        return HealthEventKind::EntryEjected;
    }
    if (m_status == Status::Avoided && now - m_statusSince >= avoidanceTime()) {
        m_status = Status::Probation;
        m_probationAnswers = 0;
        m_hops.clear();
        m_test.reset();
        m_statusSince = now;
    }
    if (m_status == Status::Probation && m_probationAnswers >= probationAnswers) {
        m_status = Status::Good;
        m_statusSince = now;
        return HealthEventKind::EntryReturned;
    }
    if (m_status == Status::Good && now - m_statusSince >= m_settings.ejectionDecayTime) {
        m_avoidances = 0;
    }
    return std::nullopt;
}

base::Duration EntryEvidence::avoidanceTime() const
{
    return std::min<base::Duration>(m_settings.baseEjectionTime * (1 << (m_avoidances - 1)),
                                    m_settings.maxEjectionTime);
}

double EntryEvidence::weight() const
{
    switch (m_status) {
    case Status::Good:
        return 1;
    case Status::Probation:
        return m_settings.trialWeight;
    case Status::Avoided:
        break;
    }
    return 0;
}

int EntryEvidence::inFlight() const
{
    return static_cast<int>(m_hops.size());
}

base::Duration EntryEvidence::latency() const
{
    return m_latencies.median();
}

std::optional<base::TimePoint> EntryEvidence::lastAnswer() const
{
    return m_lastAnswer;
}

double EntryEvidence::failureShare() const
{
    return m_failureShare;
}

std::size_t EntryEvidence::answers() const
{
    return m_latencies.size();
}

bool EntryEvidence::idleSince(base::TimePoint limit) const
{
    return m_status == Status::Good && m_hops.empty() && m_lastUse < limit;
}

}
