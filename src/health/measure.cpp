#include "baselines.h"
#include "latencydistribution.h"
#include "sequentialtest.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>
#include <set>

/// Measures detection on the manual clock, with the production code and simulated latencies. Prints one JSON line for
/// each figure. Medians and worst cases are over all seeds of a run; `seed` is then the first of them.
namespace {

using namespace papayastep;
using namespace papayastep::health;
using namespace papayastep::health::synthetic;
using namespace std::chrono_literals;

const base::Duration faultBegin = 60s;
const base::Duration faultLimit = 60s; ///< Detection time that counts for a fault that is not detected.
const base::Duration faultFree = 30min;
const base::Duration pauseLength = 3s;
constexpr double detectedBy = 0.5; ///< Share of the other entry nodes that must avoid the server.

struct NamedFault
{
    std::string name;
    Fault fault;
    bool wholeZone = false;
};

const std::vector<NamedFault> faults{{"slow-tenfold", Fault::SlowTenfold},
                                     {"slow-twice", Fault::SlowTwice},
                                     {"errors-on-third", Fault::ErrorsOnThird},
                                     {"hang", Fault::Hang},
                                     {"half-alive", Fault::HalfAlive},
                                     {"partial-answers", Fault::Partial},
                                     {"one-way-to", Fault::OneWayTo},
                                     {"one-way-from", Fault::OneWayFrom},
                                     {"flapping", Fault::Flapping},
                                     {"paused-process", Fault::Paused},
                                     {"refusing", Fault::Refusing},
                                     {"zone-slow", Fault::SlowTenfold, true}};

struct Options
{
    std::string fleet = "caribrite";
    std::uint64_t seed = 1;
    int seeds = 5;
    std::string fault;
    std::string variant;
    bool faultFreeToo = true;
    std::string service;
};

struct Figures
{
    std::vector<double> detection;
    int falseEjections = 0;
    double capacity = 1;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
};

class Measure
{
public:
    Measure(const Options &options, const ServiceProfile &profile, const std::string &variant)
        : m_options(options)
        , m_profile(profile)
        , m_variant(variant)
    {
    }

    void runFault(const NamedFault &named)
    {
        Figures figures;
        for (int index = 0; index < m_options.seeds; ++index) {
            runOnce(named, m_options.seed + static_cast<std::uint64_t>(index), figures);
        }
        std::sort(figures.detection.begin(), figures.detection.end());
        const double asked = static_cast<double>(figures.answered + figures.failed);
        print(named.name, "detection_seconds_median", figures.detection[figures.detection.size() / 2], "s");
        print(named.name, "detection_seconds_worst", figures.detection.back(), "s");
        print(named.name, "false_ejections", figures.falseEjections, "ejections");
        print(named.name, "healthy_capacity_min", figures.capacity, "share of slots");
        print(named.name, "request_failure_ratio", static_cast<double>(figures.failed) / asked, "share of requests");
    }

    void runFaultFree()
    {
        int worst = 0;
        int all = 0;
        double capacity = 1;
        for (int index = 0; index < m_options.seeds; ++index) {
            Fleet fleet = makeFleet(m_options.seed + static_cast<std::uint64_t>(index));
            int ejections = 0;
            fleet.onTick = [&](base::Duration) {
                ejections += static_cast<int>(fleet.detector().takeEjections().size());
                if (ejections > 0) {
                    capacity = std::min(capacity, fleet.smallestCapacity());
                }
            };
            fleet.runUntil(faultFree);
            worst = std::max(worst, ejections);
            all += ejections;
        }
        print("none", "false_ejections_mean", static_cast<double>(all) / m_options.seeds, "ejections per half hour");
        print("none", "false_ejections_worst", worst, "ejections per half hour");
        print("none", "healthy_capacity_min", capacity, "share of slots");
    }

private:
    Fleet makeFleet(std::uint64_t seed) const
    {
        return Fleet(m_profile, seed, [&](const base::ManualClock &clock, Link link) {
            return makeDetector(m_variant, m_profile, clock, seed, std::move(link));
        });
    }

    void runOnce(const NamedFault &named, std::uint64_t seed, Figures &figures) const
    {
        std::vector<int> faulty;
        for (int server = 0; server < m_profile.servers;
             server += named.wholeZone ? m_profile.zones : m_profile.servers) {
            faulty.push_back(server);
        }
        const base::Duration end = faultBegin + (named.fault == Fault::Paused ? pauseLength : 2 * faultLimit);
        const auto isFaulty
            = [&](int server) { return std::find(faulty.begin(), faulty.end(), server) != faulty.end(); };
        Fleet fleet = makeFleet(seed);
        fleet.addFault(FaultPlan{named.fault, faulty, faultBegin, end});
        base::Duration found = faultLimit;
        std::uint64_t answeredBefore = 0;
        std::uint64_t failedBefore = 0;
        fleet.onTick = [&](base::Duration elapsed) {
            for (const Ejection &ejection : fleet.detector().takeEjections()) {
                // A VM whose own links are broken avoids the paths to all others correctly.
                const bool deserved
                    = isFaulty(ejection.server) || (ejection.by != ejection.server && isFaulty(ejection.by));
                figures.falseEjections += deserved && elapsed >= faultBegin ? 0 : 1;
            }
            if (elapsed < faultBegin) {
                answeredBefore = fleet.answered();
                failedBefore = fleet.failed();
                return;
            }
            figures.capacity = std::min(figures.capacity, fleet.smallestCapacity());
            const bool all = std::all_of(
                faulty.begin(), faulty.end(), [&](int server) { return fleet.avoidedShare(server) >= detectedBy; });
            if (found == faultLimit && all) {
                found = elapsed - faultBegin;
            }
        };
        fleet.runUntil(faultBegin + faultLimit);
        figures.detection.push_back(std::chrono::duration<double>(found).count());
        figures.answered += fleet.answered() - answeredBefore;
        figures.failed += fleet.failed() - failedBefore;
    }

    void print(const std::string &fault, const std::string &metric, double value, const std::string &unit) const
    {
        nlohmann::ordered_json line;
        line["case"] = "detection-manual";
        line["variant"] = m_variant;
        line["fleet"] = m_options.fleet;
        line["service"] = m_profile.name;
        line["fault"] = fault;
        line["metric"] = metric;
        line["value"] = value;
        line["unit"] = unit;
        line["seed"] = m_options.seed;
        line["seeds"] = m_options.seeds;
        std::cout << line.dump() << std::endl;
    }

    const Options &m_options;
    ServiceProfile m_profile;
    std::string m_variant;
};

/// Measures the bandwidth of the messages between siblings in a minute of fault-free traffic.
void measureControl(const Options &options)
{
    const base::Duration length = 60s;
    const HealthSettings settings;
    for (const ServiceProfile &profile : fleetServices(options.fleet)) {
        Fleet fleet(profile, options.seed, [&](const base::ManualClock &clock, Link link) {
            return std::make_unique<MonitorDetector>(profile, clock, options.seed, std::move(link));
        });
        fleet.runUntil(length);
        auto &detector = dynamic_cast<MonitorDetector &>(fleet.detector());
        double bytes = 0;
        for (int vm = 0; vm < profile.servers; ++vm) {
            const HealthCounters &counters = detector.monitor(vm).counters();
            bytes += static_cast<double>(counters.bytesSent);
            bytes += static_cast<double>(counters.messagesSent) * settings.messageOverheadBytes;
        }
        nlohmann::ordered_json line;
        line["case"] = "control";
        line["variant"] = "papayastep";
        line["fleet"] = options.fleet;
        line["service"] = profile.name;
        line["metric"] = "control_bytes_per_second_per_node";
        line["value"] = bytes / profile.servers / std::chrono::duration<double>(length).count();
        line["unit"] = "B/s, with 90 B of overhead a message";
        line["seed"] = options.seed;
        std::cout << line.dump() << std::endl;
    }
}

/// Checks the bound of ejectionThreshold(), at most one false alarm in exp(threshold) observations. Draws healthy
/// latencies and counts the alarms, at thresholds that are low enough for some to occur.
void checkThreshold(const Options &options)
{
    constexpr int learning = 20'000;
    constexpr int observations = 5'000'000;
    constexpr double sigma = 0.6;
    std::mt19937_64 random(options.seed);
    std::lognormal_distribution<double> ratio(0, sigma);
    LatencyHistogram counter;
    for (int index = 0; index < learning; ++index) {
        counter.add(ratio(random));
    }
    const LatencyModel model(counter.distribution());
    for (const LatencyModel::Slowdown slowdown : {LatencyModel::Slower, LatencyModel::MuchSlower}) {
        for (const double threshold : {4.0, 6.0, 8.0, 10.0}) {
            Cusum test;
            int alarms = 0;
            for (int index = 0; index < observations; ++index) {
                test.add(model.answered(slowdown, ratio(random)), 0, threshold);
                if (test.score() >= threshold) {
                    ++alarms;
                    test.reset();
                }
            }
            nlohmann::ordered_json line;
            line["case"] = "threshold";
            line["variant"] = "papayastep";
            line["fault"] = "none";
            line["test"] = slowdown == LatencyModel::Slower ? "slower" : "much-slower";
            line["threshold"] = threshold;
            line["metric"] = "false_alarms_per_million";
            line["value"] = alarms * 1e6 / observations;
            line["bound"] = 1e6 * std::exp(-threshold);
            line["unit"] = "alarms";
            line["seed"] = options.seed;
            std::cout << line.dump() << std::endl;
        }
    }
}

void runCase(const Options &options)
{
    for (const ServiceProfile &profile : fleetServices(options.fleet)) {
        if (!options.service.empty() && options.service != profile.name) {
            continue;
        }
        for (const std::string variant :
             {"papayastep", "consecutive-failures", "success-rate-outlier", "fixed-latency-limit"}) {
            if (!options.variant.empty() && options.variant != variant) {
                continue;
            }
            Measure measure(options, profile, variant);
            for (const NamedFault &fault : faults) {
                if (options.fault.empty() || options.fault == fault.name) {
                    measure.runFault(fault);
                }
            }
            if (options.faultFreeToo && (options.fault.empty() || options.fault == "none")) {
                measure.runFaultFree();
            }
        }
    }
}

}

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    std::string name;
    po::options_description description("health_measure: detection of gray failures on the manual clock");
    description.add_options()("help", "show this text")(
        "case", po::value(&name)->default_value("detection-manual"), "detection-manual, threshold or control")(
        "fleet", po::value(&options.fleet)->default_value(options.fleet), "caribrite or tepla-noha")(
        "seeds", po::value(&options.seeds)->default_value(options.seeds), "how many seeds")(
        "seed", po::value(&options.seed)->default_value(options.seed), "the first seed")(
        "fault", po::value(&options.fault), "only this fault; none: only the fault-free half hour")(
        "service", po::value(&options.service), "only this service")(
        "variant", po::value(&options.variant), "only this variant")(
        "log", po::bool_switch(), "print the decisions, too")(
        "faults-only", po::bool_switch(), "leave out the fault-free half hour");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        const std::set<std::string> cases{"detection-manual", "threshold", "control"};
        if (values.count("help") > 0 || !cases.contains(name)) {
            std::cout << description << '\n';
            return values.count("help") > 0 ? 0 : 2;
        }
        options.faultFreeToo = !values["faults-only"].as<bool>();
        google::InitGoogleLogging(argv[0]);
        FLAGS_logtostderr = true;
        FLAGS_minloglevel = values["log"].as<bool>() ? google::GLOG_INFO : google::GLOG_ERROR;
        if (name == "threshold") {
            checkThreshold(options);
        } else if (name == "control") {
            measureControl(options);
        } else {
            runCase(options);
        }
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return 0;
}
