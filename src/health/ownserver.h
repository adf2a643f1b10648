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
class OwnServer
{
public:
    OwnServer(const config::BackendServer &configured, const HealthSettings &settings, base::TimePoint now);

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
    void weigh(base::TimePoint now, const ServiceReference &usual, int usualSeverity, base::Duration growTime);
    SiblingCondition condition() const;
    /// Does what the evidence asks for and `plan` allows. Returns what happened.
    std::vector<HealthEvent> follow(const EjectionPlan &plan, base::TimePoint now, const ServiceReference &usual);
    /// After a pause: whatever was believed has to be shown again.
    void distrust();

    Admission admission() const;
    /// Without routes and shape, which are chosen per receiver.
    ServerClaim claim(base::Duration usualLatency, base::TimePoint now) const;
    /// Of recent answers; where there were none lately, what siblings usually take. 0: not known.
    base::Duration latency(base::Duration usual, base::TimePoint now) const;

private:
    HealthEvent event(HealthEventKind kind, const std::string &sentence) const;
    std::optional<HealthEvent> followTime(base::TimePoint now);
    std::optional<HealthEvent> followTrial(base::TimePoint now, const ServiceReference &usual);
    std::optional<HealthEvent> followAlarm(base::TimePoint now, const ServiceReference &usual);
    std::optional<HealthEvent> followPlan(const EjectionPlan &plan, base::TimePoint now, const ServiceReference &usual);
    bool outOfUse() const;

    config::BackendServer m_configured;
    HealthSettings m_settings;
    ServerEvidence m_evidence;
    ServerLifecycle m_lifecycle;
    int m_queueLength = 0;
    double m_grown = 0; ///< Severity as a share of the threshold, its rise limited by the grow time.
    base::TimePoint m_weighedAt;
    int m_severity = 0; ///< Percent; frozen while out of use.
    std::optional<base::TimePoint> m_sickSince;
    bool m_held = false;
};

}
