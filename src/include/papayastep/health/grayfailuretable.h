#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/health/grayfailureestimator.h"

#include <unordered_map>

namespace papayastep::health {

/// What an entry was told about gray spells of backend servers, by the nodes beside them. What was told long ago drifts
/// to the usual, as the filter of the teller does.
class GrayFailureTable
{
public:
    explicit GrayFailureTable(const base::Clock &clock);

    void update(const base::BackendServerId &server, double probability);

    /// Probability of a spell; 0 for a server that was never heard of, so that a new one is not shunned.
    double probability(const base::BackendServerId &server) const;

    /// Forgets servers that were not heard of for minutes.
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
