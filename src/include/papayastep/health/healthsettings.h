#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"

#include <chrono>

namespace papayastep::health {

/// Tunables of the package. The defaults are the measured ones of docs/design/gray-failures.md; operators set only
/// `prefer` and `floor` of a service.
struct HealthSettings
{
    // The sequential test.
    double maxFalseEjectionsFast = 0.5; ///< Allowed per half hour of a service that prefers fast detection.
    double maxFalseEjectionsFew = 0.005; ///< The same for one that prefers few ejections.

    /// Shortest time in which evidence can fill up. A stall of all requests at once (garbage collection, a disk) looks
    /// like a hang while it lasts; so many late answers have one cause and must not count as independent ones.
    base::Duration minDetectionTimeFast = std::chrono::milliseconds(400);
    base::Duration minDetectionTimeFew = std::chrono::milliseconds(700);

    // Ejection and return.
    base::Duration settleTime = std::chrono::milliseconds(50); ///< From the claim to the ejection: see EjectionPlan.
    base::Duration baseEjectionTime = std::chrono::seconds(5); ///< First hold time; doubles with each ejection.
    base::Duration maxEjectionTime = std::chrono::minutes(5);
    base::Duration ejectionDecayTime = std::chrono::minutes(2); ///< Healthy time that halves the hold again.
    int trialSlots = 1; ///< Attempts in flight at most while in trial.
    double trialWeight = 0.05; ///< Share of work offered while in trial.
    base::Duration warmingTime = std::chrono::seconds(10); ///< Slow start of a cold server.
    double warmingStartWeight = 0.1; ///< Share of work at the start of warming.
    double floorWeight = 0.3; ///< Share of work of a sick server that the floor keeps in use.
    base::Duration refusalLimit = std::chrono::seconds(1); ///< Only refused connections for so long: a dead process.
    base::Duration shedLimit = std::chrono::seconds(10); ///< Only shed requests for so long: stuck.

    // Paths.
    base::Duration acknowledgeLimit = std::chrono::milliseconds(200); ///< An acknowledgement this late is missing.
    base::Duration basePathEjectionTime = std::chrono::seconds(1);
    base::Duration maxPathEjectionTime = std::chrono::seconds(30);

    // Messages.
    base::Duration siblingInterval = std::chrono::seconds(1); ///< At most so often, changes aside.
    double controlBytesPerSecond = 1500; ///< Of this package; more siblings make the interval longer.
    int messageOverheadBytes = 90; ///< Bytes of envelope and transport around a payload, for the budget.
    double unreachableIntervals = 4; ///< Silent intervals after which a sibling counts as gone.

    // Pauses.
    base::Duration tickInterval = std::chrono::milliseconds(50);
    base::Duration pauseLimit = std::chrono::milliseconds(1000); ///< A longer gap between calls was a pause.
};

}
