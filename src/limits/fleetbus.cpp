#include "fleetbus.h"

#include <algorithm>
#include <cmath>

namespace papayastep::limits {

namespace {

constexpr base::Duration pollInterval = std::chrono::seconds(1);
constexpr base::Duration listLag = std::chrono::seconds(2);
constexpr base::Duration configurationSpread = std::chrono::seconds(4);
constexpr double lossWhenLossy = 0.3;
constexpr double repeatWhenLossy = 0.1;
constexpr double lateWhenLossy = 0.1;
constexpr base::Duration latestWhenLossy = std::chrono::seconds(3);
constexpr double changedRate = 0.4;
constexpr double changedBurst = 1.5;

/// Clock of one VM. It is fast or slow by the drift, and its steady time stops while the VM is suspended.
class NodeClock final : public base::Clock
{
public:
    NodeClock(const SimTime &time, double drift)
        : m_time(time)
        , m_drift(drift)
    {
    }
    base::TimePoint now() const override
    {
        return base::TimePoint(std::chrono::hours(1) + scaled(m_time - m_stopped));
    }
    base::WallTime wallNow() const override
    {
        return base::WallTime(std::chrono::hours(24 * 365 * 55) + scaled(m_time));
    }
    void stoppedFor(base::Duration time)
    {
        m_stopped += time;
    }
    /// Returns the simulated time at which this clock will show `time`.
    SimTime trueTime(base::TimePoint time) const
    {
        const auto sinceStart = static_cast<double>((time - base::TimePoint(std::chrono::hours(1))).count());
        return SimTime(static_cast<std::int64_t>(sinceStart / (1 + m_drift))) + m_stopped + base::Duration(1);
    }

private:
    base::Duration scaled(base::Duration time) const
    {
        return base::Duration(time.count() + static_cast<std::int64_t>(static_cast<double>(time.count()) * m_drift));
    }

    const SimTime &m_time;
    double m_drift;
    base::Duration m_stopped{};
};

}

struct FleetBus::Event
{
    SimTime time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
};

bool FleetBus::LaterFirst::operator()(const Event &a, const Event &b) const
{
    return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
}

struct FleetBus::Node
{
    Node(const SimTime &time, double drift)
        : clock(time, drift)
    {
    }

    base::VmId vm;
    base::ZoneId zone;
    NodeClock clock;
    base::Incarnation incarnation = 0;
    std::unique_ptr<TokenBroker> broker; ///< Null while the node is down.
    SimTime frozenUntil{};
    bool suspended = false;
    SimTime nextTick = SimTime::max();
    std::map<base::RequestId, std::size_t> waiting;
};

FleetShape caribrite()
{
    return FleetShape{};
}

FleetShape teplaNoha()
{
    FleetShape shape;
    shape.nodes = 23;
    shape.zones = 3;
    shape.latencyBetweenZones = std::chrono::microseconds(500);
    return shape;
}

double maxExcess(const std::vector<SimTime> &times, double rate, double burst)
{
    double lowest = 0;
    double greatest = -burst;
    for (std::size_t index = 0; index < times.size(); ++index) {
        const double ahead = static_cast<double>(index) - rate * std::chrono::duration<double>(times[index]).count();
        lowest = index == 0 ? ahead : std::min(lowest, ahead);
        greatest = std::max(greatest, ahead - lowest + 1 - burst);
    }
    return greatest;
}

FleetBus::FleetBus(const FleetShape &shape,
                   std::vector<config::Workspace> workspaces,
                   std::uint64_t seed,
                   BrokerSettings settings)
    : m_shape(shape)
    , m_workspaces(std::move(workspaces))
    , m_settings(settings)
    , m_random(seed)
{
    for (int index = 0; index < shape.nodes; ++index) {
        const double drift = shape.drift * (2 * uniform() - 1);
        auto node = std::make_unique<Node>(m_now, drift);
        node->vm = base::VmId("vm-" + std::to_string(index));
        node->zone = base::ZoneId("zone-" + std::to_string(index % shape.zones));
        m_nodes.push_back(std::move(node));
    }
    m_revision = 1;
    m_configuration = configuration(m_revision, false);
    publishList();
    for (int index = 0; index < shape.nodes; ++index) {
        start(index);
        const auto phase = std::chrono::duration_cast<base::Duration>(pollInterval * uniform());
        at(phase, [this, index] { pollPlatform(index); });
    }
}

FleetBus::~FleetBus() = default;

void FleetBus::schedule(const Fault &fault)
{
    at(fault.at, [this, fault] { startFault(fault); });
}

void FleetBus::offer(SimTime time, int node, std::size_t workspace)
{
    const std::size_t request = m_requests.size();
    RequestRecord record;
    record.workspace = workspace;
    record.node = node;
    record.offeredAt = time;
    m_requests.push_back(record);
    atNode(time, node, [this, node, request] {
        Node &entry = *m_nodes[static_cast<std::size_t>(node)];
        const base::RequestId id{1, request};
        const config::Workspace &workspace = m_workspaces[m_requests[request].workspace];
        const base::TimePoint deadline = entry.clock.now() + std::chrono::seconds(10);
        const Admission admission = entry.broker->acquire(workspace.id, id, deadline);
        if (std::holds_alternative<Waiting>(admission)) {
            entry.waiting.emplace(id, request);
        } else {
            decide(node, request, admission);
        }
        afterUse(node);
    });
}

void FleetBus::offerStream(std::size_t workspace, double perSecond, SimTime from, SimTime to, bool regular)
{
    const std::chrono::duration<double> mean(1 / perSecond);
    std::chrono::duration<double> time = from + mean * uniform();
    while (time < to) {
        const int node = static_cast<int>(uniform() * m_shape.nodes);
        offer(std::chrono::duration_cast<SimTime>(time), node, workspace);
        time += regular ? mean : -std::log(1 - uniform()) * mean;
    }
}

void FleetBus::run(SimTime until)
{
    while (!m_events.empty() && m_events.top().time <= until) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = until;
}

const std::vector<RequestRecord> &FleetBus::requests() const
{
    return m_requests;
}

std::vector<SimTime> FleetBus::admissions(std::size_t workspace) const
{
    std::vector<SimTime> times;
    for (const RequestRecord &request : m_requests) {
        if (request.workspace == workspace && request.admitted && !request.notRun) {
            times.push_back(request.decidedAt);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

double FleetBus::maxExcess(std::size_t workspace) const
{
    const config::Workspace &terms = m_workspaces[workspace];
    const double burst = terms.burst * (m_reconfigured ? changedBurst : 1);
    return limits::maxExcess(admissions(workspace), terms.rate, burst);
}

const BusTraffic &FleetBus::traffic() const
{
    return m_traffic;
}

TokenBroker &FleetBus::broker(int node)
{
    return *m_nodes[static_cast<std::size_t>(node)]->broker;
}

const base::VmId &FleetBus::vm(int node) const
{
    return m_nodes[static_cast<std::size_t>(node)]->vm;
}

SimTime FleetBus::now() const
{
    return m_now;
}

void FleetBus::at(SimTime time, std::function<void()> action)
{
    m_events.push(Event{std::max(time, m_now), ++m_sequence, std::move(action)});
}

/// Runs `action` at `time` if the node is running; later if the node is frozen, never if it is down at that time.
void FleetBus::atNode(SimTime time, int node, std::function<void()> action)
{
    at(time, [this, node, action = std::move(action)] {
        Node &target = *m_nodes[static_cast<std::size_t>(node)];
        if (target.frozenUntil > m_now) {
            atNode(target.frozenUntil, node, action);
        } else if (target.broker) {
            action();
        }
    });
}

void FleetBus::start(int index)
{
    Node &node = *m_nodes[static_cast<std::size_t>(index)];
    node.incarnation = m_random();
    node.waiting.clear();
    node.nextTick = SimTime::max();
    const NodeIdentity self{node.vm, node.zone, node.incarnation};
    node.broker = std::make_unique<TokenBroker>(self, node.clock, m_settings);
    node.broker->applyConfiguration(m_configuration);
    node.broker->applyVmList(m_list, node.clock.now());
    afterUse(index);
}

void FleetBus::startFault(const Fault &fault)
{
    Node &node = *m_nodes[static_cast<std::size_t>(fault.node)];
    if (fault.kind == FaultKind::Suspend && (node.frozenUntil > m_now || !node.broker)) {
        return;
    }
    m_active.push_back(fault);
    if (fault.kind == FaultKind::Restart) {
        node.broker.reset();
        node.suspended = false;
        at(m_now + listLag, [this, fault] {
            const Node &down = *m_nodes[static_cast<std::size_t>(fault.node)];
            if (!down.broker) {
                m_dropped.insert(fault.node);
                publishList();
            }
        });
    } else if (fault.kind == FaultKind::Pause || fault.kind == FaultKind::Suspend) {
        node.frozenUntil = std::max(node.frozenUntil, m_now + fault.duration);
        node.suspended = node.suspended || fault.kind == FaultKind::Suspend;
    } else if (fault.kind == FaultKind::ListDrop) {
        m_dropped.insert(fault.node);
        publishList();
    } else if (fault.kind == FaultKind::Reconfigure) {
        m_reconfigured = true;
        publishConfiguration(true);
    }
    // Keeps a frozen node frozen until the fault has ended.
    at(m_now + fault.duration, [this, fault] { endFault(fault); });
}

void FleetBus::endFault(const Fault &fault)
{
    Node &node = *m_nodes[static_cast<std::size_t>(fault.node)];
    m_active.erase(std::find(m_active.begin(), m_active.end(), fault));
    if (fault.kind == FaultKind::Restart && !node.broker) {
        node.frozenUntil = m_now;
        m_dropped.erase(fault.node);
        publishList();
        start(fault.node);
    } else if (fault.kind == FaultKind::Suspend && node.suspended) {
        node.clock.stoppedFor(fault.duration);
        node.suspended = false;
    } else if (fault.kind == FaultKind::ListDrop) {
        m_dropped.erase(fault.node);
        publishList();
    } else if (fault.kind == FaultKind::Reconfigure) {
        publishConfiguration(false);
    }
}

/// Sends the messages of the broker, records its decisions, and sets its timer.
void FleetBus::afterUse(int index)
{
    Node &node = *m_nodes[static_cast<std::size_t>(index)];
    for (wire::Outgoing &message : node.broker->takeMessages()) {
        post(index, std::move(message));
    }
    for (const AdmissionDecision &decision : node.broker->takeDecisions()) {
        const auto waiting = node.waiting.find(decision.request);
        decide(index, waiting->second, decision.admission);
        node.waiting.erase(waiting);
    }
    const auto next = node.broker->nextTick();
    const SimTime due = next ? std::max(m_now, node.clock.trueTime(*next)) : SimTime::max();
    if (due >= node.nextTick) {
        return;
    }
    node.nextTick = due;
    const base::Incarnation incarnation = node.incarnation;
    atNode(due, index, [this, index, due, incarnation] {
        Node &ticking = *m_nodes[static_cast<std::size_t>(index)];
        if (ticking.incarnation != incarnation || ticking.nextTick != due) {
            return;
        }
        ticking.nextTick = SimTime::max();
        ticking.broker->tick();
        afterUse(index);
    });
}

void FleetBus::post(int from, wire::Outgoing message)
{
    const Node &sender = *m_nodes[static_cast<std::size_t>(from)];
    const auto receiver
        = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) { return node->vm == message.to; });
    const int to = static_cast<int>(receiver - m_nodes.begin());
    ++m_traffic.messages;
    m_traffic.bytes += message.payload.size();
    if (!connected(from, to)) {
        return;
    }
    const bool inSameZone = sender.zone == (*receiver)->zone;
    const base::Duration latency = inSameZone ? m_shape.latencyInZone : m_shape.latencyBetweenZones;
    const auto jittered = std::chrono::duration_cast<base::Duration>(latency * (1 + uniform()));
    const bool lossy = std::any_of(
        m_active.begin(), m_active.end(), [](const Fault &fault) { return fault.kind == FaultKind::Lossy; });
    const auto send = [&](base::Duration delay) {
        atNode(m_now + delay, to, [this, from, to, incarnation = sender.incarnation, message] {
            deliver(from, incarnation, to, message);
        });
    };
    if (!lossy || uniform() >= lossWhenLossy) {
        const bool late = lossy && uniform() < lateWhenLossy;
        send(late ? std::chrono::duration_cast<base::Duration>(latestWhenLossy * uniform()) : jittered);
    }
    if (lossy && uniform() < repeatWhenLossy) {
        send(std::chrono::duration_cast<base::Duration>(latestWhenLossy * uniform()));
    }
}

void FleetBus::deliver(int from, base::Incarnation incarnation, int to, const wire::Outgoing &message)
{
    TokenBroker &broker = *m_nodes[static_cast<std::size_t>(to)]->broker;
    broker.receive(m_nodes[static_cast<std::size_t>(from)]->vm, incarnation, message.kind, message.payload);
    afterUse(to);
}

bool FleetBus::connected(int from, int to) const
{
    return std::none_of(m_active.begin(), m_active.end(), [from, to](const Fault &fault) {
        const bool oneWay = fault.kind == FaultKind::OneWayBreak && fault.node == from && fault.other == to;
        const bool mute = fault.kind == FaultKind::Mute && fault.node == from;
        const bool split = fault.kind == FaultKind::Split && (from < fault.other) != (to < fault.other);
        return oneWay || mute || split;
    });
}

void FleetBus::decide(int node, std::size_t request, const Admission &admission)
{
    RequestRecord &record = m_requests[request];
    record.decided = true;
    record.decidedAt = m_now;
    const auto *admitted = std::get_if<Admitted>(&admission);
    if (admitted == nullptr) {
        record.retryAfter = std::get<Refused>(admission).retryAfter;
        return;
    }
    record.admitted = true;
    if (m_shape.giveBack > 0 && uniform() < m_shape.giveBack) {
        record.notRun = true;
        const auto delay = std::chrono::duration_cast<base::Duration>(std::chrono::milliseconds(300) * uniform());
        const base::Incarnation incarnation = m_nodes[static_cast<std::size_t>(node)]->incarnation;
        atNode(m_now + delay, node, [this, node, incarnation, token = admitted->token] {
            if (m_nodes[static_cast<std::size_t>(node)]->incarnation == incarnation) {
                broker(node).giveBack(token);
                afterUse(node);
            }
        });
    }
}

void FleetBus::pollPlatform(int index)
{
    Node &node = *m_nodes[static_cast<std::size_t>(index)];
    const bool away = std::any_of(m_active.begin(), m_active.end(), [index](const Fault &fault) {
        return fault.kind == FaultKind::PlatformAway && index < fault.other;
    });
    if (!away && node.broker && node.frozenUntil <= m_now) {
        node.broker->applyVmList(m_list, node.clock.now());
        afterUse(index);
    }
    at(m_now + pollInterval, [this, index] { pollPlatform(index); });
}

void FleetBus::publishList()
{
    ++m_list.version;
    m_list.vms.clear();
    for (int index = 0; index < m_shape.nodes; ++index) {
        if (!m_dropped.contains(index)) {
            const Node &node = *m_nodes[static_cast<std::size_t>(index)];
            config::VmEntry entry;
            entry.id = node.vm;
            entry.zone = node.zone;
            m_list.vms.push_back(entry);
        }
    }
    std::sort(m_list.vms.begin(), m_list.vms.end());
}

void FleetBus::publishConfiguration(bool changed)
{
    m_configuration = configuration(++m_revision, changed);
    for (int index = 0; index < m_shape.nodes; ++index) {
        const auto delay = std::chrono::duration_cast<base::Duration>(configurationSpread * uniform());
        atNode(m_now + delay, index, [this, index, configuration = m_configuration] {
            broker(index).applyConfiguration(configuration);
            afterUse(index);
        });
    }
}

config::ConfigurationPtr FleetBus::configuration(base::Revision revision, bool changed) const
{
    config::Configuration::Parts parts;
    parts.workspaces = m_workspaces;
    for (config::Workspace &workspace : parts.workspaces) {
        workspace.rate *= changed ? changedRate : 1;
        workspace.burst *= changed ? changedBurst : 1;
    }
    for (const auto &node : m_nodes) {
        config::BackendServer server;
        server.id = base::BackendServerId("server-" + node->vm.value());
        server.vm = node->vm;
        server.zone = node->zone;
        parts.backendServers.push_back(server);
    }
    return std::make_shared<config::Configuration>(revision, parts);
}

double FleetBus::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

}
