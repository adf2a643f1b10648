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

/// A backend server beside this node: evidence and state together.
class LocalServer
{
public:
    LocalServer(const config::BackendServer &configured, const HealthSettings &settings, base::TimePoint now);

    const config::BackendServer &configured() const;
    void setConfigured(const config::BackendServer &configured);
    ServerEvidence &evidence();
    const ServerEvidence &evidence() const;
    const ServerLifecycle &lifecycle() const;
    void setQueueLength(int length);
    int queueLength() const;

    /// Takes an event from outside the evidence: drain, undrain, leave. Returns whether the state changed.
    bool handle(ServerEvent event, base::TimePoint now);

    /// Compares the evidence with the siblings' (`usualSeverity`, percent), so that a shift of all accuses nobody.
    /// `growTime` is the shortest time from no evidence to an ejection.
    void updateSeverity(base::TimePoint now, const ServiceReference &usual, int usualSeverity, base::Duration growTime);
    SiblingCondition condition() const;
    /// Does what the evidence asks for and `plan` allows. Returns what happened.
    std::vector<HealthEvent> applyPlan(const EjectionPlan &plan, base::TimePoint now, const ServiceReference &usual);
    /// After a pause: whatever was believed has to be shown again.
    void invalidate();

    Admission admission() const;
    /// Without routes and shape, which are chosen per receiver.
    ServerStatus status(base::Duration usualLatency, base::TimePoint now) const;
    /// Of recent answers; where there were none lately, what siblings usually take. 0: not known.
    base::Duration latency(base::Duration usual, base::TimePoint now) const;

private:
    HealthEvent event(HealthEventKind kind, const std::string &sentence) const;
    std::optional<HealthEvent> advanceLifecycle(base::TimePoint now);
    std::optional<HealthEvent> evaluateTrial(base::TimePoint now, const ServiceReference &usual);
    std::optional<HealthEvent> updateSuspicion(base::TimePoint now, const ServiceReference &usual);
    std::optional<HealthEvent> applyEjection(const EjectionPlan &plan,
                                             base::TimePoint now,
                                             const ServiceReference &usual);
    bool isOutOfUse() const;

    config::BackendServer m_configured;
    HealthSettings m_settings;
    ServerEvidence m_evidence;
    ServerLifecycle m_lifecycle;
    int m_queueLength = 0;
    double m_limitedSeverity = 0; ///< Severity as a share of the threshold, its rise limited by the grow time.
    base::TimePoint m_severityUpdated;
    int m_severity = 0; ///< Percent; frozen while out of use.
    std::optional<base::TimePoint> m_unhealthySince;
    bool m_heldByFloor = false;
};

}
