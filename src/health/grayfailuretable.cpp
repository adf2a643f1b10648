#include "papayastep/health/grayfailuretable.h"

namespace papayastep::health {

namespace {

constexpr base::Duration lifetime = std::chrono::minutes(2);

}

GrayFailureTable::GrayFailureTable(const base::Clock &clock)
    : m_clock(clock)
{
}

void GrayFailureTable::update(const base::BackendServerId &server, double probability)
{
    const base::TimePoint now = m_clock.now();
    const auto place = m_reported.try_emplace(server, ReportedState{GrayFailureEstimator(now), now}).first;
    place->second.estimator.setProbability(probability, now);
    place->second.receivedAt = now;
}

double GrayFailureTable::probability(const base::BackendServerId &server) const
{
    const auto found = m_reported.find(server);
    return found != m_reported.end() ? found->second.estimator.grayProbability(m_clock.now()) : 0;
}

void GrayFailureTable::expire()
{
    const base::TimePoint oldest = m_clock.now() - lifetime;
    std::erase_if(m_reported, [oldest](const auto &entry) { return entry.second.receivedAt < oldest; });
}

}
