#include "assessment.h"
#include "latencyscale.h"

#include "papayastep/health/runestimate.h"

#include <algorithm>

namespace papayastep::health {

namespace {

/// Of a server that sheds or refuses. That is load, so it gets less work, not none.
constexpr double refusingWeight = 0.2;
/// Of a sibling that sends no messages while there is no evidence against its path.
constexpr double unreachableWeight = 0.5;
constexpr double pathTrialWeight = 0.05;
constexpr std::size_t minOwnAnswers = 3; ///< Own answers from which reported latencies no longer count.
constexpr int minLatencyDivisor = 4; ///< A reported latency counts as at least this part of the siblings' median.
const base::Duration maxLoadAge = std::chrono::seconds(5);
const base::Duration maxEjectionReportAge = std::chrono::minutes(1);
const base::Duration returnTrialTime = std::chrono::seconds(30);

/// Assesses one service during one call of assess().
class Assessor
{
public:
    Assessor(const HealthState &healthState, const base::ServiceId &service, base::TimePoint now)
        : m_healthState(healthState)
        , m_service(service)
        , m_now(now)
        , m_serves(healthState.serves(service))
        , m_servers(healthState.configuration->serversOf(service))
    {
    }

    Assessment run()
    {
        const config::Service *service = m_healthState.configuration->service(m_service);
        const double floor = service != nullptr ? service->floor : 0;
        std::vector<SiblingCondition> conditions;
        for (const config::BackendServer *server : m_servers) {
            conditions.push_back(condition(*server));
        }
        m_result.plan = planEjections(conditions, floor);
        m_avoided = planAvoided(conditions, floor);
        m_result.usualLatency = medianReportedLatency();
        for (const config::BackendServer *server : m_servers) {
            m_result.views[server->id] = view(*server);
        }
        spreadIfNoneIsUsable();
        return std::move(m_result);
    }

private:
    const RemoteServer *remoteServer(const base::BackendServerId &id) const
    {
        const auto found = m_healthState.remoteServers.find(id);
        return found != m_healthState.remoteServers.end() ? &found->second : nullptr;
    }

    const LocalServer *own(const base::BackendServerId &id) const
    {
        const auto found = m_healthState.localServers.find(id);
        return found != m_healthState.localServers.end() ? &found->second : nullptr;
    }

    bool isUnreachable(const config::BackendServer &server) const
    {
        return m_serves && !m_healthState.siblings.reachable(server.vm, m_now);
    }

    bool isUnlisted(const config::BackendServer &server) const
    {
        const bool known = server.vm == m_healthState.self.vm || m_healthState.siblings.reachable(server.vm, m_now);
        return !known && !m_healthState.vmList.vms.empty() && m_healthState.vmList.find(server.vm) == nullptr;
    }

    ServerState state(const base::BackendServerId &id) const
    {
        if (const LocalServer *local = own(id)) {
            return local->lifecycle().state();
        }
        const RemoteServer *reported = remoteServer(id);
        return reported != nullptr ? reported->state : ServerState::Healthy;
    }

    /// When the siblings of a server last reported it as ejected, unless its own node has sent a report since.
    std::optional<base::TimePoint> ejectionReportTime(const config::BackendServer &server) const
    {
        if (m_serves) {
            return std::nullopt;
        }
        const auto reportedAt
            = m_healthState.entry.reportedEjected(m_service, server.vm, shortHash(server.id.value()), m_now);
        const RemoteServer *reported = remoteServer(server.id);
        const bool reportedSince
            = reportedAt && reported != nullptr && reported->receivedAt && *reported->receivedAt > *reportedAt;
        return reportedSince ? std::nullopt : reportedAt;
    }

    bool isLeaving(const config::BackendServer &server) const
    {
        return m_healthState.leaving.contains(server.vm) || isUnlisted(server);
    }

    SiblingCondition condition(const config::BackendServer &server) const
    {
        SiblingCondition result{server.id, server.slots};
        if (const LocalServer *local = own(server.id)) {
            result = local->condition();
        } else if (const RemoteServer *reported = remoteServer(server.id)) {
            result.gone = reported->state == ServerState::Draining || reported->state == ServerState::Gone;
            result.unhealthy = reported->unhealthy;
            result.ejected = reported->state == ServerState::Ejected || reported->state == ServerState::Trial;
            result.severity = reported->severity;
        }
        if (ejectionReportTime(server)) {
            result.unhealthy = true;
            result.ejected = true;
        }
        result.gone = result.gone || !server.acceptsRequests() || isLeaving(server) || isUnreachable(server);
        return result;
    }

    /// The floor also limits which servers this entry node avoids on its own; ejected servers count as gone.
    EjectionPlan planAvoided(std::vector<SiblingCondition> conditions, double floor) const
    {
        for (SiblingCondition &server : conditions) {
            const EntryEvidence *entryEvidence = m_healthState.entry.server(server.id);
            server.gone = server.gone || m_result.plan.ejected.contains(server.id);
            server.unhealthy = entryEvidence != nullptr && entryEvidence->weight() < 1;
            server.ejected = false;
            server.severity = entryEvidence != nullptr ? static_cast<int>(1000 * entryEvidence->failureShare()) : 0;
        }
        return planEjections(conditions, floor);
    }

    base::Duration medianReportedLatency() const
    {
        std::vector<std::uint8_t> steps;
        for (const config::BackendServer *server : m_servers) {
            const RemoteServer *reported = remoteServer(server->id);
            if (reported != nullptr && reported->latencySteps > 0) {
                steps.push_back(reported->latencySteps);
            }
        }
        if (steps.empty()) {
            return base::Duration::zero();
        }
        const auto middle = steps.begin() + static_cast<std::ptrdiff_t>(steps.size() / 2);
        std::nth_element(steps.begin(), middle, steps.end());
        return latencyOf(*middle);
    }

    ServerView view(const config::BackendServer &server) const
    {
        ServerView view;
        addState(view, server);
        addPath(view, server);
        addOwnObservation(view, server);
        return view;
    }

    static void setUnavailable(ServerView &view, Availability availability, const char *reason)
    {
        view.availability = availability;
        view.weight = 0;
        view.reason = reason;
    }

    void addState(ServerView &view, const config::BackendServer &server) const
    {
        const ServerState current = state(server.id);
        if (isLeaving(server) || current == ServerState::Gone) {
            return setUnavailable(view, Availability::Gone, "Its VM is leaving or gone.");
        }
        if (server.evacuated) {
            return setUnavailable(view, Availability::Draining, "Its availability zone is evacuated.");
        }
        if (server.drain || current == ServerState::Draining) {
            return setUnavailable(view, Availability::Draining, "It is draining.");
        }
        const bool ejected = m_result.plan.ejected.contains(server.id);
        if (ejected && current == ServerState::Trial) {
            view.availability = Availability::Trial;
            view.weight = m_healthState.settings.trialWeight;
            view.reason = "A trial tests whether it has recovered.";
            return;
        }
        if (ejected || ejectedInLastReport(server, current)) {
            return setUnavailable(view, Availability::Ejected, "It is ejected as unhealthy.");
        }
        addWeight(view, server, current);
    }

    /// An unreachable sibling counts as gone in the plan, which therefore does not contain it.
    bool ejectedInLastReport(const config::BackendServer &server, ServerState current) const
    {
        const RemoteServer *reported = remoteServer(server.id);
        return isUnreachable(server) && current == ServerState::Ejected && reported != nullptr && reported->receivedAt
            && m_now - *reported->receivedAt < maxEjectionReportAge;
    }

    void addWeight(ServerView &view, const config::BackendServer &server, ServerState current) const
    {
        const HealthSettings &settings = m_healthState.settings;
        const RemoteServer *reported = remoteServer(server.id);
        view.reason = "It is healthy.";
        if (const LocalServer *local = own(server.id)) {
            view.weight = std::max(local->lifecycle().weight(m_now), settings.warmingStartWeight);
        } else if (reported != nullptr && current == ServerState::Warming) {
            const double share = std::chrono::duration<double>(m_now - reported->stateSince) / settings.warmingTime;
            view.weight = std::clamp(share, settings.warmingStartWeight, 1.0);
        }
        if (current == ServerState::Warming) {
            view.reason = "It is warming up.";
        }
        if (m_result.plan.heldByFloor.contains(server.id)) {
            view.spread = m_result.plan.spread;
            view.weight = view.spread ? 1 : settings.floorWeight;
            view.reason = view.spread ? "All servers look unhealthy, so work goes to all."
                                      : "It is unhealthy, but the floor keeps it in use.";
        }
        if (reported != nullptr && !reported->accepting) {
            view.weight *= refusingWeight;
            view.reason = "It currently sheds or refuses work.";
        }
        if (mayHaveReturned(server)) {
            view.availability = Availability::Trial;
            view.weight = settings.trialWeight;
            view.reason = "Its siblings no longer report it as ejected.";
        }
        if (isUnreachable(server)) {
            view.weight *= unreachableWeight;
            view.reason = "Its node has sent no message for some time.";
        }
    }

    /// Whether the last report of the server's own node, a short time ago, was that it is ejected. An entry node that
    /// is no sibling detects the trial only because the others stop reporting the ejection; without a limit, all such
    /// entry nodes would then overload the server at once.
    bool mayHaveReturned(const config::BackendServer &server) const
    {
        const RemoteServer *reported = remoteServer(server.id);
        return !m_serves && reported != nullptr && reported->unhealthy && reported->receivedAt
            && m_now - *reported->receivedAt < returnTrialTime;
    }

    void addPath(ServerView &view, const config::BackendServer &server) const
    {
        const PathEvidence *path = m_healthState.entry.path(server.vm);
        if (path == nullptr || server.vm == m_healthState.self.vm) {
            return;
        }
        view.path = path->state();
        if (view.weight <= 0 || view.path == PathState::Good) {
            return;
        }
        view.weight = view.path == PathState::Broken ? 0 : std::min(view.weight, pathTrialWeight);
        view.reason = "The path from this VM to it does not work.";
    }

    void addOwnObservation(ServerView &view, const config::BackendServer &server) const
    {
        const EntryEvidence *entryEvidence = m_healthState.entry.server(server.id);
        if (view.weight <= 0 || entryEvidence == nullptr || !m_avoided.ejected.contains(server.id)) {
            return;
        }
        view.weight = std::min(view.weight, entryEvidence->weight());
        view.availability = view.usable() ? Availability::Trial : Availability::Ejected;
        view.reason = "Requests of this entry node failed there, contrary to the reports.";
    }

    // If no server looks usable, an error in this node's estimates is more likely than a fault of all servers at once,
    // and a request that is sent to any of them has a better chance than one that is refused.
    void spreadIfNoneIsUsable()
    {
        auto &views = m_result.views;
        const auto open = [](const auto &entry) { return entry.second.usable(); };
        if (std::any_of(views.begin(), views.end(), open)) {
            return;
        }
        const auto present = [](const ServerView &view) {
            return view.availability != Availability::Gone && view.availability != Availability::Draining;
        };
        const bool anyPath = std::any_of(views.begin(), views.end(), [&](const auto &entry) {
            return present(entry.second) && entry.second.path != PathState::Broken;
        });
        for (auto &[id, view] : views) {
            if (present(view) && (!anyPath || view.path != PathState::Broken)) {
                view.weight = 1;
                view.spread = true;
                view.reason = "No server looks usable, so work goes to all remaining ones.";
            }
        }
    }

    const HealthState &m_healthState;
    const base::ServiceId &m_service;
    base::TimePoint m_now;
    bool m_serves;
    const std::vector<const config::BackendServer *> &m_servers;
    EjectionPlan m_avoided;
    Assessment m_result;
};

}

HealthState::HealthState(const NodeIdentity &ownSelf, std::uint64_t seed, const HealthSettings &ownSettings)
    : self(ownSelf)
    , settings(ownSettings)
    , siblings(ownSelf.vm, seed, ownSettings)
    , entry(ownSettings)
{
}

bool HealthState::serves(const base::ServiceId &service) const
{
    return std::any_of(localServers.begin(), localServers.end(), [&](const auto &entry) {
        return entry.second.configured().service == service;
    });
}

// A sibling that wrongly reports to be idle and fast would attract all traffic. So a report is limited by what this
// node can observe itself: its own attempts in flight there, and the latency that it measured.
void addLoad(ServerView &view,
             const HealthState &healthState,
             const config::BackendServer &server,
             base::Duration usualLatency,
             base::TimePoint now)
{
    const EntryEvidence *entryEvidence = healthState.entry.server(server.id);
    int inUse = entryEvidence != nullptr ? entryEvidence->inFlight() : 0;
    const auto local = healthState.localServers.find(server.id);
    const auto reported = healthState.remoteServers.find(server.id);
    if (local != healthState.localServers.end()) {
        inUse = std::max(inUse, static_cast<int>(local->second.evidence().inFlight()));
        view.queueLength = local->second.queueLength();
        view.latency = local->second.latency(usualLatency, now);
        view.age = base::Duration::zero();
    } else if (reported != healthState.remoteServers.end() && reported->second.receivedAt) {
        const RemoteServer &remote = reported->second;
        view.age = now - *remote.receivedAt;
        if (*view.age <= maxLoadAge) {
            inUse = std::max(inUse, remote.slotsInUse);
            view.queueLength = remote.queueLength;
        }
        const base::Duration latency = std::max(latencyOf(remote.latencySteps), usualLatency / minLatencyDivisor);
        view.latency = remote.latencySteps > 0 ? decayedLatency(latency, usualLatency, *view.age) : usualLatency;
    }
    if (entryEvidence != nullptr && entryEvidence->answers() >= minOwnAnswers) {
        view.latency = decayedLatency(entryEvidence->latency(), view.latency, now - *entryEvidence->lastAnswer());
    }
    view.slotsInUse = std::min(inUse, server.slots);
}

Assessment assess(const HealthState &healthState, const base::ServiceId &service, base::TimePoint now)
{
    return Assessor(healthState, service, now).run();
}

}
