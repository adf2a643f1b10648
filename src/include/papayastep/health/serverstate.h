#pragma once

#include "papayastep/base/statechart.h"

#include <memory>

/// States of a backend server as its own node determines them. The state chart is `src/health/backendserver.json`.
namespace papayastep::health {

/// States of the chart in the order of serverStateNames().
enum class ServerState {
    Warming, ///< New, restarted or just returned: slow start with a rising share of work.
    Healthy,
    Suspect, ///< There is some evidence against it, or the floor keeps an unhealthy server in use.
    Ejected, ///< Gets no work until its ejection time is over.
    Trial, ///< Gets a few requests at a time to test whether it has recovered.
    Draining, ///< Gets no new work, as operators configured.
    Gone, ///< Its VM is leaving or it is no longer configured.
};

/// Events of the chart in the order of serverEventNames().
enum class ServerEvent {
    Warmed, ///< The time of the slow start is over.
    Alarm, ///< The evidence has reached half of the ejection threshold.
    Calm, ///< The evidence has decreased to less than a quarter of the ejection threshold.
    Eject, ///< The evidence has reached the ejection threshold and the floor allows the ejection.
    Readmit, ///< The floor requires the server in use again.
    HoldOver, ///< The ejection time is over.
    TrialPassed,
    TrialFailed,
    Drain,
    Undrain,
    Leave,
};

constexpr int serverStateCount = static_cast<int>(ServerState::Gone) + 1;

/// Returns the state chart of a backend server, which is parsed and validated once per process.
std::shared_ptr<const base::StateChart> serverChart();

/// Returns the name of `state` in the chart, for logs and `/status`.
const std::string &stateName(ServerState state);

}
