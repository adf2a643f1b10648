#pragma once

#include "papayastep/limits/tokenbroker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// For tests and the measure program only: several token brokers on manual clocks, joined by a bus in memory that
/// loses, repeats and delays messages, with a platform that lists VMs. All randomness comes from one seed.
namespace papayastep::limits {

/// Time since the start of the run, as an outside observer with a perfect clock has it.
using SimTime = base::Duration;

enum class FaultKind {
    Restart, ///< The node is killed and starts anew after the duration, knowing nothing.
    Pause, ///< Its process does not run; the clock goes on.
    Suspend, ///< Its VM does not run; the steady clock stands still.
    OneWayBreak, ///< Messages from `node` to `other` are lost.
    Mute, ///< Messages from `node` to all others are lost.
    Split, ///< Nodes with a number below `other` can't talk to the rest.
    PlatformAway, ///< Nodes with a number below `other` can't read the VM list.
    ListDrop, ///< The VM list names `node` no more, though it lives.
    Lossy, ///< Three in ten messages are lost, others are repeated or come late.
    Reconfigure, ///< Rates and bursts change and change back.
};
constexpr int faultKinds = 10;

struct Fault
{
    FaultKind kind = FaultKind::Restart;
    SimTime at{};
    SimTime duration{};
    int node = 0;
    int other = 0;

    auto operator<=>(const Fault &) const = default;
};

struct FleetShape
{
    int nodes = 14;
    int zones = 4;
    base::Duration latencyInZone = std::chrono::microseconds(250);
    base::Duration latencyBetweenZones = std::chrono::microseconds(750); ///< One way.
    double drift = 0; ///< Clocks run between slower and faster by this fraction.
    double giveBack = 0; ///< The fraction of admitted requests that turns out as not run.
};

/// Caribrite's counter service: 14 VMs in 4 zones.
FleetShape caribrite();
/// Tepla Noha's booking app: 23 VMs in 3 zones.
FleetShape teplaNoha();

/// What became of one request.
struct RequestRecord
{
    std::size_t workspace = 0;
    int node = 0;
    SimTime offeredAt{};
    SimTime decidedAt{};
    bool decided = false;
    bool admitted = false;
    bool notRun = false; ///< Admitted, and then given back.
    base::Duration retryAfter{};
};

struct BusTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Payloads only.
};

/// The greatest number of requests, over all windows, by which `times` (sorted) exceed rate x window + burst.
double maxExcess(const std::vector<SimTime> &times, double rate, double burst);

class FleetBus
{
public:
    FleetBus(const FleetShape &shape,
             std::vector<config::Workspace> workspaces,
             std::uint64_t seed,
             BrokerSettings settings = {});
    ~FleetBus();

    void schedule(const Fault &fault);
    /// A request comes in at `node` at `at`.
    void offer(SimTime at, int node, std::size_t workspace);
    /// A stream of requests of one workspace, `perSecond` on average, at random nodes. `regular`: evenly spaced.
    void offerStream(std::size_t workspace, double perSecond, SimTime from, SimTime to, bool regular);
    void run(SimTime until);

    const std::vector<RequestRecord> &requests() const;
    /// When requests of `workspace` were admitted and not given back, in order.
    std::vector<SimTime> admissions(std::size_t workspace) const;
    /// See limits::maxExcess(), with the greatest rate and burst that were in force.
    double maxExcess(std::size_t workspace) const;
    const BusTraffic &traffic() const;
    TokenBroker &broker(int node);
    const base::VmId &vm(int node) const;
    SimTime now() const;

private:
    struct Node;
    struct Event;
    struct LaterFirst
    {
        bool operator()(const Event &a, const Event &b) const;
    };

    void at(SimTime time, std::function<void()> action);
    void atNode(SimTime time, int node, std::function<void()> action);
    void start(int node);
    void startFault(const Fault &fault);
    void endFault(const Fault &fault);
    void afterUse(int node);
    void post(int from, wire::Outgoing message);
    void deliver(int from, base::Incarnation incarnation, int to, const wire::Outgoing &message);
    bool connected(int from, int to) const;
    void decide(int node, std::size_t request, const Admission &admission);
    void pollPlatform(int node);
    void publishList();
    void publishConfiguration(bool changed);
    config::ConfigurationPtr configuration(base::Revision revision, bool changed) const;
    double uniform();

    FleetShape m_shape;
    std::vector<config::Workspace> m_workspaces;
    BrokerSettings m_settings;
    std::mt19937_64 m_random;
    SimTime m_now{};
    std::uint64_t m_sequence = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Fault> m_active;
    config::VmList m_list;
    std::set<int> m_dropped;
    base::Revision m_revision = 0;
    config::ConfigurationPtr m_configuration;
    bool m_reconfigured = false;
    std::vector<RequestRecord> m_requests;
    BusTraffic m_traffic;
    std::priority_queue<Event, std::vector<Event>, LaterFirst> m_events;
};

}
