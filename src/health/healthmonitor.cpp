#include "assessment.h"
#include "latencyscale.h"

#include "papayastep/base/log.h"
#include "papayastep/health/healthmonitor.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayastep::health {

namespace {

constexpr double minRequestRate = 5; ///< Lower bound of a server's requests per second, for the threshold.
constexpr double assumedHopRate = 5; ///< Assumed hops per second from one entry node to one VM, for the threshold.
constexpr int suspectPercent = 50;
constexpr int severityStep = 25; ///< Width of an announced severity level in percent.
constexpr std::size_t minReportedAnswers = 8; ///< Answers from which a route's median is sent to siblings.
const base::Duration referenceLifetime = std::chrono::milliseconds(200);
const base::Duration expiryInterval = std::chrono::seconds(10);
const base::Duration remoteServerLifetime = std::chrono::minutes(2);
/// Time without traffic before a probe, and between two probes.
const base::Duration idleTime = std::chrono::seconds(5);
/// Time of regular ticks after a pause that counts as new evidence.
const base::Duration regularTickTime = std::chrono::seconds(1);
/// Longer than late answers of a leaving VM take to arrive.
const base::Duration lateAnswerTime = std::chrono::seconds(30);

bool prefersFew(const config::Service *service)
{
    return service != nullptr && service->prefer == config::DetectionPreference::FewEjections;
}

}

class HealthMonitor::Impl
{
public:
    Impl(const NodeIdentity &self, const base::Clock &clock, std::uint64_t seed, const HealthSettings &settings)
        : m_clock(clock)
        , m_state(self, seed, settings)
        , m_lastCall(clock.now())
    {
    }

    /// Returns the current time. It also detects pauses, so every call must take its time from here.
    base::TimePoint now()
    {
        const base::TimePoint time = m_clock.now();
        if (time - m_lastCall > m_state.settings.pauseLimit) {
            handlePause(time);
        }
        m_lastCall = time;
        return time;
    }

    void applyConfiguration(const config::ConfigurationPtr &configuration);
    void applyVmList(const config::VmList &list);
    void setLeaving(const base::VmId &vm);
    void setAnnouncedEnd(const base::BackendServerId &id, bool announced);
    void applyReport(const base::VmId &from, const ServerReport &report);
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload);
    void tick();
    ServerReport report(const base::BackendServerId &server);
    const Assessment *assessmentOf(const base::ServiceId &service, base::TimePoint time);
    std::vector<base::BackendServerId> serversToProbe(base::TimePoint time);

    LocalServer *localServer(const base::BackendServerId &id)
    {
        const auto found = m_state.localServers.find(id);
        return found != m_state.localServers.end() ? &found->second : nullptr;
    }

    /// Runs `note`, and reports the path as working again if `note` has changed its state to good.
    template<typename Note>
    void hopReached(const base::VmId &vm, const Note &note)
    {
        const base::TimePoint time = now();
        const PathEvidence *path = m_state.entry.path(vm);
        const bool wasGood = path == nullptr || path->state() == PathState::Good;
        note(time);
        if (!wasGood && path->state() == PathState::Good) {
            report(HealthEvent{HealthEventKind::PathReturned, {}, vm, "The path works again."});
            invalidateAssessments();
        }
    }

    /// To be called for events after which an older assessment would send requests to the wrong servers.
    void invalidateAssessments()
    {
        m_assessments.clear();
    }

    /// To be called for the news of single siblings, of which hundreds arrive each second in a large fleet. An
    /// assessment compares all servers of the service, so it may miss such news for a time that grows with their
    /// number.
    void markAssessmentsOutdated()
    {
        for (auto &[service, assessment] : m_assessments) {
            assessment.isOutdated = true;
        }
    }

    void setUpToDate()
    {
        m_upToDate = true;
    }

    const base::Clock &m_clock;
    HealthState m_state;
    std::map<base::ServiceId, ServiceReference> m_references;
    std::vector<wire::Outgoing> m_outbox;
    std::vector<HealthEvent> m_events;
    HealthCounters m_counters;

private:
    /// Part of the state whose changes are sent to siblings at once. It includes the severity: if all servers have the
    /// same fault, each must know before its own evidence reaches the threshold, or all would eject themselves.
    struct Announcement
    {
        ServerState state = ServerState::Warming;
        bool unhealthy = false;
        int severityLevel = 0; ///< Severity in units of severityStep.

        auto operator<=>(const Announcement &) const = default;
    };

    struct CachedAssessment
    {
        base::TimePoint madeAt;
        bool isOutdated = false; ///< A sibling has reported since.
        Assessment assessment;
    };

    void handlePause(base::TimePoint time);
    void updateLocalServers(base::TimePoint time);
    void applyDrainFlag(LocalServer &server, base::TimePoint time);
    static std::string drainReason(const config::BackendServer &configured);
    std::vector<base::BackendServerId> serversOf(const base::ServiceId &service) const;
    void refreshReferences(base::TimePoint time);
    base::Duration evaluationInterval(std::size_t servers) const;
    bool isDue(base::TimePoint &last, std::size_t servers, base::TimePoint time) const;
    void evaluateService(const base::ServiceId &service, base::TimePoint time);
    void updateSeverities(const base::ServiceId &service, base::TimePoint time);
    void recordEjectedSet(const base::ServiceId &service, const EjectionPlan &plan);
    void evaluatePaths(base::TimePoint time);
    void evaluateEntryEvidence(base::TimePoint time);
    void sendStates(base::TimePoint time);
    FullServerStatus fullStatus(const LocalServer &server, base::TimePoint time);
    void expire(base::TimePoint time);
    void markLeaving(const base::VmId &vm, base::Incarnation incarnation, base::TimePoint time);
    void report(const HealthEvent &event);
    double allowedFalseEjections(const config::Service *service) const;
    double pathThreshold(const base::VmId &vm) const;
    void updatePathThresholds();

    base::TimePoint m_lastCall;
    base::TimePoint m_lastPauseEnd;
    base::TimePoint m_referencesUpdated;
    base::TimePoint m_lastExpiry;
    std::map<base::ServiceId, base::TimePoint> m_evaluated; ///< Time of the last evaluation, by service.
    base::TimePoint m_pathsEvaluated; ///< Time of the last evaluation of the paths from this entry.
    base::TimePoint m_entryEvaluated; ///< Time of the last evaluation of the evidence at this entry.
    bool m_upToDate = false;
    std::map<base::ServiceId, CachedAssessment> m_assessments;
    std::map<base::ServiceId, std::set<base::BackendServerId>> m_ejectedSets;
    double m_pathThresholdFew = 0; ///< For VMs with such a service.
    double m_pathThresholdFast = 0; ///< For other VMs.
    std::map<base::VmId, bool> m_prefersFew; ///< Whether some service on the VM prefers few ejections, by VM.
    std::uint64_t m_ejectedVersion = 1;
    std::map<base::BackendServerId, Announcement> m_announced;
    std::map<base::BackendServerId, base::TimePoint> m_probedAt;
};

// After a pause the state of the process is outdated: siblings may have been ejected or replaced, and its own attempts
// look as if the backend server had hung. Acting on that would eject healthy servers, and sending it would mislead the
// siblings. So the process discards its state and sends nothing until there is new evidence.
void HealthMonitor::Impl::handlePause(base::TimePoint time)
{
    for (auto &[id, server] : m_state.localServers) {
        server.invalidate();
    }
    for (auto &[id, remote] : m_state.remoteServers) {
        remote.invalidate();
    }
    m_state.siblings.invalidate();
    m_state.entry.invalidate();
    m_outbox.clear();
    m_announced.clear();
    m_upToDate = false;
    m_lastPauseEnd = time;
    invalidateAssessments();
    ++m_counters.pauses;
    report(HealthEvent{HealthEventKind::WokeFromPause,
                       {},
                       m_state.self.vm,
                       "The process was paused; its earlier health state is discarded."});
}

void HealthMonitor::Impl::applyConfiguration(const config::ConfigurationPtr &configuration)
{
    const base::TimePoint time = now();
    m_state.configuration = configuration;
    updateLocalServers(time);
    m_state.siblings.configure(*configuration, time);
    std::erase_if(m_state.remoteServers,
                  [&](const auto &entry) { return configuration->backendServer(entry.first) == nullptr; });
    m_prefersFew.clear();
    for (const config::BackendServer &server : configuration->backendServers()) {
        const config::Service *service = configuration->service(server.service);
        m_prefersFew[server.vm] = m_prefersFew[server.vm] || prefersFew(service);
    }
    updatePathThresholds();
    m_referencesUpdated = {};
    setUpToDate();
    invalidateAssessments();
}

void HealthMonitor::Impl::updateLocalServers(base::TimePoint time)
{
    const config::Configuration &configuration = *m_state.configuration;
    // A server at another address is another process and must not inherit the evidence.
    std::erase_if(m_state.localServers, [&](const auto &entry) {
        const config::BackendServer &before = entry.second.configured();
        const config::BackendServer *after = configuration.backendServer(entry.first);
        return after == nullptr || after->vm != m_state.self.vm || after->address != before.address
            || after->port != before.port || after->service != before.service;
    });
    for (const config::BackendServer &server : configuration.backendServers()) {
        if (server.vm != m_state.self.vm) {
            continue;
        }
        const auto [place, isNew] = m_state.localServers.try_emplace(server.id, server, m_state.settings, time);
        place->second.setConfigured(server);
        applyDrainFlag(place->second, time);
        if (isNew && m_state.leaving.contains(m_state.self.vm)) {
            place->second.handle(ServerEvent::Leave, time);
        }
    }
}

std::string HealthMonitor::Impl::drainReason(const config::BackendServer &configured)
{
    if (configured.drain) {
        return "Operators are draining the server.";
    }
    return configured.evacuated ? "Operators evacuate the availability zone of the server."
                                : "The server has announced its end.";
}

void HealthMonitor::Impl::applyDrainFlag(LocalServer &server, base::TimePoint time)
{
    const bool drain = !server.acceptsRequests();
    if (!server.handle(drain ? ServerEvent::Drain : ServerEvent::Undrain, time) || !drain) {
        return;
    }
    const config::BackendServer &configured = server.configured();
    report(HealthEvent{HealthEventKind::Draining, configured.id, configured.vm, drainReason(configured)});
}

void HealthMonitor::Impl::setAnnouncedEnd(const base::BackendServerId &id, bool announced)
{
    const auto server = m_state.localServers.find(id);
    if (server == m_state.localServers.end()) {
        return;
    }
    server->second.setAnnouncedEnd(announced);
    applyDrainFlag(server->second, now());
    invalidateAssessments();
}

void HealthMonitor::Impl::applyVmList(const config::VmList &list)
{
    const base::TimePoint time = now();
    m_state.vmList = list;
    for (const config::VmEntry &vm : list.vms) {
        if (vm.leaving) {
            markLeaving(vm.id, 0, time);
        }
    }
    setUpToDate();
    invalidateAssessments();
}

void HealthMonitor::Impl::setLeaving(const base::VmId &vm)
{
    const base::TimePoint time = now();
    markLeaving(vm, vm == m_state.self.vm ? m_state.self.incarnation : 0, time);
    if (vm != m_state.self.vm) {
        return;
    }
    for (const base::VmId &sibling : m_state.siblings.siblings()) {
        m_outbox.push_back(wire::outgoing(sibling, wire::MessageKind::SiblingLeaving, SiblingLeaving{vm.value()}));
    }
}

void HealthMonitor::Impl::markLeaving(const base::VmId &vm, base::Incarnation incarnation, base::TimePoint time)
{
    if (!m_state.leaving.try_emplace(vm, LeavingVm{incarnation, time}).second) {
        return;
    }
    if (vm == m_state.self.vm) {
        for (auto &[id, server] : m_state.localServers) {
            server.handle(ServerEvent::Leave, time);
        }
    }
    invalidateAssessments();
    report(HealthEvent{HealthEventKind::Gone, {}, vm, "The VM is leaving and gets no new work."});
}

void HealthMonitor::Impl::applyReport(const base::VmId &from, const ServerReport &report)
{
    const base::TimePoint time = now();
    if (!m_state.configuration || !report.upToDate) {
        return;
    }
    const config::BackendServer *server = m_state.configuration->backendServer(base::BackendServerId(report.serverId));
    if (server == nullptr || server->vm != from || from == m_state.self.vm) {
        ++m_counters.messagesIgnored;
        return;
    }
    const bool isPresent = report.state != static_cast<std::uint8_t>(ServerState::Gone);
    const auto leaving = m_state.leaving.find(from);
    if (isPresent && leaving != m_state.leaving.end() && time - leaving->second.since > lateAnswerTime) {
        m_state.leaving.erase(leaving);
    }
    RemoteServer &remote = m_state.remoteServers[server->id];
    const ServerState before = remote.state;
    const bool first = !remote.receivedAt;
    remote.update(report, time);
    const bool ejectedChanged
        = m_state.entry.recordEjected(server->service, from, report.ejectedVersion, report.ejected, time);
    if (ejectedChanged || first || remote.state != before) {
        invalidateAssessments();
    }
}

void HealthMonitor::Impl::receive(const base::VmId &from,
                                  base::Incarnation incarnation,
                                  wire::MessageKind kind,
                                  std::string_view payload)
{
    const base::TimePoint time = now();
    if (!m_state.configuration || !m_state.siblings.isSibling(from)) {
        ++m_counters.messagesIgnored;
        return;
    }
    bool handled = false;
    try {
        if (kind == wire::MessageKind::SiblingState) {
            handled = m_state.siblings.receiveState(
                from, incarnation, payload, *m_state.configuration, m_state.remoteServers, time);
        } else if (kind == wire::MessageKind::SiblingLeaving) {
            const auto leavingMessage = wire::decode<SiblingLeaving>(payload);
            handled = leavingMessage.vm == from.value() && m_state.siblings.acceptIncarnation(from, incarnation);
            if (handled) {
                markLeaving(from, incarnation, time);
            }
        }
    } catch (const base::Error &error) {
        PAPAYASTEP_LOG(WARNING, "health")
            << "A health message is ignored." << base::field("from", from) << base::field("why", error.what());
    }
    if (!handled) {
        ++m_counters.messagesIgnored;
        return;
    }
    const auto leaving = m_state.leaving.find(from);
    if (kind == wire::MessageKind::SiblingState && leaving != m_state.leaving.end() && leaving->second.incarnation != 0
        && leaving->second.incarnation != incarnation) {
        m_state.leaving.erase(leaving);
        invalidateAssessments();
    }
    setUpToDate();
    markAssessmentsOutdated();
}

void HealthMonitor::Impl::tick()
{
    const base::TimePoint time = now();
    if (!m_state.configuration) {
        return;
    }
    if (!m_upToDate && time - m_lastPauseEnd >= regularTickTime) {
        setUpToDate();
    }
    refreshReferences(time);
    bool evaluated = false;
    for (const auto &[service, reference] : m_references) {
        if (isDue(m_evaluated[service], m_state.configuration->serversOf(service).size(), time)) {
            evaluateService(service, time);
            evaluated = true;
        }
    }
    if (isDue(m_pathsEvaluated, m_state.entry.paths().size(), time)) {
        evaluatePaths(time);
    }
    if (isDue(m_entryEvaluated, m_state.entry.servers().size(), time)) {
        evaluateEntryEvidence(time);
    }
    for (const base::VmId &vm : m_state.siblings.newlyUnreachable(time)) {
        report(HealthEvent{HealthEventKind::SiblingUnreachable, {}, vm, "The sibling is unreachable."});
    }
    sendStates(time);
    expire(time);
    if (evaluated) {
        invalidateAssessments();
    }
}

/// Returns the interval at which the evidence about `servers` servers is evaluated. Each evaluation compares all of
/// them, so that an interval of one tick would take most of a small VM's share of a core in a service of hundreds.
base::Duration HealthMonitor::Impl::evaluationInterval(std::size_t servers) const
{
    return std::max(m_state.settings.tickInterval,
                    m_state.settings.evaluationTimePerServer * static_cast<std::int64_t>(servers));
}

bool HealthMonitor::Impl::isDue(base::TimePoint &last, std::size_t servers, base::TimePoint time) const
{
    const bool due = time - last >= evaluationInterval(servers);
    last = due ? time : last;
    return due;
}

std::vector<base::BackendServerId> HealthMonitor::Impl::serversOf(const base::ServiceId &service) const
{
    std::vector<base::BackendServerId> ids;
    for (const config::BackendServer *server : m_state.configuration->serversOf(service)) {
        ids.push_back(server->id);
    }
    return ids;
}

void HealthMonitor::Impl::refreshReferences(base::TimePoint time)
{
    if (time - m_referencesUpdated < referenceLifetime) {
        return;
    }
    m_referencesUpdated = time;
    m_references.clear();
    for (const auto &[id, server] : m_state.localServers) {
        const base::ServiceId &service = server.configured().service;
        if (!m_references.contains(service)) {
            m_references[service] = referenceOf(serversOf(service), m_state.remoteServers);
        }
    }
}

void HealthMonitor::Impl::evaluateService(const base::ServiceId &service, base::TimePoint time)
{
    ++m_counters.evaluations;
    updateSeverities(service, time);
    invalidateAssessments();
    const EjectionPlan plan = assessmentOf(service, time)->plan;
    for (auto &[id, server] : m_state.localServers) {
        if (server.configured().service != service) {
            continue;
        }
        for (const HealthEvent &event : server.applyPlan(plan, time, m_references[service])) {
            report(event);
        }
    }
    recordEjectedSet(service, plan);
}

void HealthMonitor::Impl::updateSeverities(const base::ServiceId &service, base::TimePoint time)
{
    const auto siblings = serversOf(service);
    const config::Service *configured = m_state.configuration->service(service);
    const double allowed = allowedFalseEjections(configured);
    const base::Duration minDetectionTime
        = prefersFew(configured) ? m_state.settings.minDetectionTimeFew : m_state.settings.minDetectionTimeFast;
    const int usual = medianSeverity(siblings, m_state.remoteServers);
    for (auto &[id, server] : m_state.localServers) {
        if (server.configured().service != service) {
            continue;
        }
        const double rate = std::max(minRequestRate, server.evidence().requestsPerSecond(time));
        server.evidence().setThreshold(
            ejectionThreshold(FalseEjectionTarget{rate, static_cast<int>(siblings.size()), allowed}));
        server.updateSeverity(time, m_references[service], usual, minDetectionTime);
    }
}

void HealthMonitor::Impl::recordEjectedSet(const base::ServiceId &service, const EjectionPlan &plan)
{
    if (m_ejectedSets[service] == plan.ejected) {
        return;
    }
    m_ejectedSets[service] = plan.ejected;
    ++m_ejectedVersion;
}

double HealthMonitor::Impl::allowedFalseEjections(const config::Service *service) const
{
    return prefersFew(service) ? m_state.settings.maxFalseEjectionsFew : m_state.settings.maxFalseEjectionsFast;
}

double HealthMonitor::Impl::pathThreshold(const base::VmId &vm) const
{
    const auto found = m_prefersFew.find(vm);
    return found != m_prefersFew.end() && found->second ? m_pathThresholdFew : m_pathThresholdFast;
}

void HealthMonitor::Impl::updatePathThresholds()
{
    const auto threshold = [this](double allowed) {
        return ejectionThreshold(FalseEjectionTarget{assumedHopRate, static_cast<int>(m_prefersFew.size()), allowed});
    };
    m_pathThresholdFew = threshold(m_state.settings.maxFalseEjectionsFew);
    m_pathThresholdFast = threshold(m_state.settings.maxFalseEjectionsFast);
}

void HealthMonitor::Impl::evaluatePaths(base::TimePoint time)
{
    for (auto &[vm, path] : m_state.entry.paths()) {
        const auto happened = path.advance(time, pathThreshold(vm));
        if (happened) {
            invalidateAssessments();
        }
        if (happened == HealthEventKind::PathEjected) {
            report(HealthEvent{*happened, {}, vm, "Hops to the VM are not acknowledged; its path is avoided."});
        } else if (happened) {
            report(HealthEvent{*happened, {}, vm, "The next hop tests whether the path works again."});
        }
    }
}

void HealthMonitor::Impl::evaluateEntryEvidence(base::TimePoint time)
{
    std::map<base::ServiceId, std::vector<std::pair<base::Duration, double>>> seen;
    for (const auto &[id, evidence] : m_state.entry.servers()) {
        if (const config::BackendServer *server = m_state.configuration->backendServer(id)) {
            seen[server->service].emplace_back(evidence.latency(), evidence.failureShare());
        }
    }
    for (auto &[id, evidence] : m_state.entry.servers()) {
        const config::BackendServer *server = m_state.configuration->backendServer(id);
        if (server == nullptr) {
            continue;
        }
        auto &all = seen[server->service];
        const auto middle = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
        std::nth_element(all.begin(), middle, all.end());
        const base::Duration usualLatency = middle->first;
        std::nth_element(
            all.begin(), middle, all.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        const auto happened = evidence.advance(time, pathThreshold(server->vm), usualLatency, middle->second);
        if (happened) {
            invalidateAssessments();
        }
        if (happened == HealthEventKind::EntryEjected) {
            report(HealthEvent{*happened, id, server->vm, "This entry node avoids the server after failed answers."});
        } else if (happened) {
            report(HealthEvent{*happened, id, server->vm, "This entry node uses the server again after good answers."});
        }
    }
}

FullServerStatus HealthMonitor::Impl::fullStatus(const LocalServer &server, base::TimePoint time)
{
    const base::ServiceId &service = server.configured().service;
    FullServerStatus full{service, server.status(assessmentOf(service, time)->usualLatency, time), {}, {}};
    for (const auto &[route, latencies] : server.evidence().routes()) {
        if (latencies.size() >= minReportedAnswers) {
            full.routes[route] = latencySteps(latencies.median());
        }
    }
    if (server.evidence().histogram().hasEnoughAnswers()) {
        full.distribution = encodeDistribution(server.evidence().histogram().distribution());
    }
    return full;
}

void HealthMonitor::Impl::sendStates(base::TimePoint time)
{
    if (!m_upToDate) {
        return;
    }
    std::set<base::ServiceId> urgent;
    for (const auto &[id, server] : m_state.localServers) {
        const SiblingCondition condition = server.condition();
        const int level = condition.severity >= suspectPercent ? condition.severity / severityStep : 0;
        const Announcement current{server.lifecycle().state(), condition.unhealthy, level};
        const auto [place, isNew] = m_announced.try_emplace(id, current);
        if (isNew || place->second != current) {
            urgent.insert(server.configured().service);
        }
        place->second = current;
    }
    if (urgent.empty() && !m_state.siblings.anyDue(time)) {
        return;
    }
    std::vector<FullServerStatus> statuses;
    for (const auto &[id, server] : m_state.localServers) {
        statuses.push_back(fullStatus(server, time));
    }
    for (wire::Outgoing &message : m_state.siblings.dueMessages(statuses, urgent, time)) {
        m_outbox.push_back(std::move(message));
    }
}

void HealthMonitor::Impl::expire(base::TimePoint time)
{
    if (time - m_lastExpiry < expiryInterval) {
        return;
    }
    m_lastExpiry = time;
    m_state.entry.expire(time);
    std::erase_if(m_state.remoteServers, [&](const auto &entry) {
        return entry.second.receivedAt && time - *entry.second.receivedAt > remoteServerLifetime;
    });
}

void HealthMonitor::Impl::report(const HealthEvent &event)
{
    switch (event.kind) {
    case HealthEventKind::Ejected:
        ++m_counters.ejections;
        break;
    case HealthEventKind::Returned:
        ++m_counters.returns;
        break;
    case HealthEventKind::Trial:
        ++m_counters.trials;
        break;
    case HealthEventKind::TrialFailed:
        ++m_counters.trialFailures;
        break;
    case HealthEventKind::FloorHeld:
        ++m_counters.floorHolds;
        break;
    case HealthEventKind::PathEjected:
        ++m_counters.pathEjections;
        break;
    case HealthEventKind::PathReturned:
        ++m_counters.pathReturns;
        break;
    case HealthEventKind::EntryEjected:
        ++m_counters.entryEjections;
        break;
    default:
        break;
    }
    // A suspicion has no effect and mostly passes. Logging it would hide the important lines.
    if (event.kind != HealthEventKind::Suspected) {
        PAPAYASTEP_LOG(INFO, "health") << event.description << base::field("event", name(event.kind))
                                       << base::field("vm", event.vm) << base::field("server", event.server);
    }
    m_events.push_back(event);
}

ServerReport HealthMonitor::Impl::report(const base::BackendServerId &id)
{
    const base::TimePoint time = now();
    ServerReport report;
    const LocalServer *server = localServer(id);
    if (server == nullptr) {
        return report;
    }
    const Assessment *assessment = assessmentOf(server->configured().service, time);
    const ServerStatus status = server->status(assessment->usualLatency, time);
    report.server = status.server;
    report.serverId = id.value();
    report.state = status.state;
    report.upToDate = m_upToDate;
    report.slotsInUse = status.slotsInUse;
    report.queueLength = status.queueLength;
    report.latencySteps = status.latencySteps;
    report.ejectedVersion = m_ejectedVersion;
    for (const base::BackendServerId &ejected : assessment->plan.ejected) {
        report.ejected.push_back(shortHash(ejected.value()));
    }
    return report;
}

const Assessment *HealthMonitor::Impl::assessmentOf(const base::ServiceId &service, base::TimePoint time)
{
    const auto found = m_assessments.find(service);
    const std::size_t servers = m_state.configuration->serversOf(service).size();
    if (found != m_assessments.end()) {
        const base::Duration lifetime = found->second.isOutdated
            ? m_state.settings.evaluationTimePerServer * static_cast<std::int64_t>(servers)
            : evaluationInterval(servers);
        if (time - found->second.madeAt < lifetime) {
            return &found->second.assessment;
        }
    }
    auto &place = m_assessments[service];
    place = {time, false, assess(m_state, service, time)};
    return &place.assessment;
}

std::vector<base::BackendServerId> HealthMonitor::Impl::serversToProbe(base::TimePoint time)
{
    std::vector<base::BackendServerId> wanted;
    for (const auto &[id, server] : m_state.localServers) {
        const config::Service *service = m_state.configuration->service(server.configured().service);
        const auto last = server.evidence().lastFinished();
        const bool idle = server.evidence().inFlight() == 0 && (!last || time - *last >= idleTime);
        const Admission admission = server.admission();
        if (service == nullptr || service->healthPath.empty() || !idle || admission == Admission::Draining) {
            continue;
        }
        if (const auto probed = m_probedAt.find(id); probed != m_probedAt.end() && time - probed->second < idleTime) {
            continue;
        }
        m_probedAt[id] = time;
        wanted.push_back(id);
    }
    return wanted;
}

HealthMonitor::HealthMonitor(const NodeIdentity &self,
                             const base::Clock &clock,
                             std::uint64_t seed,
                             const HealthSettings &settings)
    : m_impl(std::make_unique<Impl>(self, clock, seed, settings))
{
}

HealthMonitor::~HealthMonitor() = default;

void HealthMonitor::applyConfiguration(const config::ConfigurationPtr &configuration)
{
    m_impl->applyConfiguration(configuration);
}

void HealthMonitor::applyVmList(const config::VmList &list)
{
    m_impl->applyVmList(list);
}

void HealthMonitor::setAnnouncedEnd(const base::BackendServerId &server, bool announced)
{
    m_impl->setAnnouncedEnd(server, announced);
}

void HealthMonitor::setLeaving(const base::VmId &vm)
{
    m_impl->setLeaving(vm);
}

Admission HealthMonitor::admission(const base::BackendServerId &server) const
{
    const LocalServer *local = m_impl->localServer(server);
    return local != nullptr ? local->admission() : Admission::Unknown;
}

void HealthMonitor::attemptStarted(const base::BackendServerId &server,
                                   const AttemptKey &key,
                                   const base::RouteId &route)
{
    const base::TimePoint time = m_impl->now();
    if (LocalServer *local = m_impl->localServer(server)) {
        local->evidence().started(key, shortHash(route.value()), time);
    }
}

void HealthMonitor::attemptFinished(const base::BackendServerId &server,
                                    const AttemptKey &key,
                                    AttemptOutcome outcome,
                                    base::Duration latency)
{
    const base::TimePoint time = m_impl->now();
    LocalServer *local = m_impl->localServer(server);
    if (local == nullptr) {
        return;
    }
    const auto before = local->evidence().lastFinished();
    const auto &usual = m_impl->m_references[local->configured().service];
    local->evidence().finished(key, outcome, latency, time, usual);
    if (local->evidence().lastFinished() != before) {
        m_impl->setUpToDate();
    }
}

void HealthMonitor::setQueueLength(const base::BackendServerId &server, int length)
{
    m_impl->now();
    if (LocalServer *local = m_impl->localServer(server)) {
        local->setQueueLength(length);
    }
}

void HealthMonitor::probeFinished(const base::BackendServerId &server, bool good)
{
    m_impl->now();
    if (LocalServer *local = m_impl->localServer(server)) {
        local->evidence().setProbeResult(good);
    }
}

void HealthMonitor::hopSent(const base::VmId &vm, const base::BackendServerId &server, const AttemptKey &key)
{
    m_impl->m_state.entry.hopSent(vm, server, key, m_impl->now());
}

void HealthMonitor::hopAcknowledged(const base::VmId &vm, const AttemptKey &key)
{
    m_impl->hopReached(vm, [&](base::TimePoint time) { m_impl->m_state.entry.hopAcknowledged(vm, key, time); });
}

void HealthMonitor::hopEnded(const base::VmId &vm, const AttemptKey &key, HopOutcome outcome, base::Duration latency)
{
    m_impl->hopReached(vm,
                       [&](base::TimePoint time) { m_impl->m_state.entry.hopEnded(vm, key, outcome, latency, time); });
}

ServerReport HealthMonitor::report(const base::BackendServerId &server) const
{
    return m_impl->report(server);
}

void HealthMonitor::applyReport(const base::VmId &from, const ServerReport &report)
{
    m_impl->applyReport(from, report);
}

void HealthMonitor::receive(const base::VmId &from,
                            base::Incarnation incarnation,
                            wire::MessageKind kind,
                            std::string_view payload)
{
    m_impl->receive(from, incarnation, kind, payload);
}

std::vector<wire::Outgoing> HealthMonitor::takeMessages()
{
    m_impl->now();
    auto messages = std::exchange(m_impl->m_outbox, {});
    for (const wire::Outgoing &message : messages) {
        ++m_impl->m_counters.messagesSent;
        m_impl->m_counters.bytesSent += message.payload.size();
    }
    return messages;
}

void HealthMonitor::tick()
{
    m_impl->tick();
}

base::TimePoint HealthMonitor::nextTick() const
{
    return m_impl->m_clock.now() + m_impl->m_state.settings.tickInterval;
}

ServerView HealthMonitor::view(const base::BackendServerId &server) const
{
    const base::TimePoint time = m_impl->now();
    const config::BackendServer *configured
        = m_impl->m_state.configuration ? m_impl->m_state.configuration->backendServer(server) : nullptr;
    if (configured == nullptr) {
        ServerView unknown;
        unknown.availability = Availability::Gone;
        unknown.weight = 0;
        unknown.reason = "It is not configured.";
        return unknown;
    }
    ServerView view = m_impl->assessmentOf(configured->service, time)->views.at(server);
    addLoad(view, m_impl->m_state, *configured, m_impl->assessmentOf(configured->service, time)->usualLatency, time);
    return view;
}

base::Duration HealthMonitor::usualLatency(const base::ServiceId &service) const
{
    const base::TimePoint time = m_impl->now();
    return m_impl->m_state.configuration ? m_impl->assessmentOf(service, time)->usualLatency : base::Duration::zero();
}

std::vector<base::BackendServerId> HealthMonitor::serversToProbe() const
{
    const base::TimePoint time = m_impl->now();
    return m_impl->m_state.configuration ? m_impl->serversToProbe(time) : std::vector<base::BackendServerId>();
}

std::vector<HealthEvent> HealthMonitor::takeEvents()
{
    return std::exchange(m_impl->m_events, {});
}

const HealthCounters &HealthMonitor::counters() const
{
    return m_impl->m_counters;
}

std::string_view name(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Success:
        return "success";
    case AttemptOutcome::Error:
        return "error";
    case AttemptOutcome::CallFailed:
        return "call-failed";
    case AttemptOutcome::Partial:
        return "partial";
    case AttemptOutcome::Timeout:
        return "timeout";
    case AttemptOutcome::ConnectionRefused:
        return "connection-refused";
    case AttemptOutcome::Shed:
        return "shed";
    case AttemptOutcome::CancelledByUs:
        return "cancelled-by-us";
    }
    return "unknown";
}

std::string_view name(HealthEventKind kind)
{
    switch (kind) {
    case HealthEventKind::Suspected:
        return "suspected";
    case HealthEventKind::Ejected:
        return "ejected";
    case HealthEventKind::Trial:
        return "trial";
    case HealthEventKind::TrialFailed:
        return "trial-failed";
    case HealthEventKind::Returned:
        return "returned";
    case HealthEventKind::FloorHeld:
        return "floor-held";
    case HealthEventKind::Readmitted:
        return "readmitted";
    case HealthEventKind::Draining:
        return "draining";
    case HealthEventKind::Gone:
        return "gone";
    case HealthEventKind::PathEjected:
        return "path-ejected";
    case HealthEventKind::PathTrial:
        return "path-trial";
    case HealthEventKind::PathReturned:
        return "path-returned";
    case HealthEventKind::EntryEjected:
        return "entry-ejected";
    case HealthEventKind::EntryReturned:
        return "entry-returned";
    case HealthEventKind::SiblingUnreachable:
        return "sibling-unreachable";
    case HealthEventKind::WokeFromPause:
        return "woke-from-pause";
    }
    return "unknown";
}

}
