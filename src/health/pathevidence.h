#pragma once

#include "sequentialtest.h"

#include "papayastep/base/clock.h"
#include "papayastep/health/attempt.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/health/serverview.h"

#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// What one entry knows about the way to one VM. Only acknowledgements count: an acknowledged hop that is never
/// answered says nothing against the path, and a missing acknowledgement nothing against the backend server.
class PathEvidence
{
public:
    explicit PathEvidence(const HealthSettings &settings);

    void sent(const AttemptKey &key, base::TimePoint now);
    void acknowledged(const AttemptKey &key, base::TimePoint now);
    /// The hop ended; `reached` if the serving node was heard of (an answer is an acknowledgement, too),
    /// empty if the end says nothing (cancelled).
    void ended(const AttemptKey &key, std::optional<bool> reached, base::TimePoint now);
    void invalidateInFlight();

    /// Moves on with time. Returns the event to report, if the state changed.
    std::optional<HealthEventKind> advance(base::TimePoint now, double threshold);

    PathState state() const;
    base::Duration ejectionTime() const;
    /// The last time the VM was heard of.
    std::optional<base::TimePoint> lastContact() const;
    bool idleSince(base::TimePoint limit) const;

private:
    double score(base::TimePoint now) const;
    void recordReached(base::TimePoint now);

    HealthSettings m_settings;
    std::unordered_map<AttemptKey, base::TimePoint> m_unacknowledged; ///< Sent and not acknowledged.
    Cusum m_test;
    PathState m_state = PathState::Good;
    base::TimePoint m_stateSince;
    base::TimePoint m_lastUse;
    std::optional<base::TimePoint> m_lastContact;
    int m_ejections = 0;
};

}
