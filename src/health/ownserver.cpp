#include "latencyscale.h"
#include "ownserver.h"

#include "papayastep/health/runestimate.h"

#include <algorithm>

namespace papayastep::health {

namespace {

constexpr int alarmPercent = 50;
constexpr int calmPercent = 25;
constexpr int sickPercent = 100;
constexpr int deadPercent = 250; ///< A server that takes no work at all is worse than a slow one.

std::string seconds(base::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(duration).count()) + " s";
}

}

OwnServer::OwnServer(const config::BackendServer &configured, const HealthSettings &settings, base::TimePoint now)
    : m_configured(configured)
    , m_settings(settings)
    , m_lifecycle(settings, now)
    , m_weighedAt(now)
{
}

const config::BackendServer &OwnServer::configured() const
{
    return m_configured;
}

void OwnServer::setConfigured(const config::BackendServer &configured)
{
    m_configured = configured;
}

ServerEvidence &OwnServer::evidence()
{
    return m_evidence;
}

const ServerEvidence &OwnServer::evidence() const
{
    return m_evidence;
}

const ServerLifecycle &OwnServer::lifecycle() const
{
    return m_lifecycle;
}

void OwnServer::setQueueLength(int length)
{
    m_queueLength = length;
}

int OwnServer::queueLength() const
{
    return m_queueLength;
}

bool OwnServer::handle(ServerEvent event, base::TimePoint now)
{
    const bool changed = m_lifecycle.handle(event, now);
    if (changed) {
        m_evidence.resetTests();
        m_sickSince.reset();
        m_held = false;
    }
    return changed;
}

bool OwnServer::outOfUse() const
{
    const ServerState state = m_lifecycle.state();
    return state == ServerState::Ejected || state == ServerState::Trial;
}

void OwnServer::weigh(base::TimePoint now, const ServiceReference &usual, int usualSeverity, base::Duration growTime)
{
    const double rise = std::chrono::duration<double>(now - m_weighedAt) / growTime;
    m_weighedAt = now;
    if (outOfUse()) {
        return;
    }
    m_grown = std::min(m_evidence.severity(now, usual), m_grown + rise);
    m_severity = static_cast<int>(sickPercent * m_grown);
    int relative = m_severity - usualSeverity;
    if (m_evidence.refusesForLong(now, m_settings, usual)) {
        m_severity = deadPercent;
        relative = deadPercent;
    }
    if (relative < sickPercent) {
        m_sickSince.reset();
    } else if (!m_sickSince) {
        m_sickSince = now;
    }
    m_evidence.setCold(m_lifecycle.state() == ServerState::Warming);
    m_evidence.setLearning(m_severity < alarmPercent);
}

SiblingCondition OwnServer::condition() const
{
    const ServerState state = m_lifecycle.state();
    const bool gone = state == ServerState::Draining || state == ServerState::Gone;
    const bool sick = outOfUse() || m_sickSince.has_value();
    return SiblingCondition{m_configured.id, m_configured.slots, gone, sick, outOfUse(), m_severity};
}

std::vector<HealthEvent> OwnServer::follow(const EjectionPlan &plan, base::TimePoint now, const ServiceReference &usual)
{
    std::vector<HealthEvent> events;
    for (const auto &happened :
         {followTime(now), followTrial(now, usual), followAlarm(now, usual), followPlan(plan, now, usual)}) {
        if (happened) {
            events.push_back(*happened);
        }
    }
    return events;
}

std::optional<HealthEvent> OwnServer::followTime(base::TimePoint now)
{
    if (!m_lifecycle.advance(now) || m_lifecycle.state() != ServerState::Trial) {
        return std::nullopt;
    }
    m_evidence.beginTrial();
    return event(HealthEventKind::Trial, "The hold is over; a few requests show whether the server has recovered.");
}

std::optional<HealthEvent> OwnServer::followTrial(base::TimePoint now, const ServiceReference &usual)
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
        m_sickSince.reset();
        m_severity = 0;
        m_grown = 0;
        return event(HealthEventKind::Returned, "The trial requests went well; work returns step by step.");
    }
    m_lifecycle.handle(ServerEvent::TrialFailed, now);
    return event(HealthEventKind::TrialFailed,
                 "The trial requests went badly; the server is held for " + seconds(m_lifecycle.hold()) + '.');
}

std::optional<HealthEvent> OwnServer::followAlarm(base::TimePoint now, const ServiceReference &usual)
{
    if (outOfUse()) {
        return std::nullopt;
    }
    if (m_severity >= alarmPercent && m_lifecycle.handle(ServerEvent::Alarm, now)) {
        return event(HealthEventKind::Suspected, "Evidence gathers: " + m_evidence.explanation(now, usual) + '.');
    }
    if (m_severity < calmPercent && !m_sickSince) {
        m_lifecycle.handle(ServerEvent::Calm, now);
    }
    return std::nullopt;
}

std::optional<HealthEvent> OwnServer::followPlan(const EjectionPlan &plan,
                                                 base::TimePoint now,
                                                 const ServiceReference &usual)
{
    const bool wasHeld = m_held;
    m_held = plan.held.contains(m_configured.id);
    if (outOfUse()) {
        if (plan.ejected.contains(m_configured.id) || !m_lifecycle.handle(ServerEvent::Readmit, now)) {
            return std::nullopt;
        }
        return event(HealthEventKind::Readmitted, "The floor of the service needs the server back in use.");
    }
    if (!m_sickSince) {
        return std::nullopt;
    }
    if (m_held) {
        const std::string why = "The server stays in use to keep the floor, although ";
        return wasHeld
            ? std::nullopt
            : std::optional(event(HealthEventKind::FloorHeld, why + m_evidence.explanation(now, usual) + '.'));
    }
    // Two siblings that fall sick together would both see room for one ejection. The settle time lets their claims
    // cross, so that both work out the same plan before either leaves; else the floor could be broken for a moment.
    const bool settled = now - *m_sickSince >= m_settings.settleTime;
    if (!settled || !plan.ejected.contains(m_configured.id) || !m_lifecycle.handle(ServerEvent::Eject, now)) {
        return std::nullopt;
    }
    return event(HealthEventKind::Ejected,
                 "Ejected for " + seconds(m_lifecycle.hold()) + ", for " + m_evidence.explanation(now, usual) + '.');
}

void OwnServer::distrust()
{
    m_evidence.distrustInFlight();
    if (!outOfUse()) {
        m_evidence.resetTests();
        m_sickSince.reset();
        m_severity = 0;
        m_grown = 0;
    }
}

Admission OwnServer::admission() const
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

base::Duration OwnServer::latency(base::Duration usual, base::TimePoint now) const
{
    const auto last = m_evidence.lastFinished();
    const bool isAtWork = m_evidence.inFlight() > 0;
    return driftedLatency(m_evidence.recentLatency(), usual, last && !isAtWork ? now - *last : base::Duration::zero());
}

ServerClaim OwnServer::claim(base::Duration usualLatency, base::TimePoint now) const
{
    const auto bounded
        = [](std::size_t count) { return static_cast<std::uint16_t>(std::min<std::size_t>(count, 65535)); };
    ServerClaim claim;
    claim.server = shortHash(m_configured.id.value());
    claim.state = static_cast<std::uint8_t>(m_lifecycle.state());
    claim.severity = bounded(static_cast<std::size_t>(m_severity));
    claim.sick = condition().sick;
    claim.slotsInUse = bounded(m_evidence.inFlight());
    claim.queueLength = bounded(static_cast<std::size_t>(std::max(m_queueLength, 0)));
    if (m_evidence.recentLatency() > base::Duration::zero()) {
        claim.latencySteps = latencySteps(latency(usualLatency, now));
    }
    claim.failurePermille = bounded(static_cast<std::size_t>(1000 * m_evidence.failureShare()));
    claim.accepting = m_evidence.accepting();
    return claim;
}

HealthEvent OwnServer::event(HealthEventKind kind, const std::string &sentence) const
{
    return HealthEvent{kind, m_configured.id, m_configured.vm, sentence};
}

}
