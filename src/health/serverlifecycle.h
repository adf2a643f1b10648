#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/health/serverstate.h"

namespace papayastep::health {

/// One backend server on its way through the chart: hold times, slow start, and how they grow and fade.
class ServerLifecycle
{
public:
    ServerLifecycle(const HealthSettings &settings, base::TimePoint now);

    ServerState state() const;
    base::TimePoint since() const;
    /// The share of work it should get.
    double weight(base::TimePoint now) const;
    base::Duration ejectionTime() const;

    /// Takes `event` if the chart has a transition for it here. Returns whether the state changed.
    bool handle(ServerEvent event, base::TimePoint now);
    /// Takes the events that only time brings: the hold or the warming is over. Returns whether the state changed.
    bool advance(base::TimePoint now);

private:
    void recordEjection();
    void decayEjections(base::TimePoint now);

    HealthSettings m_settings;
    base::StateMachine<ServerState, ServerEvent> m_machine;
    base::TimePoint m_since;
    base::TimePoint m_warmingSince;
    base::TimePoint m_decaySince; ///< Since when the hold time has been fading.
    int m_ejections = 0; ///< Recent ones, faded; the exponent of the hold time.
};

}
