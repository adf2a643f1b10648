#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/health/serverstate.h"

namespace papayastep::health {

/// State machine of one backend server with its ejection times, which grow and decay, and its slow start.
class ServerLifecycle
{
public:
    ServerLifecycle(const HealthSettings &settings, base::TimePoint now);

    ServerState state() const;
    base::TimePoint since() const;
    /// The share of work that the server should get, 0 to 1.
    double weight(base::TimePoint now) const;
    base::Duration ejectionTime() const;

    /// Handles `event` if the chart has a transition for it in the current state. Returns whether the state changed.
    bool handle(ServerEvent event, base::TimePoint now);
    /// Handles the events that depend on time only: the end of an ejection or of the slow start. Returns whether the
    /// state changed.
    bool advance(base::TimePoint now);

private:
    void recordEjection();
    void decayEjections(base::TimePoint now);

    HealthSettings m_settings;
    base::StateMachine<ServerState, ServerEvent> m_machine;
    base::TimePoint m_since;
    base::TimePoint m_warmingSince;
    base::TimePoint m_decaySince; ///< Time up to which the decay of the ejection time is applied.
    int m_ejections = 0; ///< Recent ejections after the decay; the exponent of the ejection time.
};

}
