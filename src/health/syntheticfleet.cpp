#include "syntheticfleet.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace papayastep::health::synthetic {

namespace {

using namespace std::chrono_literals;

const base::Duration tickStep = 50ms;
const base::Duration linkDelay = 1ms;
const base::Duration deadline = 5s;
const base::Duration acknowledgeTimeout = 1s;
const base::Duration flapPeriod = 6s;
/// Length of a garbage collection, during which all requests of a server wait.
const base::Duration stallLength = 150ms;
constexpr double stallsPerSecond = 1.0 / 60;
constexpr double usualErrorRate = 0.001;
/// Standard deviation of the logarithm of the servers' speed, as servers are never equal.
constexpr double speedSpread = 0.1;
constexpr int maxTries = 3;
constexpr double trialShare = 0.06;
const std::string serviceName = "service";

double toSeconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

base::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

}

std::vector<ServiceProfile> fleetServices(const std::string &fleet)
{
    using enum config::DetectionPreference;
    const std::vector<RouteProfile> counter{
        {"balance", 0.7, 30ms, 0.6}, {"vouchers", 0.2, 120ms, 0.8}, {"refund", 0.1, 60ms, 0.5}};
    const std::vector<RouteProfile> van{{"pickup", 0.6, 40ms, 0.6}, {"round", 0.4, 90ms, 0.7}};
    const std::vector<RouteProfile> booking{
        {"slots", 0.5, 25ms, 0.6}, {"stock", 0.3, 15ms, 0.6}, {"scan", 0.05, 400ms, 0.9}, {"book", 0.15, 60ms, 0.5}};
    const std::vector<RouteProfile> workshop{{"orders", 0.7, 30ms, 0.6}, {"stretch", 0.3, 80ms, 0.6}};
    if (fleet == "caribrite") {
        return {{"counter", 14, 5, 4, FastDetection, 0.5, 0.45, counter},
                {"van", 8, 5, 4, FastDetection, 0.5, 0.45, van}};
    }
    if (fleet == "tepla-noha") {
        return {{"booking", 23, 4, 3, FewEjections, 0.5, 0.45, booking},
                {"workshop", 6, 4, 3, FewEjections, 0.5, 0.45, workshop}};
    }
    throw std::invalid_argument("unknown fleet " + fleet);
}

base::BackendServerId serverId(int index)
{
    return base::BackendServerId((index < 10 ? "server-0" : "server-") + std::to_string(index));
}

base::VmId vmId(int index)
{
    return base::VmId((index < 10 ? "vm-0" : "vm-") + std::to_string(index));
}

MonitorDetector::MonitorDetector(const ServiceProfile &profile,
                                 const base::ManualClock &clock,
                                 std::uint64_t seed,
                                 Link link)
    : m_profile(profile)
    , m_clock(clock)
    , m_link(std::move(link))
    , m_seed(seed)
    , m_paused(static_cast<std::size_t>(profile.servers), false)
{
    for (int vm = 0; vm < profile.servers; ++vm) {
        m_incarnations.push_back(static_cast<base::Incarnation>(vm) + 1);
        m_monitors.push_back(std::make_unique<HealthMonitor>(
            NodeIdentity{vmId(vm), m_incarnations.back()}, clock, seed + static_cast<std::uint64_t>(vm)));
    }
    publish();
}

void MonitorDetector::publish(const std::function<void(config::Configuration::Parts &)> &change)
{
    config::Configuration::Parts parts;
    parts.services.push_back(
        config::Service{base::ServiceId(serviceName), m_profile.prefer, m_profile.floor, "/health", {}});
    for (int index = 0; index < m_profile.servers; ++index) {
        const base::ZoneId zone("zone-" + std::to_string(index % m_profile.zones));
        parts.backendServers.push_back(config::BackendServer{serverId(index),
                                                             base::ServiceId(serviceName),
                                                             vmId(index),
                                                             zone,
                                                             "127.0.0.1",
                                                             static_cast<std::uint16_t>(8000 + index),
                                                             m_profile.slots,
                                                             false});
    }
    if (change) {
        change(parts);
    }
    const auto configuration = std::make_shared<const config::Configuration>(++m_revision, parts);
    for (std::size_t vm = 0; vm < m_monitors.size(); ++vm) {
        if (!m_paused[vm]) {
            m_monitors[vm]->applyConfiguration(configuration);
        }
    }
}

void MonitorDetector::restart(int vm)
{
    const auto index = static_cast<std::size_t>(vm);
    m_incarnations[index] += 1000;
    m_monitors[index] = std::make_unique<HealthMonitor>(
        NodeIdentity{vmId(vm), m_incarnations[index]}, m_clock, m_seed + m_incarnations[index]);
    publish();
}

void MonitorDetector::started(int server, const AttemptKey &key, const std::string &route)
{
    monitor(server).attemptStarted(serverId(server), key, base::RouteId(route));
}

void MonitorDetector::finished(int server, const AttemptKey &key, AttemptOutcome outcome, base::Duration latency)
{
    monitor(server).attemptFinished(serverId(server), key, outcome, latency);
}

void MonitorDetector::hopSent(int entry, int server, const AttemptKey &key)
{
    monitor(entry).hopSent(vmId(server), serverId(server), key);
}

void MonitorDetector::hopAcknowledged(int entry, int server, const AttemptKey &key)
{
    monitor(entry).hopAcknowledged(vmId(server), key);
}

void MonitorDetector::hopEnded(
    int entry, int server, const AttemptKey &key, HopOutcome outcome, base::Duration latency, bool reached)
{
    monitor(entry).hopEnded(vmId(server), key, outcome, latency);
    if (reached) {
        monitor(entry).applyReport(vmId(server), monitor(server).report(serverId(server)));
    }
}

void MonitorDetector::probeFinished(int server, bool good)
{
    monitor(server).probeFinished(serverId(server), good);
}

bool MonitorDetector::admits(int server)
{
    return monitor(server).admission(serverId(server)) == Admission::Admit;
}

void MonitorDetector::tick(base::TimePoint)
{
    for (int vm = 0; vm < m_profile.servers; ++vm) {
        if (!m_paused[static_cast<std::size_t>(vm)]) {
            monitor(vm).tick();
            collectEvents(vm);
        }
    }
    deliver();
}

void MonitorDetector::collectEvents(int vm)
{
    for (const HealthEvent &event : monitor(vm).takeEvents()) {
        events.push_back(event);
        const bool path = event.kind == HealthEventKind::PathEjected;
        if (!path && event.kind != HealthEventKind::Ejected && event.kind != HealthEventKind::EntryEjected) {
            continue;
        }
        for (int index = 0; index < m_profile.servers; ++index) {
            if (path ? event.vm == vmId(index) : event.server == serverId(index)) {
                m_ejections.push_back(Ejection{vm, index});
            }
        }
    }
}

void MonitorDetector::deliver()
{
    for (int from = 0; from < m_profile.servers; ++from) {
        if (m_paused[static_cast<std::size_t>(from)]) {
            continue;
        }
        for (const wire::Outgoing &message : monitor(from).takeMessages()) {
            for (int to = 0; to < m_profile.servers; ++to) {
                const bool isRunning = !m_paused[static_cast<std::size_t>(to)];
                if (message.to == vmId(to) && isRunning && m_link(from, to)) {
                    monitor(to).receive(
                        vmId(from), m_incarnations[static_cast<std::size_t>(from)], message.kind, message.payload);
                }
            }
        }
    }
}

double MonitorDetector::weight(int entry, int server)
{
    return monitor(entry).view(serverId(server)).weight;
}

int MonitorDetector::busy(int entry, int server)
{
    const ServerView view = monitor(entry).view(serverId(server));
    return view.slotsInUse + view.queueLength;
}

std::vector<Ejection> MonitorDetector::takeEjections()
{
    return std::exchange(m_ejections, {});
}

HealthMonitor &MonitorDetector::monitor(int vm)
{
    return *m_monitors[static_cast<std::size_t>(vm)];
}

void MonitorDetector::setPaused(int vm, bool paused)
{
    m_paused[static_cast<std::size_t>(vm)] = paused;
}

Fleet::Fleet(const ServiceProfile &profile, std::uint64_t seed, const MakeDetector &make)
    : m_profile(profile)
    , m_start(m_clock.now())
    , m_random(seed)
    , m_queues(static_cast<std::size_t>(profile.servers))
    , m_busy(m_queues.size(), 0)
    , m_stalledUntil(m_queues.size())
    , m_started(m_queues.size(), 0)
{
    m_detector = make(m_clock, [this](int from, int to) { return delivers(from, to); });
    std::normal_distribution<double> normal(0, speedSpread);
    for (int server = 0; server < profile.servers; ++server) {
        m_speed.push_back(std::exp(normal(m_random)));
    }
    double meanSeconds = 0;
    for (const RouteProfile &route : profile.routes) {
        meanSeconds += route.share * toSeconds(route.median) * std::exp(route.sigma * route.sigma / 2);
    }
    m_arrivalsPerSecond = profile.load * profile.servers * profile.slots / meanSeconds;
    schedule({}, Step::Arrival);
    schedule({}, Step::Tick);
}

void Fleet::addFault(const FaultPlan &plan)
{
    m_faults.push_back(plan);
}

void Fleet::runUntil(base::Duration until)
{
    while (m_events.top().at <= m_start + until) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.advance(event.at - m_clock.now());
        handle(event);
    }
}

base::Duration Fleet::elapsed() const
{
    return m_clock.now() - m_start;
}

Detector &Fleet::detector()
{
    return *m_detector;
}

const base::ManualClock &Fleet::clock() const
{
    return m_clock;
}

double Fleet::avoidedShare(int server)
{
    int avoiding = 0;
    for (int entry = 0; entry < m_profile.servers; ++entry) {
        if (active(Fault::Paused, entry)) {
            continue;
        }
        avoiding += entry != server && m_detector->weight(entry, server) <= trialShare ? 1 : 0;
    }
    return static_cast<double>(avoiding) / (m_profile.servers - 1);
}

double Fleet::smallestCapacity()
{
    int smallest = m_profile.servers;
    for (int entry = 0; entry < m_profile.servers; ++entry) {
        if (active(Fault::OneWayTo, entry) || active(Fault::OneWayFrom, entry) || active(Fault::Paused, entry)) {
            continue;
        }
        int usable = 0;
        for (int server = 0; server < m_profile.servers; ++server) {
            usable += m_detector->weight(entry, server) > 0 ? 1 : 0;
        }
        smallest = std::min(smallest, usable);
    }
    return static_cast<double>(smallest) / m_profile.servers;
}

std::uint64_t Fleet::answered() const
{
    return m_answered;
}

std::uint64_t Fleet::failed() const
{
    return m_failed;
}

std::uint64_t Fleet::startedAt(int server) const
{
    return m_started[static_cast<std::size_t>(server)];
}

void Fleet::schedule(base::Duration after, Step step, std::uint64_t hop)
{
    m_events.push(Event{m_clock.now() + after, ++m_order, step, hop});
}

void Fleet::handle(const Event &event)
{
    switch (event.step) {
    case Step::Arrival:
        return arrive();
    case Step::Receive:
        return receive(event.hop);
    case Step::Acknowledge:
        if (const auto found = m_hops.find(event.hop); found != m_hops.end()) {
            if (active(Fault::Paused, found->second.entry)) {
                return schedule(tickStep, Step::Acknowledge, event.hop);
            }
            found->second.acknowledged = true;
            m_detector->hopAcknowledged(found->second.entry, found->second.server, found->second.key);
        }
        return;
    case Step::Finish:
        return finish(event.hop);
    case Step::Answer:
        return answer(event.hop);
    case Step::TimeOut:
        return timeOut(event.hop);
    case Step::Tick:
        applyPauses();
        m_detector->tick(m_clock.now());
        if (onTick) {
            onTick(elapsed());
        }
        schedule(tickStep, Step::Tick);
    }
}

void Fleet::arrive()
{
    schedule(fromSeconds(std::exponential_distribution<double>(m_arrivalsPerSecond)(m_random)), Step::Arrival);
    std::uniform_int_distribution<int> anyEntry(0, m_profile.servers - 1);
    Hop hop;
    do {
        hop.entry = anyEntry(m_random);
    } while (active(Fault::Paused, hop.entry));
    double at = std::uniform_real_distribution<double>(0, 1)(m_random);
    while (hop.route + 1 < m_profile.routes.size() && at >= m_profile.routes[hop.route].share) {
        at -= m_profile.routes[hop.route].share;
        ++hop.route;
    }
    const std::uint64_t id = m_nextHop++;
    m_hops[id] = hop;
    send(id);
}

int Fleet::choose(int entry)
{
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(m_profile.servers));
    for (int server = 0; server < m_profile.servers; ++server) {
        weights.push_back(m_detector->weight(entry, server));
    }
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    const int first = draw(m_random);
    const int second = draw(m_random);
    return m_detector->busy(entry, second) < m_detector->busy(entry, first) ? second : first;
}

void Fleet::send(std::uint64_t id)
{
    Hop &hop = m_hops[id];
    hop.server = choose(hop.entry);
    hop.key = AttemptKey{base::RequestId{1, id}, static_cast<std::uint32_t>(hop.tries)};
    hop.sentAt = m_clock.now();
    ++hop.tries;
    m_detector->hopSent(hop.entry, hop.server, hop.key);
    if (hop.entry == hop.server || delivers(hop.entry, hop.server)) {
        schedule(linkDelay, Step::Receive, id);
    }
    schedule(acknowledgeTimeout, Step::TimeOut, id);
}

void Fleet::receive(std::uint64_t id)
{
    if (!m_hops.contains(id)) {
        return;
    }
    Hop &hop = m_hops[id];
    const auto server = static_cast<std::size_t>(hop.server);
    if (active(Fault::Paused, hop.server)) {
        schedule(tickStep, Step::Receive, id);
        return;
    }
    if (delivers(hop.server, hop.entry)) {
        schedule(linkDelay, Step::Acknowledge, id);
    }
    hop.admitted = m_detector->admits(hop.server);
    if (!hop.admitted) {
        schedule(linkDelay, Step::Answer, id);
    } else if (m_busy[server] < m_profile.slots) {
        start(id);
    } else {
        m_queues[server].push(id);
    }
}

void Fleet::start(std::uint64_t id)
{
    Hop &hop = m_hops[id];
    const auto server = static_cast<std::size_t>(hop.server);
    ++m_busy[server];
    ++m_started[server];
    hop.running = true;
    hop.startedAt = m_clock.now();
    m_detector->started(hop.server, hop.key, m_profile.routes[hop.route].name);
    schedule(draw(hop, hop.outcome), Step::Finish, id);
}

base::Duration Fleet::draw(const Hop &hop, AttemptOutcome &outcome)
{
    std::uniform_real_distribution<double> chance(0, 1);
    const auto server = static_cast<std::size_t>(hop.server);
    const RouteProfile &route = m_profile.routes[hop.route];
    double seconds = toSeconds(route.median) * m_speed[server]
        * std::exp(std::normal_distribution<double>(0, route.sigma)(m_random));
    outcome = chance(m_random) < usualErrorRate ? AttemptOutcome::Error : AttemptOutcome::Success;
    seconds *= active(Fault::SlowTenfold, hop.server) ? 10 : 1;
    seconds *= active(Fault::SlowTwice, hop.server) ? 2 : 1;
    if (active(Fault::HalfAlive, hop.server)
        || (active(Fault::ErrorsOnThird, hop.server) && chance(m_random) < 1.0 / 3)) {
        outcome = AttemptOutcome::Error;
    }
    if (active(Fault::Partial, hop.server)) {
        outcome = AttemptOutcome::Partial;
    }
    if (active(Fault::Refusing, hop.server)) {
        outcome = AttemptOutcome::ConnectionRefused;
        seconds = toSeconds(linkDelay);
    }
    if (chance(m_random) < stallsPerSecond * m_profile.servers / m_arrivalsPerSecond) {
        m_stalledUntil[server] = m_clock.now() + stallLength;
    }
    base::Duration latency = fromSeconds(seconds);
    if (m_stalledUntil[server] > m_clock.now()) {
        latency += m_stalledUntil[server] - m_clock.now();
    }
    if (inFailurePhase(hop.server) || latency > deadline) {
        outcome = AttemptOutcome::Timeout;
        latency = deadline;
    }
    return latency;
}

void Fleet::finish(std::uint64_t id)
{
    Hop &hop = m_hops[id];
    if (active(Fault::Paused, hop.server)) {
        return schedule(tickStep, Step::Finish, id);
    }
    const auto server = static_cast<std::size_t>(hop.server);
    --m_busy[server];
    m_detector->finished(hop.server, hop.key, hop.outcome, m_clock.now() - hop.startedAt);
    startNext(server);
    const int from = hop.server;
    const int to = hop.entry;
    if (from == to || delivers(from, to)) {
        schedule(linkDelay, Step::Answer, id);
    } else {
        m_hops[id].running = false;
        schedule(deadline, Step::TimeOut, id);
    }
}

void Fleet::startNext(std::size_t server)
{
    while (!m_queues[server].empty()) {
        const std::uint64_t next = m_queues[server].front();
        m_queues[server].pop();
        if (m_hops.contains(next)) {
            return start(next);
        }
    }
}

void Fleet::answer(std::uint64_t id)
{
    if (!m_hops.contains(id)) {
        return;
    }
    const Hop hop = m_hops[id];
    if (active(Fault::Paused, hop.entry)) {
        return schedule(tickStep, Step::Answer, id);
    }
    if (!hop.admitted) {
        return endHop(id, HopOutcome::Refused, true, true);
    }
    const bool good = hop.outcome == AttemptOutcome::Success;
    const bool refused = hop.outcome == AttemptOutcome::ConnectionRefused;
    endHop(id, good ? HopOutcome::Answered : refused ? HopOutcome::Refused : HopOutcome::ServerFailed, true, !good);
}

void Fleet::timeOut(std::uint64_t id)
{
    const auto found = m_hops.find(id);
    if (found == m_hops.end() || m_clock.now() - found->second.sentAt < acknowledgeTimeout) {
        return;
    }
    const Hop &hop = found->second;
    if (active(Fault::Paused, hop.entry)) {
        return schedule(tickStep, Step::TimeOut, id);
    }
    const bool lost = !hop.acknowledged && !hop.running && hop.entry != hop.server;
    if (lost && (!delivers(hop.entry, hop.server) || !delivers(hop.server, hop.entry))) {
        endHop(id, HopOutcome::GivenUp, false, true);
    }
}

void Fleet::endHop(std::uint64_t id, HopOutcome outcome, bool reached, bool retry)
{
    Hop &hop = m_hops[id];
    m_detector->hopEnded(hop.entry, hop.server, hop.key, outcome, m_clock.now() - hop.sentAt, reached);
    if (!retry) {
        ++m_answered;
        m_hops.erase(id);
        return;
    }
    Hop next = hop;
    m_hops.erase(id);
    if (next.tries >= maxTries) {
        ++m_failed;
        return;
    }
    next.running = next.acknowledged = next.admitted = false;
    const std::uint64_t nextId = m_nextHop++;
    m_hops[nextId] = next;
    send(nextId);
}

bool Fleet::active(Fault fault, int server) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const FaultPlan &plan) {
        return plan.fault == fault && elapsed() >= plan.begin && elapsed() < plan.end
            && std::find(plan.servers.begin(), plan.servers.end(), server) != plan.servers.end();
    });
}

bool Fleet::inFailurePhase(int server) const
{
    if (active(Fault::Hang, server)) {
        return true;
    }
    return active(Fault::Flapping, server) && elapsed() % flapPeriod < flapPeriod / 2;
}

bool Fleet::delivers(int from, int to) const
{
    return from == to || (!active(Fault::OneWayTo, to) && !active(Fault::OneWayFrom, from));
}

void Fleet::applyPauses()
{
    auto *monitors = dynamic_cast<MonitorDetector *>(m_detector.get());
    if (monitors == nullptr) {
        return;
    }
    for (int vm = 0; vm < m_profile.servers; ++vm) {
        monitors->setPaused(vm, active(Fault::Paused, vm));
    }
}

}
