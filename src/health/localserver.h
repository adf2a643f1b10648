#pragma once

#include "ejectionplan.h"
#include "serverevidence.h"
#include "serverlifecycle.h"

#include "papayastep/config/configuration.h"
#include "papayastep/health/messages.h"
#include "papayastep/health/serverview.h"

#include <optional>
#include <vector>

namespace papayastep::health {

/// A backend server beside this node, with its evidence and state.
class LocalServer
{
public:
    LocalServer(const config::BackendServer &configured, const HealthSettings &settings, base::TimePoint now);

    const config::BackendServer &configured() const;
    void setConfigured(const config::BackendServer &configured);
    /// Sets whether the server itself has announced its end.
    void setAnnouncedEnd(bool announced);
    /// Whether neither the configuration nor the server itself excludes new requests.
    bool acceptsRequests() const;
    ServerEvidence &evidence();
    const ServerEvidence &evidence() const;
    const ServerLifecycle &lifecycle() const;
    void setQueueLength(int length);
    int queueLength() const;

    /// Handles an event that does not come from the evidence: drain, undrain, leave. Returns whether the state changed.
    bool handle(ServerEvent event, base::TimePoint now);

    /// Updates the severity relative to the siblings' (`siblingSeverity`, in percent), so that a change that all
    /// servers share ejects none. `minDetectionTime` is the shortest time from no evidence to an ejection.
    void updateSeverity(base::TimePoint now,
                        const ServiceReference &usual,
                        int siblingSeverity,
                        base::Duration minDetectionTime);
    SiblingCondition condition() const;
    /// Makes the state changes that the evidence requires and `plan` allows. Returns the events.
    std::vector<HealthEvent> applyPlan(const EjectionPlan &plan, base::TimePoint now, const ServiceReference &usual);
    /// Discards the evidence after a pause of the process.
    void invalidate();

    Admission admission() const;
    /// The status to report, without routes and distribution, which are selected for each receiver.
    ServerStatus status(base::Duration usualLatency, base::TimePoint now) const;
    /// The latency of recent answers, decayed towards the siblings' `usual` one if there are none in flight. 0 if not
    /// known.
    base::Duration latency(base::Duration usual, base::TimePoint now) const;

private:
    HealthEvent event(HealthEventKind kind, const std::string &description) const;
    std::optional<HealthEvent> advanceLifecycle(base::TimePoint now);
    std::optional<HealthEvent> evaluateTrial(base::TimePoint now, const ServiceReference &usual);
    std::optional<HealthEvent> updateSuspicion(base::TimePoint now, const ServiceReference &usual);
    std::optional<HealthEvent> applyEjection(const EjectionPlan &plan,
                                             base::TimePoint now,
                                             const ServiceReference &usual);
    bool isOutOfUse() const;

    config::BackendServer m_configured;
    bool m_hasAnnouncedEnd = false;
    HealthSettings m_settings;
    ServerEvidence m_evidence;
    ServerLifecycle m_lifecycle;
    int m_queueLength = 0;
    /// Severity as a share of the threshold, with its rise limited by the minimum detection time.
    double m_limitedSeverity = 0;
    base::TimePoint m_severityUpdated;
    int m_severity = 0; ///< In percent; frozen while the server is ejected or in trial.
    std::optional<base::TimePoint> m_unhealthySince;
    bool m_heldByFloor = false;
};

}
