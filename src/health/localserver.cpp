#include "latencyscale.h"
#include "localserver.h"

#include "papayastep/health/runestimate.h"

#include <algorithm>

namespace papayastep::health {

namespace {

constexpr int alarmPercent = 50;
constexpr int calmPercent = 25;
constexpr int unhealthyPercent = 100;
constexpr int notAcceptingPercent = 250; ///< A server that accepts no work at all ranks above a slow one.

std::string seconds(base::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(duration).count()) + " s";
}

}

LocalServer::LocalServer(const config::BackendServer &configured, const HealthSettings &settings, base::TimePoint now)
    : m_configured(configured)
    , m_settings(settings)
    , m_lifecycle(settings, now)
    , m_severityUpdated(now)
{
}

const config::BackendServer &LocalServer::configured() const
{
    return m_configured;
}

void LocalServer::setConfigured(const config::BackendServer &configured)
{
    m_configured = configured;
}

void LocalServer::setAnnouncedEnd(bool announced)
{
    m_hasAnnouncedEnd = announced;
}

bool LocalServer::acceptsRequests() const
{
    return m_configured.acceptsRequests() && !m_hasAnnouncedEnd;
}

ServerEvidence &LocalServer::evidence()
{
    return m_evidence;
}

const ServerEvidence &LocalServer::evidence() const
{
    return m_evidence;
}

const ServerLifecycle &LocalServer::lifecycle() const
{
    return m_lifecycle;
}

void LocalServer::setQueueLength(int length)
{
    m_queueLength = length;
}

int LocalServer::queueLength() const
{
    return m_queueLength;
}

bool LocalServer::handle(ServerEvent event, base::TimePoint now)
{
    const bool changed = m_lifecycle.handle(event, now);
    if (changed) {
        m_evidence.resetTests();
        m_unhealthySince.reset();
        m_heldByFloor = false;
    }
    return changed;
}

bool LocalServer::isOutOfUse() const
{
    const ServerState state = m_lifecycle.state();
    return state == ServerState::Ejected || state == ServerState::Trial;
}

void LocalServer::updateSeverity(base::TimePoint now,
                                 const ServiceReference &usual,
                                 int siblingSeverity,
                                 base::Duration minDetectionTime)
{
    const double rise = std::chrono::duration<double>(now - m_severityUpdated) / minDetectionTime;
    m_severityUpdated = now;
    if (isOutOfUse()) {
        return;
    }
    m_limitedSeverity = std::min(m_evidence.severity(now, usual), m_limitedSeverity + rise);
    m_severity = static_cast<int>(unhealthyPercent * m_limitedSeverity);
    int relative = m_severity - siblingSeverity;
    if (m_evidence.refusesPersistently(now, m_settings, usual)) {
        m_severity = notAcceptingPercent;
        relative = notAcceptingPercent;
    }
    if (relative < unhealthyPercent) {
        m_unhealthySince.reset();
    } else if (!m_unhealthySince) {
        m_unhealthySince = now;
    }
    m_evidence.setCold(m_lifecycle.state() == ServerState::Warming);
    m_evidence.setLearning(m_severity < alarmPercent);
}

SiblingCondition LocalServer::condition() const
{
    const ServerState state = m_lifecycle.state();
    const bool gone = state == ServerState::Draining || state == ServerState::Gone;
    const bool unhealthy = isOutOfUse() || m_unhealthySince.has_value();
    return SiblingCondition{m_configured.id, m_configured.slots, gone, unhealthy, isOutOfUse(), m_severity};
}

std::vector<HealthEvent> LocalServer::applyPlan(const EjectionPlan &plan,
                                                base::TimePoint now,
                                                const ServiceReference &usual)
{
    std::vector<HealthEvent> events;
    for (const auto &happened : {advanceLifecycle(now),
                                 evaluateTrial(now, usual),
                                 updateSuspicion(now, usual),
                                 applyEjection(plan, now, usual)}) {
        if (happened) {
            events.push_back(*happened);
        }
    }
    return events;
}

std::optional<HealthEvent> LocalServer::advanceLifecycle(base::TimePoint now)
{
    if (!m_lifecycle.advance(now) || m_lifecycle.state() != ServerState::Trial) {
        return std::nullopt;
    }
    m_evidence.beginTrial();
    return event(HealthEventKind::Trial,
                 "The ejection time is over; a few trial requests test whether the server has recovered.");
}

std::optional<HealthEvent> LocalServer::evaluateTrial(base::TimePoint now, const ServiceReference &usual)
{
    if (m_lifecycle.state() != ServerState::Trial) {
        return std::nullopt;
    }
    const auto verdict = m_evidence.trialVerdict(now, usual);
    if (!verdict) {
        return std::nullopt;
    }
    m_evidence.resetTests();
    if (*verdict) {
        m_lifecycle.handle(ServerEvent::TrialPassed, now);
        m_unhealthySince.reset();
        m_severity = 0;
        m_limitedSeverity = 0;
        return event(HealthEventKind::Returned, "The trial requests succeeded; the share of work rises step by step.");
    }
    m_lifecycle.handle(ServerEvent::TrialFailed, now);
    return event(HealthEventKind::TrialFailed,
                 "The trial requests failed; the server stays ejected for " + seconds(m_lifecycle.ejectionTime())
                     + '.');
}

std::optional<HealthEvent> LocalServer::updateSuspicion(base::TimePoint now, const ServiceReference &usual)
{
    if (isOutOfUse()) {
        return std::nullopt;
    }
    if (m_severity >= alarmPercent && m_lifecycle.handle(ServerEvent::Alarm, now)) {
        return event(HealthEventKind::Suspected, "The server is suspect: " + m_evidence.explanation(now, usual) + '.');
    }
    if (m_severity < calmPercent && !m_unhealthySince) {
        m_lifecycle.handle(ServerEvent::Calm, now);
    }
    return std::nullopt;
}

std::optional<HealthEvent> LocalServer::applyEjection(const EjectionPlan &plan,
                                                      base::TimePoint now,
                                                      const ServiceReference &usual)
{
    const bool wasHeld = m_heldByFloor;
    m_heldByFloor = plan.heldByFloor.contains(m_configured.id);
    if (isOutOfUse()) {
        if (plan.ejected.contains(m_configured.id) || !m_lifecycle.handle(ServerEvent::Readmit, now)) {
            return std::nullopt;
        }
        return event(HealthEventKind::Readmitted, "The floor of the service requires the server in use again.");
    }
    if (!m_unhealthySince) {
        return std::nullopt;
    }
    if (m_heldByFloor) {
        const std::string prefix = "The floor keeps the server in use, although ";
        return wasHeld
            ? std::nullopt
            : std::optional(event(HealthEventKind::FloorHeld, prefix + m_evidence.explanation(now, usual) + '.'));
    }
    // Two siblings that become unhealthy at the same time would both find that the floor allows one ejection. The
    // settle time lets their messages arrive, so that both make the same plan before either is ejected. Otherwise the
    // capacity could be below the floor for a moment.
    const bool settled = now - *m_unhealthySince >= m_settings.settleTime;
    if (!settled || !plan.ejected.contains(m_configured.id) || !m_lifecycle.handle(ServerEvent::Eject, now)) {
        return std::nullopt;
    }
    return event(HealthEventKind::Ejected,
                 "The server is ejected for " + seconds(m_lifecycle.ejectionTime()) + " because "
                     + m_evidence.explanation(now, usual) + '.');
}

void LocalServer::invalidate()
{
    m_evidence.invalidateInFlight();
    if (!isOutOfUse()) {
        m_evidence.resetTests();
        m_unhealthySince.reset();
        m_severity = 0;
        m_limitedSeverity = 0;
    }
}

Admission LocalServer::admission() const
{
    switch (m_lifecycle.state()) {
    case ServerState::Ejected:
        return Admission::Ejected;
    case ServerState::Draining:
    case ServerState::Gone:
        return Admission::Draining;
    case ServerState::Trial:
        return m_evidence.trialInFlight() < static_cast<std::size_t>(m_settings.trialSlots) ? Admission::Admit
                                                                                            : Admission::TrialFull;
    default:
        return Admission::Admit;
    }
}

base::Duration LocalServer::latency(base::Duration usual, base::TimePoint now) const
{
    const auto last = m_evidence.lastFinished();
    const bool isAtWork = m_evidence.inFlight() > 0;
    return decayedLatency(m_evidence.recentLatency(), usual, last && !isAtWork ? now - *last : base::Duration::zero());
}

ServerStatus LocalServer::status(base::Duration usualLatency, base::TimePoint now) const
{
    const auto bounded
        = [](std::size_t count) { return static_cast<std::uint16_t>(std::min<std::size_t>(count, 65535)); };
    ServerStatus status;
    status.server = shortHash(m_configured.id.value());
    status.state = static_cast<std::uint8_t>(m_lifecycle.state());
    status.severity = bounded(static_cast<std::size_t>(m_severity));
    status.unhealthy = condition().unhealthy;
    status.slotsInUse = bounded(m_evidence.inFlight());
    status.queueLength = bounded(static_cast<std::size_t>(std::max(m_queueLength, 0)));
    if (m_evidence.recentLatency() > base::Duration::zero()) {
        status.latencySteps = latencySteps(latency(usualLatency, now));
    }
    status.failurePermille = bounded(static_cast<std::size_t>(1000 * m_evidence.failureShare()));
    status.accepting = m_evidence.accepting();
    return status;
}

HealthEvent LocalServer::event(HealthEventKind kind, const std::string &description) const
{
    return HealthEvent{kind, m_configured.id, m_configured.vm, description};
}

}
