// Measures the decision code of the package on manual clocks, in comparison with two simpler rate limiters. Not
// shipped.
#include "baselines.h"
#include "faultplan.h"
#include "fleetbus.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace papayastep;
using namespace papayastep::limits;
using namespace std::chrono_literals;

namespace {

struct Options
{
    std::string measure;
    std::string fleet;
    std::string load; ///< Load pattern of the case crowding-manual.
    std::uint64_t seed = 1;
    int runs = 1;
};

void print(const Options &options,
           const std::string &variant,
           const std::string &metric,
           double value,
           const std::string &unit)
{
    const nlohmann::ordered_json line{{"case", options.measure},
                                      {"variant", variant},
                                      {"metric", metric},
                                      {"value", std::round(value * 1e6) / 1e6},
                                      {"unit", unit},
                                      {"seed", options.seed},
                                      {"fleet", options.fleet},
                                      {"load", options.load}};
    std::cout << line.dump() << std::endl;
}

FleetShape shapeOf(const Options &options)
{
    return options.fleet == "tepla-noha" ? teplaNoha() : caribrite();
}

std::vector<config::Workspace> workspacesOf(const std::vector<std::pair<double, double>> &ratesAndBursts)
{
    std::vector<config::Workspace> workspaces;
    for (const auto &[rate, burst] : ratesAndBursts) {
        config::Workspace workspace;
        workspace.id = base::WorkspaceId("workspace-" + std::to_string(workspaces.size()));
        workspace.rate = rate;
        workspace.burst = burst;
        workspaces.push_back(workspace);
    }
    return workspaces;
}

struct LimitCapResult
{
    double excess = -1e9;
    std::uint64_t admitted = 0;
    std::uint64_t offered = 0;
};

/// One run with faults, waves of requests and clock drift.
class LimitCapRun
{
public:
    LimitCapRun(FleetShape shape, std::uint64_t seed)
        : m_shape(shape)
        , m_seed(seed)
        , m_workspaces(quickWorkspaces())
    {
        // In a fleet of one zone a holder has the whole rate, so a second holder would be visible at once.
        if (seed % 2 == 1) {
            m_shape.nodes = 5;
            m_shape.zones = 1;
        }
        m_shape.drift = 0.0004;
        m_shape.giveBack = 0.1;
    }

    void run(std::map<std::string, LimitCapResult> &results) const
    {
        constexpr SimTime begin = 5s;
        constexpr SimTime end = 25s;
        FleetBus bus(m_shape, m_workspaces, m_seed);
        const std::vector<Fault> faults = randomFaults(m_shape.nodes, m_seed, 8, begin, end);
        for (const Fault &fault : faults) {
            bus.schedule(fault);
        }
        for (std::size_t index = 0; index < m_workspaces.size(); ++index) {
            offerWaves(bus, index, m_workspaces[index], m_shape.nodes, faults, m_seed + index, begin, end);
        }
        bus.run(26s);
        EqualSplit equalSplit(m_shape, m_workspaces);
        OneOwner oneOwner(m_shape, m_workspaces);
        for (std::size_t index = 0; index < m_workspaces.size(); ++index) {
            LimitCapResult &own = results["papayastep"];
            own.excess = std::max(own.excess, bus.maxExcess(index));
            own.admitted += bus.admissions(index).size();
            addResult(results["equal-split"], equalSplit.replay(bus.requests(), faults, index), index);
            addResult(results["one-owner"], oneOwner.replay(bus.requests(), faults, index), index);
        }
        for (auto &[variant, result] : results) {
            result.offered += bus.requests().size();
        }
    }

private:
    void addResult(LimitCapResult &result, const std::vector<SimTime> &admitted, std::size_t workspace) const
    {
        const config::Workspace &terms = m_workspaces[workspace];
        result.excess = std::max(result.excess, maxExcess(admitted, terms.rate, terms.burst));
        result.admitted += admitted.size();
    }

    FleetShape m_shape;
    std::uint64_t m_seed;
    std::vector<config::Workspace> m_workspaces;
};

void measureLimitCap(const Options &options)
{
    std::map<std::string, LimitCapResult> results;
    for (int run = 0; run < options.runs; ++run) {
        const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(run);
        std::map<std::string, LimitCapResult> one;
        LimitCapRun(shapeOf(options), seed).run(one);
        if (one["papayastep"].excess > 1e-6) {
            std::cerr << "seed " << seed << " exceeds by " << one["papayastep"].excess << std::endl;
        }
        for (const auto &[variant, result] : one) {
            results[variant].excess = std::max(results[variant].excess, result.excess);
            results[variant].admitted += result.admitted;
            results[variant].offered += result.offered;
        }
    }
    for (const auto &[variant, result] : results) {
        print(options, variant, "max_excess_requests", result.excess, "requests");
        print(options, variant, "admitted_requests", static_cast<double>(result.admitted), "requests");
        print(options, variant, "runs", options.runs, "runs");
    }
}

struct Fairness
{
    double worstServed = 1;
    std::uint64_t wrongful = 0;
    std::uint64_t inRate = 0;
    double floodServed = 1; ///< Smallest ratio to the ideal bucket for the overloading workspace.
};

/// Compares the admitted requests of each workspace with one bucket for the whole fleet that receives every request
/// without delay.
void updateFairness(Fairness &fairness,
                    const std::vector<std::size_t> &offered,
                    const std::vector<std::size_t> &admitted,
                    const std::vector<std::size_t> &ideal,
                    std::size_t flooding)
{
    for (std::size_t index = 0; index < offered.size(); ++index) {
        const auto ratio = [](std::size_t a, std::size_t b) {
            return b == 0 ? 1.0 : static_cast<double>(a) / static_cast<double>(b);
        };
        if (index == flooding) {
            fairness.floodServed = std::min(fairness.floodServed, ratio(admitted[index], ideal[index]));
            continue;
        }
        fairness.worstServed = std::min(fairness.worstServed, ratio(admitted[index], offered[index]));
        fairness.wrongful += ideal[index] > admitted[index] ? ideal[index] - admitted[index] : 0;
        fairness.inRate += offered[index];
    }
}

/// Schedules requests in the pattern of Options::load: `even` spaces them evenly over all nodes, `random` uses Poisson
/// arrivals, `one-zone` spaces them evenly within one zone, and `restart` is like `even`; the caller schedules the
/// restart of one node.
void offerLoad(FleetBus &bus,
               const Options &options,
               const FleetShape &shape,
               std::size_t workspace,
               double perSecond,
               SimTime begin,
               SimTime end)
{
    if (options.load != "one-zone") {
        bus.offerStream(workspace, perSecond, begin, end, options.load != "random");
        return;
    }
    const std::chrono::duration<double> mean(1 / perSecond);
    const int nodesOfZone = shape.nodes / shape.zones;
    int turn = 0;
    for (std::chrono::duration<double> time = begin; time < end; time += mean) {
        const int node = (++turn % nodesOfZone) * shape.zones;
        bus.offer(std::chrono::duration_cast<SimTime>(time), node, workspace);
    }
}

void measureCrowding(const Options &options)
{
    // A few large workspaces, and small rates and bursts that are hard to divide into shares.
    const auto workspaces = workspacesOf({{100, 100}, {60, 30}, {20, 20}, {10, 5}, {5, 2}, {2, 3}, {0.5, 1}, {0.5, 5}});
    constexpr std::size_t flooding = 1;
    constexpr SimTime begin = 30s;
    constexpr SimTime end = 90s;
    std::map<std::string, Fairness> results;
    double waited = 0;
    double decided = 0;
    double messages = 0;
    double bytes = 0;
    for (int run = 0; run < options.runs; ++run) {
        const FleetShape shape = shapeOf(options);
        FleetBus bus(shape, workspaces, options.seed + static_cast<std::uint64_t>(run));
        for (std::size_t index = 0; index < workspaces.size(); ++index) {
            const double factor = index == flooding ? 5 : 0.8;
            offerLoad(bus, options, shape, index, factor * workspaces[index].rate, begin, end);
        }
        if (options.load == "restart") {
            bus.schedule(Fault{FaultKind::Restart, begin + 20s, 1500ms, run % shape.nodes, 0});
        }
        bus.run(begin);
        const BusTraffic before = bus.traffic();
        bus.run(end + 1s);
        messages += static_cast<double>(bus.traffic().messages - before.messages);
        bytes += static_cast<double>(bus.traffic().bytes - before.bytes);
        std::vector<std::size_t> offered(workspaces.size());
        std::vector<std::size_t> admitted(workspaces.size());
        std::vector<std::size_t> ideal(workspaces.size());
        std::vector<std::size_t> equalSplit(workspaces.size());
        std::vector<std::size_t> oneOwner(workspaces.size());
        // A request to a node that is down does not reach the code of this package.
        std::vector<RequestRecord> requests = bus.requests();
        std::erase_if(requests, [](const RequestRecord &request) { return !request.decided; });
        for (const RequestRecord &request : requests) {
            ++offered[request.workspace];
            decided += 1;
            waited += request.decidedAt > request.offeredAt ? 1 : 0;
        }
        for (std::size_t index = 0; index < workspaces.size(); ++index) {
            admitted[index] = bus.admissions(index).size();
            ideal[index] = idealBucket(requests, workspaces[index], index).size();
            equalSplit[index] = EqualSplit(shape, workspaces).replay(requests, {}, index).size();
            oneOwner[index] = OneOwner(shape, workspaces).replay(requests, {}, index).size();
            if (index != flooding && admitted[index] < ideal[index]) {
                std::cerr << "rate " << workspaces[index].rate << " burst " << workspaces[index].burst << " admitted "
                          << admitted[index] << " ideal " << ideal[index] << std::endl;
            }
        }
        updateFairness(results["papayastep"], offered, admitted, ideal, flooding);
        updateFairness(results["equal-split"], offered, equalSplit, ideal, flooding);
        updateFairness(results["one-owner"], offered, oneOwner, ideal, flooding);
    }
    for (const auto &[variant, result] : results) {
        const double wrongful = static_cast<double>(result.wrongful) / static_cast<double>(result.inRate);
        print(options, variant, "worst_served_ratio", result.worstServed, "ratio");
        print(options, variant, "wrongful_refusal_ratio", wrongful, "ratio");
        print(options, variant, "flood_served_ratio", result.floodServed, "ratio");
    }
    const double nodeSeconds
        = std::chrono::duration<double>(end - begin).count() * shapeOf(options).nodes * options.runs;
    print(options, "papayastep", "requests_that_wait", waited / decided, "ratio");
    print(options, "papayastep", "messages_per_node", messages / nodeSeconds, "messages/s");
    print(options, "papayastep", "payload_per_node", bytes / nodeSeconds, "bytes/s");
}

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Measures the cost per workspace and request in one fleet (14 nodes by default): first with all workspaces configured
/// and none in use, then with some in use.
void measureLimitCost(const Options &options)
{
    constexpr std::size_t all = 120'000;
    constexpr std::size_t busy = 2'000;
    constexpr SimTime warmUp = 8s;
    constexpr SimTime length = 20s;
    const std::vector<config::Workspace> workspaces
        = workspacesOf(std::vector<std::pair<double, double>>(all, {5, 10}));
    FleetShape shape = shapeOf(options);
    {
        FleetBus bus(shape, workspaces, options.seed);
        bus.run(warmUp);
        const BusTraffic before = bus.traffic();
        bus.run(warmUp + length);
        const double nodeSeconds = std::chrono::duration<double>(length).count() * shape.nodes;
        const double idle = static_cast<double>(bus.traffic().bytes - before.bytes);
        print(options, "papayastep", "idle_workspaces", all, "workspaces");
        print(options, "papayastep", "idle_payload_per_node", idle / nodeSeconds, "bytes/s");
    }
    for (const bool used : {false, true}) {
        FleetBus bus(shape, workspaces, options.seed);
        bus.run(warmUp);
        const std::size_t residentBefore = residentBytes();
        const BusTraffic before = bus.traffic();
        const auto started = std::chrono::steady_clock::now();
        for (std::size_t index = 0; used && index < busy; ++index) {
            bus.offerStream(index, 2, warmUp, warmUp + length, false);
        }
        bus.run(warmUp + length);
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - started;
        if (!used) {
            continue;
        }
        const auto requests = static_cast<double>(bus.requests().size());
        std::size_t active = 0;
        for (int node = 0; node < shape.nodes; ++node) {
            active += bus.broker(node).activeWorkspaces();
        }
        const auto resident = static_cast<double>(residentBytes() - residentBefore);
        const double harness = requests * sizeof(RequestRecord);
        print(options, "papayastep", "busy_workspace_states", static_cast<double>(active), "workspaces x nodes");
        print(options,
              "papayastep",
              "busy_resident",
              (resident - harness) / static_cast<double>(active),
              "bytes/workspace");
        const auto messages = static_cast<double>(bus.traffic().messages - before.messages);
        print(options, "papayastep", "messages_per_request", messages / requests, "messages");
        const auto bytes = static_cast<double>(bus.traffic().bytes - before.bytes);
        print(options, "papayastep", "payload_per_request", bytes / requests, "bytes");
        print(options, "papayastep", "time_per_request_fleetwide", elapsed.count() / requests, "ns");
    }
}

int runMeasure(const Options &options)
{
    if (options.measure == "limit-cap") {
        measureLimitCap(options);
    } else if (options.measure == "crowding-manual") {
        measureCrowding(options);
    } else if (options.measure == "limit-cost") {
        measureLimitCost(options);
    } else {
        std::cerr << "unknown case " << options.measure << std::endl;
        return 2;
    }
    return 0;
}

}

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    po::options_description description("Measures of the limits package");
    description.add_options()("help", "this text")(
        "case", po::value(&options.measure)->required(), "limit-cap, crowding-manual or limit-cost")(
        "seed", po::value(&options.seed)->default_value(1), "the first seed")(
        "runs", po::value(&options.runs)->default_value(1), "how many seeds")(
        "fleet", po::value(&options.fleet)->default_value("caribrite"), "caribrite or tepla-noha")(
        "load", po::value(&options.load)->default_value("even"), "even, random, one-zone or restart");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    return runMeasure(options);
}
