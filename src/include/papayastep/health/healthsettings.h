#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"

#include <chrono>

namespace papayastep::health {

/// Parameters of the health decisions. docs/design/gray-failures.md explains the defaults; operators set only `prefer`
/// and `floor` of a service.
struct HealthSettings
{
    // Sequential test.
    double maxFalseEjectionsFast = 0.5; ///< Per half hour, of a service that prefers fast detection.
    double maxFalseEjectionsFew = 0.005; ///< Per half hour, of a service that prefers few ejections.

    /// Shortest time in which the evidence can rise from zero to the ejection threshold. A stall of all requests at
    /// once (garbage collection, a disk) looks like a hang while it lasts. The many late answers then have one cause
    /// and must not count as independent.
    base::Duration minDetectionTimeFast = std::chrono::milliseconds(400);
    base::Duration minDetectionTimeFew = std::chrono::milliseconds(700);

    // Ejection and return.
    /// From announcing unhealthiness to the ejection, see EjectionPlan.
    base::Duration settleTime = std::chrono::milliseconds(50);
    base::Duration baseEjectionTime = std::chrono::seconds(5); ///< Of the first ejection; doubles with each ejection.
    base::Duration maxEjectionTime = std::chrono::minutes(5);
    base::Duration ejectionDecayTime = std::chrono::minutes(2); ///< Healthy time that halves the ejection time again.
    int trialSlots = 1; ///< Maximum number of attempts in flight in the state Trial.
    double trialWeight = 0.05; ///< Share of work in the state Trial.
    base::Duration warmingTime = std::chrono::seconds(10); ///< Length of the slow start of a cold server.
    double warmingStartWeight = 0.1; ///< Share of work at the beginning of the slow start.
    double floorWeight = 0.3; ///< Share of work of an unhealthy server that the floor keeps in use.
    /// A server that refuses all connections for so long is dead.
    base::Duration refusalLimit = std::chrono::seconds(1);
    base::Duration shedLimit = std::chrono::seconds(10); ///< A server that sheds all requests for so long is stuck.

    // Paths.
    base::Duration acknowledgeLimit = std::chrono::milliseconds(200); ///< Later acknowledgements count as missing.
    base::Duration basePathEjectionTime = std::chrono::seconds(1);
    base::Duration maxPathEjectionTime = std::chrono::seconds(30);

    // Messages.
    /// Minimum time between two messages to a sibling, except for changes.
    base::Duration siblingInterval = std::chrono::seconds(1);
    double controlBytesPerSecond = 1500; ///< Budget of the health messages; more siblings make the interval longer.
    int messageOverheadBytes = 90; ///< Envelope and transport around a payload, for the budget.
    double unreachableIntervals = 4; ///< Message intervals without a message after which a sibling is unreachable.

    // Pauses.
    base::Duration tickInterval = std::chrono::milliseconds(50);
    /// Lower bound of the interval between two evaluations of a service, for each of its servers.
    base::Duration evaluationTimePerServer = std::chrono::milliseconds(2);
    base::Duration pauseLimit = std::chrono::milliseconds(1000); ///< A longer gap between two calls counts as a pause.
};

}
