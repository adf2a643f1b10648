#pragma once

#include "papayastep/health/grayfailureestimator.h"

namespace papayastep::routing {

/// Costs are fractions of the value of an answer to the caller.
struct GrayServerSettings
{
    /// Fraction of its requests that a server fails during a gray failure.
    double grayFailureRatio = health::GrayFailureEstimatorSettings().grayFailureRate;
    /// Cost of a failed request that can be repeated: the work and the time of the repeat.
    double repeatCost = 0.15;
    /// Cost of a failed request that cannot be repeated: its caller has to find out whether it ran.
    double unknownOutcomeCost = 1;
};

/// Decides whether to send a request to a server that may be in a gray failure or to refuse the request. In a gray
/// failure, a server fails a part of its requests.
///
/// It is used in overloads in which every server that is not held back is full. A refusal has no value for the caller,
/// but its outcome is certain. A failure costs little for a request that can be repeated; for any other request it
/// leaves the caller not knowing whether the request ran.
class GrayServerPolicy
{
public:
    explicit GrayServerPolicy(const GrayServerSettings &settings = {});

    /// Returns the expected value of sending the request; `grayProbability` of the server is 0 to 1.
    double expectedValue(double grayProbability, bool idempotent) const;

    bool isWorthTrying(double grayProbability, bool idempotent) const;

private:
    GrayServerSettings m_settings;
};

}
