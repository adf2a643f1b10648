#pragma once

#include "papayastep/base/statechart.h"

#include <memory>

/// The life of a backend server as its own node sees it. The chart stands in `src/health/backendserver.json`.
namespace papayastep::health {

/// States of the chart, in the order of serverStateNames().
enum class ServerState {
    Warming, ///< New, restarted or just returned: its share of work rises step by step.
    Healthy,
    Suspect, ///< Evidence is gathering, or the floor keeps a sick server in use.
    Ejected, ///< Gets no work until its hold time is over.
    Trial, ///< Gets a few requests at a time to show that it has recovered.
    Draining, ///< Operators want it to get no new work.
    Gone, ///< Its VM is leaving or it is no longer configured.
};

/// Events of the chart, in the order of serverEventNames().
enum class ServerEvent {
    Warmed, ///< The warming time has passed.
    Alarm, ///< The evidence is half way to an ejection.
    Calm, ///< The evidence has faded.
    Eject, ///< The evidence is full and the floor allows it.
    Readmit, ///< The floor needs the server back.
    HoldOver, ///< The hold time has passed.
    TrialPassed,
    TrialFailed,
    Drain,
    Undrain,
    Leave,
};

constexpr int serverStateCount = static_cast<int>(ServerState::Gone) + 1;

/// The chart of a backend server, read and checked once per process.
std::shared_ptr<const base::StateChart> serverChart();

/// The name of `state` in the chart, for logs and `/status`.
const std::string &stateName(ServerState state);

}
