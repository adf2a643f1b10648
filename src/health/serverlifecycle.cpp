#include "serverlifecycle.h"

#include <algorithm>

namespace papayastep::embedded {

extern const std::string_view backendServerChart;

}

namespace papayastep::health {

namespace {

const std::vector<std::string> &serverStateNames()
{
    static const std::vector<std::string> names{
        "warming", "healthy", "suspect", "ejected", "trial", "draining", "gone"};
    return names;
}

const std::vector<std::string> &serverEventNames()
{
    static const std::vector<std::string> names{"warmed",
                                                "alarm",
                                                "calm",
                                                "eject",
                                                "readmit",
                                                "hold-over",
                                                "trial-passed",
                                                "trial-failed",
                                                "drain",
                                                "undrain",
                                                "leave"};
    return names;
}

constexpr int maxEjections = 16; ///< Keeps the shift in ejectionTime() in range.

}

std::shared_ptr<const base::StateChart> serverChart()
{
    static const auto chart
        = base::StateChart::parse(embedded::backendServerChart, serverStateNames(), serverEventNames());
    return chart;
}

const std::string &stateName(ServerState state)
{
    return serverStateNames()[static_cast<std::size_t>(state)];
}

ServerLifecycle::ServerLifecycle(const HealthSettings &settings, base::TimePoint now)
    : m_settings(settings)
    , m_machine(serverChart())
    , m_since(now)
    , m_warmingSince(now)
    , m_decaySince(now)
{
}

ServerState ServerLifecycle::state() const
{
    return m_machine.state();
}

base::TimePoint ServerLifecycle::since() const
{
    return m_since;
}

double ServerLifecycle::weight(base::TimePoint now) const
{
    switch (state()) {
    case ServerState::Healthy:
        return 1;
    case ServerState::Trial:
        return m_settings.trialWeight;
    case ServerState::Warming:
    case ServerState::Suspect: {
        const double share = std::chrono::duration<double>(now - m_warmingSince) / m_settings.warmingTime;
        return std::clamp(share, m_settings.warmingStartWeight, 1.0);
    }
    default:
        return 0;
    }
}

base::Duration ServerLifecycle::ejectionTime() const
{
    const auto doubled = m_settings.baseEjectionTime * (std::int64_t{1} << std::max(0, m_ejections - 1));
    return std::min<base::Duration>(doubled, m_settings.maxEjectionTime);
}

bool ServerLifecycle::handle(ServerEvent event, base::TimePoint now)
{
    if (!m_machine.accepts(event)) {
        return false;
    }
    decayEjections(now);
    m_machine.handle(event);
    m_since = now;
    if (event == ServerEvent::Eject || event == ServerEvent::TrialFailed) {
        recordEjection();
    }
    if (state() == ServerState::Warming) {
        m_warmingSince = now;
        m_decaySince = now;
    }
    return true;
}

bool ServerLifecycle::advance(base::TimePoint now)
{
    if (state() == ServerState::Ejected && now - m_since >= ejectionTime()) {
        return handle(ServerEvent::HoldOver, now);
    }
    if (state() == ServerState::Warming && now - m_warmingSince >= m_settings.warmingTime) {
        return handle(ServerEvent::Warmed, now);
    }
    return false;
}

void ServerLifecycle::recordEjection()
{
    m_ejections = std::min(m_ejections + 1, maxEjections);
}

// A server that flaps is ejected again soon after each return. If earlier ejections did not count, requests would meet
// the faulty phase every few seconds. So each ejection doubles the ejection time, and only healthy time halves it
// again.
void ServerLifecycle::decayEjections(base::TimePoint now)
{
    const bool calm = state() == ServerState::Healthy || state() == ServerState::Warming;
    if (!calm) {
        return;
    }
    const auto halvings = (now - m_decaySince) / m_settings.ejectionDecayTime;
    m_ejections = std::max<int>(0, m_ejections - static_cast<int>(halvings));
    m_decaySince += halvings * m_settings.ejectionDecayTime;
}

}
