#include "assessment.h"
#include "latencyscale.h"

#include "papayastep/health/runestimate.h"

#include <algorithm>

namespace papayastep::health {

namespace {

constexpr double refusingWeight = 0.2; ///< Of a server that sheds or refuses: load, so less work, not none.
constexpr double silentWeight = 0.5; ///< Of a sibling that is not heard of, while nothing speaks against its path.
constexpr double pathTrialWeight = 0.05;
constexpr std::size_t trustedAnswers = 3; ///< Own answers after which told latencies no longer count.
constexpr int boastDivisor = 4; ///< A told latency counts as at least this part of the siblings' median.
const base::Duration freshLoad = std::chrono::seconds(5);
const base::Duration freshEjection = std::chrono::minutes(1);
const base::Duration returnDoubt = std::chrono::seconds(30);

/// Works out one service. Lives for one call of assess().
class Assessor
{
public:
    Assessor(const HealthState &knowledge, const base::ServiceId &service, base::TimePoint now)
        : m_knowledge(knowledge)
        , m_service(service)
        , m_now(now)
        , m_serves(knowledge.serves(service))
        , m_servers(knowledge.configuration->serversOf(service))
    {
    }

    Assessment run()
    {
        const config::Service *service = m_knowledge.configuration->service(m_service);
        const double floor = service != nullptr ? service->floor : 0;
        std::vector<SiblingCondition> conditions;
        for (const config::BackendServer *server : m_servers) {
            conditions.push_back(condition(*server));
        }
        m_result.plan = planEjections(conditions, floor);
        m_avoided = planAvoided(conditions, floor);
        m_result.usualLatency = medianToldLatency();
        for (const config::BackendServer *server : m_servers) {
            m_result.views[server->id] = view(*server);
        }
        spreadIfNothingIsLeft();
        return std::move(m_result);
    }

private:
    const RemoteServer *belief(const base::BackendServerId &id) const
    {
        const auto found = m_knowledge.remoteServers.find(id);
        return found != m_knowledge.remoteServers.end() ? &found->second : nullptr;
    }

    const LocalServer *own(const base::BackendServerId &id) const
    {
        const auto found = m_knowledge.localServers.find(id);
        return found != m_knowledge.localServers.end() ? &found->second : nullptr;
    }

    bool silent(const config::BackendServer &server) const
    {
        return m_serves && !m_knowledge.siblings.reachable(server.vm, m_now);
    }

    bool unlisted(const config::BackendServer &server) const
    {
        const bool known = server.vm == m_knowledge.self.vm || m_knowledge.siblings.reachable(server.vm, m_now);
        return !known && !m_knowledge.vmList.vms.empty() && m_knowledge.vmList.find(server.vm) == nullptr;
    }

    ServerState state(const base::BackendServerId &id) const
    {
        if (const LocalServer *beside = own(id)) {
            return beside->lifecycle().state();
        }
        const RemoteServer *told = belief(id);
        return told != nullptr ? told->state : ServerState::Healthy;
    }

    /// When the siblings of a server last said that it is ejected, if it has not spoken for itself since.
    std::optional<base::TimePoint> saidEjected(const config::BackendServer &server) const
    {
        if (m_serves) {
            return std::nullopt;
        }
        const auto heard = m_knowledge.entry.reportedEjected(m_service, server.vm, shortHash(server.id.value()), m_now);
        const RemoteServer *told = belief(server.id);
        const bool spokeSince = heard && told != nullptr && told->receivedAt && *told->receivedAt > *heard;
        return spokeSince ? std::nullopt : heard;
    }

    bool leaves(const config::BackendServer &server) const
    {
        return m_knowledge.leaving.contains(server.vm) || unlisted(server);
    }

    SiblingCondition condition(const config::BackendServer &server) const
    {
        SiblingCondition result{server.id, server.slots};
        if (const LocalServer *beside = own(server.id)) {
            result = beside->condition();
        } else if (const RemoteServer *told = belief(server.id)) {
            result.gone = told->state == ServerState::Draining || told->state == ServerState::Gone;
            result.unhealthy = told->unhealthy;
            result.ejected = told->state == ServerState::Ejected || told->state == ServerState::Trial;
            result.severity = told->severity;
        }
        if (saidEjected(server)) {
            result.unhealthy = true;
            result.ejected = true;
        }
        result.gone = result.gone || server.drain || leaves(server) || silent(server);
        return result;
    }

    /// What this entry alone avoids is cut by the same floor, with the ejected ones counted as gone.
    EjectionPlan planAvoided(std::vector<SiblingCondition> conditions, double floor) const
    {
        for (SiblingCondition &server : conditions) {
            const EntryEvidence *seen = m_knowledge.entry.server(server.id);
            server.gone = server.gone || m_result.plan.ejected.contains(server.id);
            server.unhealthy = seen != nullptr && seen->weight() < 1;
            server.ejected = false;
            server.severity = seen != nullptr ? static_cast<int>(1000 * seen->failureShare()) : 0;
        }
        return planEjections(conditions, floor);
    }

    base::Duration medianToldLatency() const
    {
        std::vector<std::uint8_t> steps;
        for (const config::BackendServer *server : m_servers) {
            const RemoteServer *told = belief(server->id);
            if (told != nullptr && told->latencySteps > 0) {
                steps.push_back(told->latencySteps);
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

    static void refuse(ServerView &view, Availability availability, const char *reason)
    {
        view.availability = availability;
        view.weight = 0;
        view.reason = reason;
    }

    void addState(ServerView &view, const config::BackendServer &server) const
    {
        const ServerState current = state(server.id);
        if (leaves(server) || current == ServerState::Gone) {
            return refuse(view, Availability::Gone, "Its VM is leaving or gone.");
        }
        if (server.drain || current == ServerState::Draining) {
            return refuse(view, Availability::Draining, "It is draining.");
        }
        const bool ejected = m_result.plan.ejected.contains(server.id);
        if (ejected && current == ServerState::Trial) {
            view.availability = Availability::Trial;
            view.weight = m_knowledge.settings.trialWeight;
            view.reason = "It shows in a trial whether it has recovered.";
            return;
        }
        if (ejected || ejectedWhenLastHeard(server, current)) {
            return refuse(view, Availability::Ejected, "It is ejected as sick.");
        }
        addWeight(view, server, current);
    }

    /// An unreachable sibling counts as gone in the plan, which therefore says nothing about it.
    bool ejectedWhenLastHeard(const config::BackendServer &server, ServerState current) const
    {
        const RemoteServer *told = belief(server.id);
        return silent(server) && current == ServerState::Ejected && told != nullptr && told->receivedAt
            && m_now - *told->receivedAt < freshEjection;
    }

    void addWeight(ServerView &view, const config::BackendServer &server, ServerState current) const
    {
        const HealthSettings &settings = m_knowledge.settings;
        const RemoteServer *told = belief(server.id);
        view.reason = "It is healthy.";
        if (const LocalServer *beside = own(server.id)) {
            view.weight = std::max(beside->lifecycle().weight(m_now), settings.warmingStartWeight);
        } else if (told != nullptr && current == ServerState::Warming) {
            const double share = std::chrono::duration<double>(m_now - told->stateSince) / settings.warmingTime;
            view.weight = std::clamp(share, settings.warmingStartWeight, 1.0);
        }
        if (current == ServerState::Warming) {
            view.reason = "It is warming up.";
        }
        if (m_result.plan.heldByFloor.contains(server.id)) {
            view.spread = m_result.plan.spread;
            view.weight = view.spread ? 1 : settings.floorWeight;
            view.reason = view.spread ? "All servers look sick, so work goes to all." : "Sick, but the floor holds it.";
        }
        if (told != nullptr && !told->accepting) {
            view.weight *= refusingWeight;
            view.reason = "It sheds or refuses work at the moment.";
        }
        if (justReturned(server)) {
            view.availability = Availability::Trial;
            view.weight = settings.trialWeight;
            view.reason = "Its siblings no longer call it ejected.";
        }
        if (silent(server)) {
            view.weight *= silentWeight;
            view.reason = "Its node was not heard of for a while.";
        }
    }

    /// Heard to be ejected a while ago, and nothing from itself since. An entry far away learns of the trial only
    /// by the end of the accusations, and all such entries at once would flood the server.
    bool justReturned(const config::BackendServer &server) const
    {
        const RemoteServer *told = belief(server.id);
        return !m_serves && told != nullptr && told->unhealthy && told->receivedAt
            && m_now - *told->receivedAt < returnDoubt;
    }

    void addPath(ServerView &view, const config::BackendServer &server) const
    {
        const PathEvidence *path = m_knowledge.entry.path(server.vm);
        if (path == nullptr || server.vm == m_knowledge.self.vm) {
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
        const EntryEvidence *seen = m_knowledge.entry.server(server.id);
        if (view.weight <= 0 || seen == nullptr || !m_avoided.ejected.contains(server.id)) {
            return;
        }
        view.weight = std::min(view.weight, seen->weight());
        view.availability = view.usable() ? Availability::Trial : Availability::Ejected;
        view.reason = "This entry saw it fail, whatever is told of it.";
    }

    // Every way out looks closed: then what this node believes is more likely wrong than all servers at once, and
    // a request that is tried somewhere has a better chance than one that is refused.
    void spreadIfNothingIsLeft()
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
                view.reason = "No server looks usable, so work goes to all that are left.";
            }
        }
    }

    const HealthState &m_knowledge;
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

// A sibling that claims to be idle and quick would draw all traffic. So a claim is only taken between bounds
// that this node can see for itself: its own attempts in flight there, and the latency it measured.
void addLoad(ServerView &view,
             const HealthState &knowledge,
             const config::BackendServer &server,
             base::Duration usualLatency,
             base::TimePoint now)
{
    const EntryEvidence *seen = knowledge.entry.server(server.id);
    int inUse = seen != nullptr ? seen->inFlight() : 0;
    const auto beside = knowledge.localServers.find(server.id);
    const auto told = knowledge.remoteServers.find(server.id);
    if (beside != knowledge.localServers.end()) {
        inUse = std::max(inUse, static_cast<int>(beside->second.evidence().inFlight()));
        view.queueLength = beside->second.queueLength();
        view.latency = beside->second.latency(usualLatency, now);
        view.age = base::Duration::zero();
    } else if (told != knowledge.remoteServers.end() && told->second.receivedAt) {
        const RemoteServer &belief = told->second;
        view.age = now - *belief.receivedAt;
        if (*view.age <= freshLoad) {
            inUse = std::max(inUse, belief.slotsInUse);
            view.queueLength = belief.queueLength;
        }
        const base::Duration latency = std::max(latencyOf(belief.latencySteps), usualLatency / boastDivisor);
        view.latency = belief.latencySteps > 0 ? decayedLatency(latency, usualLatency, *view.age) : usualLatency;
    }
    if (seen != nullptr && seen->answers() >= trustedAnswers) {
        view.latency = decayedLatency(seen->latency(), view.latency, now - *seen->lastAnswer());
    }
    view.slotsInUse = std::min(inUse, server.slots);
}

Assessment assess(const HealthState &knowledge, const base::ServiceId &service, base::TimePoint now)
{
    return Assessor(knowledge, service, now).run();
}

}
