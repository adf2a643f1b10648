#pragma once

#include "papayastep/health/grayfailureestimator.h"

namespace papayastep::routing {

/// Costs are parts of what an answer is worth to the caller.
struct DoubtfulServerSettings
{
    /// Share of the requests that a server fails while it is in a gray spell.
    double grayFailures = health::GrayFailureEstimatorSettings().grayFailureRate;
    /// A failed request that can be repeated: the work and the time of the repeat.
    double repeatCost = 0.15;
    /// A failed request that cannot be repeated: its caller has to find out whether it ran.
    double unknownCost = 1;
};

/// Whether a request is better given to a server that may be in a gray spell than refused.
///
/// For overloads in which every server that is not held back is full. A refusal is worth nothing to the caller, but it
/// is sure; a request that can be repeated loses little by a failure, another one leaves its caller in doubt.
class DoubtfulServerPolicy
{
public:
    explicit DoubtfulServerPolicy(const DoubtfulServerSettings &settings = {});

    /// `grayProbability` of the server, 0 to 1.
    double expectedWorth(double grayProbability, bool idempotent) const;

    bool isWorthTrying(double grayProbability, bool idempotent) const;

private:
    DoubtfulServerSettings m_settings;
};

}
