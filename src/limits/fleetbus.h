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

/// Simulation of a fleet, for tests and the measure program only: several token brokers on manual clocks, connected by
/// an in-memory bus that loses, duplicates and delays messages, with a platform that lists VMs. All randomness comes
/// from one seed.
namespace papayastep::limits {

/// Time since the start of the run on a perfect clock outside the fleet.
using SimTime = base::Duration;

/// Kinds of injected faults.
enum class FaultKind {
    Restart, ///< The node is killed and starts again after the duration, without its state.
    Pause, ///< The process does not run; its clock continues.
    Suspend, ///< The VM does not run; its steady clock stops.
    OneWayBreak, ///< Messages from `node` to `other` are lost.
    Mute, ///< Messages from `node` to all others are lost.
    Split, ///< Nodes with a number below `other` cannot communicate with the rest.
    PlatformAway, ///< Nodes with a number below `other` cannot read the VM list.
    ListDrop, ///< The VM list does not contain `node`, although it is running.
    Lossy, ///< Three in ten messages are lost; others are duplicated or delayed.
    Reconfigure, ///< Rates and bursts change and are restored after the duration.
};
constexpr int faultKinds = 10;

/// One injected fault.
struct Fault
{
    FaultKind kind = FaultKind::Restart;
    SimTime at{};
    SimTime duration{};
    int node = 0;
    int other = 0;

    auto operator<=>(const Fault &) const = default;
};

/// Size and network of a simulated fleet.
struct FleetShape
{
    int nodes = 14;
    int zones = 4;
    base::Duration latencyInZone = std::chrono::microseconds(250);
    base::Duration latencyBetweenZones = std::chrono::microseconds(750); ///< One way.
    double drift = 0; ///< Largest clock drift; each clock is slower or faster by up to this fraction.
    double giveBack = 0; ///< Fraction of the admitted requests that are not run and whose tokens are returned.
};

/// The fleet of Caribrite's counter service: 14 VMs in 4 zones.
FleetShape caribrite();
/// The fleet of Tepla Noha's booking app: 23 VMs in 3 zones.
FleetShape teplaNoha();

/// One request and its decision.
struct RequestRecord
{
    std::size_t workspace = 0;
    int node = 0;
    SimTime offeredAt{};
    SimTime decidedAt{};
    bool decided = false;
    bool admitted = false;
    bool notRun = false; ///< The request was admitted, and its token returned later.
    base::Duration retryAfter{};
};

/// Traffic on the simulated bus.
struct BusTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Bytes of the payloads only.
};

/// Returns the largest number of requests, over all windows, by which `times` (sorted) exceed rate x window + burst.
double maxExcess(const std::vector<SimTime> &times, double rate, double burst);

/// Runs several token brokers in simulated time.
class FleetBus
{
public:
    FleetBus(const FleetShape &shape,
             std::vector<config::Workspace> workspaces,
             std::uint64_t seed,
             BrokerSettings settings = {});
    ~FleetBus();

    void schedule(const Fault &fault);
    /// Schedules a request that arrives at `node` at the time `at`.
    void offer(SimTime at, int node, std::size_t workspace);
    /// Schedules requests of one workspace at random nodes, `perSecond` on average. They are evenly spaced if
    /// `regular`, and otherwise a Poisson process.
    void offerStream(std::size_t workspace, double perSecond, SimTime from, SimTime to, bool regular);
    void run(SimTime until);

    const std::vector<RequestRecord> &requests() const;
    /// Sorted times at which requests of `workspace` were admitted whose tokens were not returned.
    std::vector<SimTime> admissions(std::size_t workspace) const;
    /// Returns limits::maxExcess() with the largest rate and burst that were in force.
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
