#pragma once

#include "sequentialtest.h"

#include "papayastep/base/clock.h"
#include "papayastep/health/attempt.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/health/serverview.h"

#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// Evidence of one entry node about the path to one VM. Only acknowledgements count: an acknowledged hop without an
/// answer is no evidence against the path, and a missing acknowledgement is none against the backend server.
class PathEvidence
{
public:
    explicit PathEvidence(const HealthSettings &settings);

    void sent(const AttemptKey &key, base::TimePoint now);
    void acknowledged(const AttemptKey &key, base::TimePoint now);
    /// Records the end of a hop. `reached` tells whether the serving node responded (an answer counts as an
    /// acknowledgement); it is empty if the end is no evidence (cancelled).
    void ended(const AttemptKey &key, std::optional<bool> reached, base::TimePoint now);
    void invalidateInFlight();

    /// Updates the state at time `now`. Returns the event to report if the state changed.
    std::optional<HealthEventKind> advance(base::TimePoint now, double threshold);

    PathState state() const;
    base::Duration ejectionTime() const;
    /// The time of the last response of the VM.
    std::optional<base::TimePoint> lastContact() const;
    bool idleSince(base::TimePoint limit) const;

private:
    double score(base::TimePoint now) const;
    void recordReached(base::TimePoint now);

    HealthSettings m_settings;
    std::unordered_map<AttemptKey, base::TimePoint>
        m_unacknowledged; ///< Send times of the hops that were not acknowledged yet.
    Cusum m_test;
    PathState m_state = PathState::Good;
    base::TimePoint m_stateSince;
    base::TimePoint m_lastUse;
    std::optional<base::TimePoint> m_lastContact;
    int m_ejections = 0;
};

}
