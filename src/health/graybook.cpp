#include "papayastep/health/graybook.h"

namespace papayastep::health {

namespace {

constexpr base::Duration lifetime = std::chrono::minutes(2);

}

GrayBook::GrayBook(const base::Clock &clock)
    : m_clock(clock)
{
}

void GrayBook::note(const base::BackendServerId &server, double probability)
{
    const base::TimePoint now = m_clock.now();
    const auto place = m_told.try_emplace(server, Told{FailureFilter(now), now}).first;
    place->second.filter.assume(probability, now);
    place->second.heardAt = now;
}

double GrayBook::probability(const base::BackendServerId &server) const
{
    const auto found = m_told.find(server);
    return found != m_told.end() ? found->second.filter.grayProbability(m_clock.now()) : 0;
}

void GrayBook::expire()
{
    const base::TimePoint oldest = m_clock.now() - lifetime;
    std::erase_if(m_told, [oldest](const auto &entry) { return entry.second.heardAt < oldest; });
}

}
