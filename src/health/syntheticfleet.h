#pragma once

#include "papayastep/health/healthmonitor.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

/// Simulation of a service on the manual clock, for tests and for health_measure: queues, slots, random latencies and
/// failing links around the production detectors. Not shipped.
namespace papayastep::health::synthetic {

struct RouteProfile
{
    std::string name;
    double share = 1;
    base::Duration median{};
    double sigma = 0.6; ///< Standard deviation of the logarithm of the log-normal latency.
};

struct ServiceProfile
{
    std::string name;
    int servers = 0;
    int slots = 0;
    int zones = 1;
    config::DetectionPreference prefer = config::DetectionPreference::FastDetection;
    double floor = 0.5;
    double load = 0.45; ///< Average share of busy slots.
    std::vector<RouteProfile> routes;
};

/// Returns the services of an example fleet: "caribrite" or "tepla-noha". Throws std::invalid_argument for any other.
std::vector<ServiceProfile> fleetServices(const std::string &fleet);

enum class Fault {
    None,
    SlowTenfold,
    SlowTwice,
    ErrorsOnThird,
    Hang,
    HalfAlive, ///< The health endpoint reports success, but all requests fail.
    Partial,
    OneWayTo, ///< No message reaches the VM, but those that it sends arrive.
    OneWayFrom, ///< All messages reach the VM, but those that it sends are lost.
    Flapping,
    Paused, ///< The node beside the server is paused for some seconds.
    Refusing, ///< The backend server is dead, and connections are refused.
};

/// A fault of some servers during a period. Several faults of one server combine.
struct FaultPlan
{
    Fault fault = Fault::None;
    std::vector<int> servers;
    base::Duration begin{};
    base::Duration end = std::chrono::hours(10);
};

/// One ejection: by the node beside the server for all (`by` equals `server`), or by one entry node for itself.
struct Ejection
{
    int by = 0;
    int server = 0;

    auto operator<=>(const Ejection &) const = default;
};

/// Interface of the measured detectors: they receive the events and return the weight of each server at each entry
/// node.
class Detector
{
public:
    virtual ~Detector() = default;

    virtual void started(int server, const AttemptKey &key, const std::string &route) = 0;
    virtual void finished(int server, const AttemptKey &key, AttemptOutcome outcome, base::Duration latency) = 0;
    virtual void hopSent(int entry, int server, const AttemptKey &key) = 0;
    virtual void hopAcknowledged(int entry, int server, const AttemptKey &key) = 0;
    virtual void hopEnded(
        int entry, int server, const AttemptKey &key, HopOutcome outcome, base::Duration latency, bool reached)
        = 0;
    virtual void probeFinished(int server, bool good) = 0;
    virtual bool admits(int server) = 0;
    virtual void tick(base::TimePoint now) = 0;
    virtual double weight(int entry, int server) = 0;
    virtual int busy(int entry, int server) = 0;
    /// Returns the ejections of any kind since the last call.
    virtual std::vector<Ejection> takeEjections() = 0;
};

/// Whether a message from one VM to another would arrive now.
using Link = std::function<bool(int from, int to)>;

/// The production detector: one HealthMonitor for each VM.
class MonitorDetector final : public Detector
{
public:
    MonitorDetector(const ServiceProfile &profile, const base::ManualClock &clock, std::uint64_t seed, Link link);

    void started(int server, const AttemptKey &key, const std::string &route) override;
    void finished(int server, const AttemptKey &key, AttemptOutcome outcome, base::Duration latency) override;
    void hopSent(int entry, int server, const AttemptKey &key) override;
    void hopAcknowledged(int entry, int server, const AttemptKey &key) override;
    void hopEnded(int entry,
                  int server,
                  const AttemptKey &key,
                  HopOutcome outcome,
                  base::Duration latency,
                  bool reached) override;
    void probeFinished(int server, bool good) override;
    bool admits(int server) override;
    void tick(base::TimePoint now) override;
    double weight(int entry, int server) override;
    int busy(int entry, int server) override;
    std::vector<Ejection> takeEjections() override;

    HealthMonitor &monitor(int vm);
    void setPaused(int vm, bool paused);
    void restart(int vm);
    /// Applies a new revision of the configuration, which `change` may modify, at every VM that is not paused.
    void publish(const std::function<void(config::Configuration::Parts &)> &change = {});
    std::vector<HealthEvent> events; ///< All events of all monitors so far.

private:
    void deliver();
    void collectEvents(int vm);

    ServiceProfile m_profile;
    const base::ManualClock &m_clock;
    Link m_link;
    std::uint64_t m_seed;
    std::vector<std::unique_ptr<HealthMonitor>> m_monitors;
    std::vector<base::Incarnation> m_incarnations;
    std::vector<bool> m_paused;
    base::Revision m_revision = 0;
    std::vector<Ejection> m_ejections;
};

base::BackendServerId serverId(int index);
base::VmId vmId(int index);

/// Simulates clients, queues and servers around a detector.
class Fleet
{
public:
    using MakeDetector = std::function<std::unique_ptr<Detector>(const base::ManualClock &clock, Link link)>;

    Fleet(const ServiceProfile &profile, std::uint64_t seed, const MakeDetector &make);

    void addFault(const FaultPlan &plan);
    /// Called at every tick, for samples and for actions of a test.
    std::function<void(base::Duration elapsed)> onTick;
    void runUntil(base::Duration elapsed);

    base::Duration elapsed() const;
    Detector &detector();
    const base::ManualClock &clock() const;
    /// Share of the other VMs that give the server no work or only trial requests.
    double avoidedShare(int server);
    /// The smallest share of usable servers at any entry node now, except for paused ones and those with broken links.
    double smallestCapacity();
    std::uint64_t answered() const;
    std::uint64_t failed() const;
    std::uint64_t startedAt(int server) const;

private:
    enum class Step { Arrival, Receive, Acknowledge, Finish, Answer, TimeOut, Tick };
    struct Event
    {
        base::TimePoint at;
        std::uint64_t order = 0;
        Step step = Step::Arrival;
        std::uint64_t hop = 0;

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Hop
    {
        AttemptKey key;
        int entry = 0;
        int server = 0;
        std::size_t route = 0;
        int tries = 0;
        base::TimePoint sentAt;
        base::TimePoint startedAt;
        AttemptOutcome outcome = AttemptOutcome::Success;
        bool running = false;
        bool acknowledged = false;
        bool admitted = false;
    };

    void schedule(base::Duration after, Step step, std::uint64_t hop = 0);
    void handle(const Event &event);
    void arrive();
    void send(std::uint64_t id);
    void receive(std::uint64_t id);
    void start(std::uint64_t id);
    void finish(std::uint64_t id);
    void startNext(std::size_t server);
    void answer(std::uint64_t id);
    void timeOut(std::uint64_t id);
    void endHop(std::uint64_t id, HopOutcome outcome, bool reached, bool retry);
    int choose(int entry);
    bool active(Fault fault, int server) const;
    bool inFailurePhase(int server) const; ///< Hanging, or in the failing phase of flapping.
    bool delivers(int from, int to) const;
    base::Duration draw(const Hop &hop, AttemptOutcome &outcome);
    void applyPauses();

    ServiceProfile m_profile;
    base::ManualClock m_clock;
    base::TimePoint m_start;
    std::mt19937_64 m_random;
    std::unique_ptr<Detector> m_detector;
    std::vector<FaultPlan> m_faults;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::unordered_map<std::uint64_t, Hop> m_hops;
    std::vector<std::queue<std::uint64_t>> m_queues;
    std::vector<int> m_busy;
    std::vector<double> m_speed;
    std::vector<base::TimePoint> m_stalledUntil;
    std::vector<std::uint64_t> m_started;
    double m_arrivalsPerSecond = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_nextHop = 1;
    std::uint64_t m_answered = 0;
    std::uint64_t m_failed = 0;
};

}
