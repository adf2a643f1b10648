#include "latencyscale.h"
#include "siblingtable.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

constexpr int changedSteps = 2; ///< A quarter of an octave, more than the noise of a median of 32 samples.
constexpr std::size_t maxRoutesPerStatus = 8;
constexpr std::uint64_t distributionInterval = 20; ///< Every 20th message includes the latency distribution.
constexpr std::uint64_t firstDistribution = 3;
constexpr std::size_t maxRetiredIncarnations = 8;
constexpr double bytesWeight = 0.1;
constexpr double unitsPerMillisecond = 1e6;
const base::Duration maxInterval = std::chrono::seconds(30);

template<typename Value>
Value lowerMedian(std::vector<Value> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::vector<const RemoteServer *> workingServers(const std::vector<base::BackendServerId> &servers,
                                                 const RemoteServers &remoteServers)
{
    std::vector<const RemoteServer *> result;
    for (const base::BackendServerId &server : servers) {
        const auto found = remoteServers.find(server);
        if (found != remoteServers.end() && found->second.receivedAt && found->second.takesWork()) {
            result.push_back(&found->second);
        }
    }
    return result;
}

const config::BackendServer *serverOf(const config::Configuration &configuration,
                                      const base::ServiceId &service,
                                      std::uint32_t hash)
{
    for (const config::BackendServer *server : configuration.serversOf(service)) {
        if (shortHash(server->id.value()) == hash) {
            return server;
        }
    }
    return nullptr;
}

}

SiblingTable::SiblingTable(base::VmId self, std::uint64_t seed, const HealthSettings &settings)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
{
}

void SiblingTable::configure(const config::Configuration &configuration, base::TimePoint now)
{
    std::map<base::VmId, std::set<base::ServiceId>> common;
    for (const config::Service &service : configuration.services()) {
        const auto vms = configuration.vmsOf(service.id);
        if (!std::binary_search(vms.begin(), vms.end(), m_self)) {
            continue;
        }
        for (const base::VmId &vm : vms) {
            common[vm].insert(service.id);
        }
    }
    common.erase(m_self);
    std::erase_if(m_peers, [&](const auto &entry) { return !common.contains(entry.first); });
    for (auto &[vm, services] : common) {
        const auto [place, isNew] = m_peers.try_emplace(vm);
        place->second.services = services;
        if (isNew) {
            std::uniform_int_distribution<base::Duration::rep> jitter(0, m_settings.siblingInterval.count());
            place->second.nextDue = now + base::Duration(jitter(m_random));
        }
    }
}

void SiblingTable::invalidate()
{
    for (auto &[vm, peer] : m_peers) {
        peer.receivedAt.reset();
        peer.sentRoutes.clear();
    }
}

bool SiblingTable::acceptIncarnation(const base::VmId &from, base::Incarnation incarnation)
{
    const auto found = m_peers.find(from);
    if (found == m_peers.end()) {
        return false;
    }
    Peer &peer = found->second;
    if (peer.incarnation == incarnation) {
        return true;
    }
    // A message of an earlier incarnation of a restarted VM can arrive after one of the new incarnation. Accepted, it
    // would restore an ejection or a departure that is no longer valid.
    if (std::find(peer.retiredIncarnations.begin(), peer.retiredIncarnations.end(), incarnation)
        != peer.retiredIncarnations.end()) {
        return false;
    }
    if (peer.incarnation != 0) {
        peer.retiredIncarnations.push_back(peer.incarnation);
    }
    if (peer.retiredIncarnations.size() > maxRetiredIncarnations) {
        peer.retiredIncarnations.erase(peer.retiredIncarnations.begin());
    }
    peer.incarnation = incarnation;
    peer.version = 0;
    peer.sentRoutes.clear();
    return true;
}

bool SiblingTable::receiveState(const base::VmId &from,
                                base::Incarnation incarnation,
                                std::string_view payload,
                                const config::Configuration &configuration,
                                RemoteServers &remoteServers,
                                base::TimePoint now)
{
    const auto state = wire::decode<SiblingState>(payload);
    if (!acceptIncarnation(from, incarnation)) {
        return false;
    }
    Peer &peer = m_peers.at(from);
    if (state.version <= peer.version) {
        return false;
    }
    peer.version = state.version;
    peer.receivedAt = now;
    peer.reportedUnreachable = false;
    const base::Duration announced = std::chrono::milliseconds(state.intervalMs);
    peer.interval = std::clamp<base::Duration>(announced, m_settings.siblingInterval, maxInterval);
    for (const ServerStatus &status : state.servers) {
        for (const base::ServiceId &service : peer.services) {
            const config::BackendServer *server = serverOf(configuration, service, status.server);
            // A VM reports the status of its own servers only.
            if (server != nullptr && server->vm == from) {
                remoteServers[server->id].update(status, now);
            }
        }
    }
    return true;
}

bool SiblingTable::isSibling(const base::VmId &vm) const
{
    return m_peers.contains(vm);
}

bool SiblingTable::reachable(const base::VmId &vm, base::TimePoint now) const
{
    if (vm == m_self) {
        return true;
    }
    const auto found = m_peers.find(vm);
    if (found == m_peers.end() || !found->second.receivedAt) {
        return false;
    }
    const auto silence = std::chrono::duration<double>(now - *found->second.receivedAt);
    return silence <= m_settings.unreachableIntervals * std::chrono::duration<double>(found->second.interval);
}

std::vector<base::VmId> SiblingTable::newlyUnreachable(base::TimePoint now)
{
    std::vector<base::VmId> unreachable;
    for (auto &[vm, peer] : m_peers) {
        if (peer.receivedAt && !peer.reportedUnreachable && !reachable(vm, now)) {
            peer.reportedUnreachable = true;
            unreachable.push_back(vm);
        }
    }
    return unreachable;
}

std::vector<base::VmId> SiblingTable::siblings() const
{
    std::vector<base::VmId> result;
    for (const auto &[vm, peer] : m_peers) {
        result.push_back(vm);
    }
    return result;
}

// The budget sets the interval: a VM with servers of many services has more siblings than it can send to each second.
base::Duration SiblingTable::interval() const
{
    const double seconds = static_cast<double>(m_peers.size()) * m_meanMessageBytes / m_settings.controlBytesPerSecond;
    const auto needed = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    return std::clamp<base::Duration>(needed, m_settings.siblingInterval, maxInterval);
}

bool SiblingTable::anyDue(base::TimePoint now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return now >= entry.second.nextDue; });
}

std::vector<wire::Outgoing> SiblingTable::dueMessages(const std::vector<FullServerStatus> &statuses,
                                                      const std::set<base::ServiceId> &urgent,
                                                      base::TimePoint now)
{
    std::vector<wire::Outgoing> messages;
    for (auto &[vm, peer] : m_peers) {
        const std::set<base::ServiceId> &common = peer.services;
        const bool isAffected = std::any_of(
            urgent.begin(), urgent.end(), [&common](const auto &service) { return common.contains(service); });
        if (!isAffected && now < peer.nextDue) {
            continue;
        }
        peer.nextDue = now + interval();
        messages.push_back(wire::outgoing(vm, wire::MessageKind::SiblingState, stateFor(peer, statuses)));
        const double bytes = static_cast<double>(messages.back().payload.size()) + m_settings.messageOverheadBytes;
        m_meanMessageBytes += bytesWeight * (bytes - m_meanMessageBytes);
    }
    return messages;
}

SiblingState SiblingTable::stateFor(Peer &peer, const std::vector<FullServerStatus> &statuses)
{
    SiblingState state;
    state.version = ++m_version;
    state.intervalMs = static_cast<std::uint16_t>(static_cast<double>(interval().count()) / unitsPerMillisecond);
    const bool withDistribution = peer.messages % distributionInterval == firstDistribution;
    ++peer.messages;
    for (const FullServerStatus &full : statuses) {
        if (!peer.services.contains(full.service)) {
            continue;
        }
        ServerStatus status = full.status;
        chooseRoutes(peer, full, status);
        if (withDistribution) {
            status.distribution = full.distribution;
        }
        state.servers.push_back(status);
    }
    return state;
}

void SiblingTable::chooseRoutes(Peer &peer, const FullServerStatus &full, ServerStatus &status) const
{
    const auto addRoute = [&](std::uint32_t route, std::uint8_t steps) {
        status.routes.push_back(RouteLatency{route, steps});
        peer.sentRoutes[{status.server, route}] = steps;
    };
    for (const auto &[route, steps] : full.routes) {
        const auto sent = peer.sentRoutes.find({status.server, route});
        const bool changed = sent == peer.sentRoutes.end() || std::abs(sent->second - steps) >= changedSteps;
        if (changed && status.routes.size() < maxRoutesPerStatus) {
            addRoute(route, steps);
        }
    }
    if (!status.routes.empty() || full.routes.empty()) {
        return;
    }
    auto next = full.routes.upper_bound(peer.lastRefreshedRoute);
    if (next == full.routes.end()) {
        next = full.routes.begin();
    }
    peer.lastRefreshedRoute = next->first;
    addRoute(next->first, next->second);
}

ServiceReference referenceOf(const std::vector<base::BackendServerId> &servers, const RemoteServers &remoteServers)
{
    ServiceReference reference;
    std::unordered_map<std::uint32_t, std::vector<std::uint8_t>> steps;
    std::vector<LatencyDistribution> distributions;
    std::vector<double> failures;
    std::size_t accepting = 0;
    const auto working = workingServers(servers, remoteServers);
    for (const RemoteServer *remote : working) {
        for (const auto &[route, reported] : remote->routes) {
            steps[route].push_back(reported);
        }
        if (remote->distribution) {
            distributions.push_back(*remote->distribution);
        }
        failures.push_back(remote->failureShare);
        accepting += remote->accepting ? 1 : 0;
    }
    for (auto &[route, reported] : steps) {
        reference.routeLatency[route] = latencyOf(lowerMedian(reported));
    }
    if (!distributions.empty()) {
        reference.model = LatencyModel(medianDistribution(distributions));
    }
    if (!failures.empty()) {
        reference.failureShare = lowerMedian(failures);
    }
    reference.siblingsAccept = 2 * accepting > working.size();
    return reference;
}

int medianSeverity(const std::vector<base::BackendServerId> &servers, const RemoteServers &remoteServers)
{
    std::vector<int> severities;
    for (const RemoteServer *remote : workingServers(servers, remoteServers)) {
        severities.push_back(remote->severity);
    }
    return severities.empty() ? 0 : lowerMedian(severities);
}

}
