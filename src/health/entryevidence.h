#pragma once

#include "rollingmedian.h"
#include "sequentialtest.h"

#include "papayastep/health/attempt.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/health/serverview.h"

#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// What one entry itself saw of one backend server through acknowledged hops. It answers for the case that the
/// serving node says "healthy" of a server whose answers, as the entry gets them, are broken or missing.
class EntryEvidence
{
public:
    explicit EntryEvidence(const HealthSettings &settings);

    void sent(const AttemptKey &key, base::TimePoint now);
    void acknowledged(const AttemptKey &key, base::TimePoint now);
    void ended(const AttemptKey &key, HopOutcome outcome, base::Duration latency, base::TimePoint now);
    void invalidateInFlight();

    /// Moves on with time. `usualLatency` is the siblings' (0: not known), `usualFailures` their share of failures.
    std::optional<HealthEventKind> advance(base::TimePoint now,
                                           double threshold,
                                           base::Duration usualLatency,
                                           double usualFailures);

    /// 1 good, 0 avoided, between while it must show that it recovered.
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
