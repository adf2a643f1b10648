#pragma once

#include "rollingmedian.h"
#include "sequentialtest.h"

#include "papayastep/health/attempt.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/health/serverview.h"

#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// Evidence of one entry node about one backend server from acknowledged hops. It covers the case that the serving node
/// reports a server as healthy while the answers that the entry node receives are incomplete or missing.
class EntryEvidence
{
public:
    explicit EntryEvidence(const HealthSettings &settings);

    void sent(const AttemptKey &key, base::TimePoint now);
    void acknowledged(const AttemptKey &key, base::TimePoint now);
    void ended(const AttemptKey &key, HopOutcome outcome, base::Duration latency, base::TimePoint now);
    void invalidateInFlight();

    /// Updates the status at time `now`. `usualLatency` is the siblings' latency (0 if not known) and `usualFailures`
    /// their share of failures. Returns the event to report, if any.
    std::optional<HealthEventKind> advance(base::TimePoint now,
                                           double threshold,
                                           base::Duration usualLatency,
                                           double usualFailures);

    /// The share of work: 1 if good, 0 if avoided, in between on probation.
    double weight() const;
    int inFlight() const;
    base::Duration latency() const;
    std::optional<base::TimePoint> lastAnswer() const;
    double failureShare() const;
    std::size_t answers() const;
    bool idleSince(base::TimePoint limit) const;

private:
    base::Duration avoidanceTime() const;
    enum class Status { Good, Avoided, Probation };
    struct Hop
    {
        base::TimePoint startedAt;
        bool acknowledged = false;
    };

    double score(base::TimePoint now, base::Duration usualLatency) const;

    HealthSettings m_settings;
    std::unordered_map<AttemptKey, Hop> m_hops;
    RollingMedian m_latencies;
    std::optional<base::TimePoint> m_lastAnswer;
    Cusum m_test;
    double m_failureShare = 0;
    double m_usualFailures = 0;
    Status m_status = Status::Good;
    base::TimePoint m_statusSince;
    base::TimePoint m_lastUse;
    int m_avoidances = 0;
    int m_probationAnswers = 0;
};

}
