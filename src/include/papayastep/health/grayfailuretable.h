#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/health/grayfailureestimator.h"

#include <unordered_map>

namespace papayastep::health {

/// Gray failure probabilities of backend servers that the nodes beside them have reported to an entry node. They decay
/// over time as those of the reporting node's GrayFailureEstimator do.
class GrayFailureTable
{
public:
    explicit GrayFailureTable(const base::Clock &clock);

    void update(const base::BackendServerId &server, double probability);

    /// Probability of a gray failure, 0 to 1. It is 0 without a report, so that a new server is not avoided.
    double probability(const base::BackendServerId &server) const;

    /// Removes servers without a report for two minutes.
    void expire();

private:
    struct ReportedState
    {
        GrayFailureEstimator estimator;
        base::TimePoint receivedAt;
    };

    const base::Clock &m_clock;
    std::unordered_map<base::BackendServerId, ReportedState> m_reported;
};

}
