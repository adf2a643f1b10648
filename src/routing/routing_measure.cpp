// Measures the cost of routing decisions. Not shipped. Prints one JSON line for each figure.
#include "papayastep/routing/ledgerhome.h"
#include "papayastep/routing/placement.h"
#include "papayastep/routing/routetable.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <map>
#include <numeric>
#include <queue>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct Row
{
    std::string measure;
    std::string variant = "papayastep";
    std::string metric;
    double value = 0;
    std::string unit;
    int size = 0;
    std::uint64_t seed = 0;
};

void print(const Row &row)
{
    const nlohmann::ordered_json line{{"case", row.measure},
                                      {"variant", row.variant},
                                      {"metric", row.metric},
                                      {"value", row.value},
                                      {"unit", row.unit},
                                      {"size", row.size},
                                      {"seed", row.seed}};
    std::cout << line.dump() << '\n';
}

/// Returns the shortest time per call of several rounds, as the longer ones were disturbed by other load on the
/// machine.
double nanosecondsPerCall(int calls, const std::function<void(int)> &call)
{
    constexpr int rounds = 7;
    double least = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i) {
            call(i);
        }
        const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
        const double each = taken.count() / calls;
        least = round == 0 ? each : std::min(least, each);
    }
    return least;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void measureRouteMatch(std::uint64_t seed)
{
    constexpr int calls = 200'000;
    for (const int count : {1000, 2000, 4000, 8000, 16000, 32000}) {
        std::mt19937_64 random(seed);
        config::Configuration::Parts parts;
        std::vector<std::string> paths;
        std::vector<std::string> hosts;
        for (int i = 0; i < count; ++i) {
            config::Route route;
            route.id = base::RouteId("route" + std::to_string(i));
            route.host = i % 2 == 0 ? "" : "host" + std::to_string(i % 500) + ".example";
            route.pathPrefix = "/org" + std::to_string(i / 20) + "/service" + std::to_string(i) + "/v1";
            paths.push_back(route.pathPrefix + "/vouchers/" + std::to_string(random()));
            hosts.push_back(route.host.empty() ? "any.example:8080" : route.host);
            parts.routes.push_back(std::move(route));
        }
        const auto configuration = std::make_shared<const config::Configuration>(1, std::move(parts));
        const std::size_t before = heapBytes();
        const auto begin = std::chrono::steady_clock::now();
        const RouteTable table(configuration);
        const std::chrono::duration<double, std::milli> building = std::chrono::steady_clock::now() - begin;
        const std::size_t after = heapBytes();
        std::vector<std::size_t> order(paths.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::shuffle(order.begin(), order.end(), random);
        int found = 0;
        const double each = nanosecondsPerCall(calls, [&](int i) {
            const std::size_t at = order[static_cast<std::size_t>(i) % order.size()];
            found += table.match(hosts[at], "POST", paths[at]).has_value() ? 1 : 0;
        });
        if (found != calls * 7) {
            throw std::runtime_error("a route was not found");
        }
        print({"route-match", "papayastep", "ns_per_match", each, "ns", count, seed});
        print({"route-match", "papayastep", "ms_per_build", building.count(), "ms", count, seed});
        print({"route-match", "papayastep", "heap_bytes", static_cast<double>(after - before), "bytes", count, seed});
    }
}

std::vector<Candidate> candidatesOf(int count)
{
    std::vector<Candidate> candidates;
    candidates.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        Candidate candidate;
        candidate.server = base::BackendServerId("counter-server-" + std::to_string(i));
        candidate.vm = base::VmId("vm-" + std::to_string(i));
        candidate.zone = base::ZoneId("zone-" + std::to_string(i % 4));
        candidate.slots = 5;
        candidate.latency = 25ms;
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

/// Simulates requests that arrive at a steady rate at the entries of four zones and take an exponentially distributed
/// time. The waiting time is the time that a request spends in the queue of its server because its slots are busy.
void measureBalance(const PlacementPolicy &policy, int count, double use, std::uint64_t seed)
{
    constexpr double service = 25.0; // ms
    constexpr int requests = 100'000;
    struct Leaving
    {
        double at;
        std::size_t server;
        bool operator>(const Leaving &other) const
        {
            return at > other.at;
        }
    };
    std::mt19937_64 random(seed);
    auto candidates = candidatesOf(count);
    std::vector<std::priority_queue<double, std::vector<double>, std::greater<>>> freeAt(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        for (int slot = 0; slot < candidates[i].slots; ++slot) {
            freeAt[i].push(0);
        }
    }
    std::priority_queue<Leaving, std::vector<Leaving>, std::greater<>> leaving;
    std::exponential_distribution<double> gap(use * count * 5 / service);
    std::exponential_distribution<double> work(1 / service);
    std::vector<double> waits;
    int crossed = 0;
    double now = 0;
    for (int i = 0; i < requests; ++i) {
        now += gap(random);
        while (!leaving.empty() && leaving.top().at <= now) {
            Candidate &left = candidates[leaving.top().server];
            left.queueLength > 0 ? --left.queueLength : --left.slotsInUse;
            leaving.pop();
        }
        const PlacementRequest request{base::ZoneId("zone-" + std::to_string(random() % 4)), false, {}};
        const std::size_t index = policy.place(candidates, request, random).candidate.value();
        Candidate &chosen = candidates[index];
        crossed += chosen.zone != request.zone ? 1 : 0;
        chosen.slotsInUse < chosen.slots ? ++chosen.slotsInUse : ++chosen.queueLength;
        const double begin = std::max(now, freeAt[index].top());
        freeAt[index].pop();
        const double end = begin + work(random);
        freeAt[index].push(end);
        leaving.push({end, index});
        waits.push_back(begin - now);
    }
    std::sort(waits.begin(), waits.end());
    const std::string variant(policy.name() == "two-choices" ? "papayastep" : policy.name());
    const std::string at = "_at_" + std::to_string(static_cast<int>(use * 100));
    print({"placement", variant, "p99_wait" + at, waits[waits.size() * 99 / 100], "ms", count, seed});
    print(
        {"placement", variant, "cross_zone_share" + at, static_cast<double>(crossed) / requests, "ratio", count, seed});
}

void measurePlacement(std::uint64_t seed)
{
    constexpr int calls = 100'000;
    const TwoChoicePlacement twoChoices;
    const RandomPlacement randomly;
    const std::vector<const PlacementPolicy *> policies{&twoChoices, &randomly};
    for (const int count : {17, 50, 100, 200}) {
        const auto candidates = candidatesOf(count);
        const PlacementRequest request{base::ZoneId("zone-1"), true, {candidates[0].server}};
        for (const PlacementPolicy *policy : policies) {
            std::mt19937_64 random(seed);
            std::size_t sum = 0;
            const double each = nanosecondsPerCall(
                calls, [&](int) { sum += policy->place(candidates, request, random).candidate.value_or(0); });
            const std::string variant(policy == &twoChoices ? "papayastep" : policy->name());
            print({"placement", variant, "ns_per_placement", sum > 0 ? each : 0, "ns", count, seed});
        }
    }
    for (const int count : {14, 100}) {
        for (const double use : {0.5, 0.8}) {
            for (const PlacementPolicy *policy : policies) {
                measureBalance(*policy, count, use, seed);
            }
        }
    }
}

config::ConfigurationPtr largeConfiguration(base::Revision revision, int services)
{
    constexpr int serversOfService = 17;
    const int vms = services * 2;
    config::Configuration::Parts parts;
    for (int i = 0; i < services; ++i) {
        config::Service service;
        service.id = base::ServiceId("service" + std::to_string(i));
        config::Route route;
        route.id = base::RouteId("route" + std::to_string(i));
        route.service = service.id;
        parts.routes.push_back(route);
        for (int each = 0; each < serversOfService; ++each) {
            config::BackendServer server;
            server.id = base::BackendServerId("server" + std::to_string(i) + "-" + std::to_string(each));
            server.service = service.id;
            // Each revision replaces one VM of the first service.
            const int shift = i == 0 && each == 0 ? static_cast<int>(revision) : 0;
            server.vm = base::VmId("vm" + std::to_string((i * 7 + each * 131 + shift) % vms));
            parts.backendServers.push_back(std::move(server));
        }
        parts.services.push_back(std::move(service));
    }
    return std::make_shared<const config::Configuration>(revision, std::move(parts));
}

/// Measures the time that a node's ledger takes for a change of the configuration.
void measureMove(std::uint64_t seed)
{
    for (const int services : {100, 400, 1200}) {
        base::ManualClock clock;
        LedgerHome home(clock, base::VmId("vm131"), 1);
        home.applyConfiguration(largeConfiguration(1, services));
        const auto next = largeConfiguration(2, services);
        const auto begin = std::chrono::steady_clock::now();
        home.applyConfiguration(next);
        const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - begin;
        print({"ledger-cost", "papayastep", "ms_per_configuration", taken.count(), "ms", services, seed});
    }
}

void measureLedger(std::uint64_t seed)
{
    measureMove(seed);
    for (const int count : {1000, 10'000, 40'000}) {
        base::ManualClock clock;
        LedgerSettings settings;
        settings.maxBytes = 1u << 30;
        settings.maxBytesOfWorkspace = 1u << 30;
        std::vector<LedgerClaim> claims(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            LedgerClaim &claim = claims[static_cast<std::size_t>(i)];
            claim.workspace = base::WorkspaceId("workspace-" + std::to_string(i % 8));
            claim.service = base::ServiceId("counter");
            claim.key = keyHash(claim.workspace, "key-" + std::to_string(seed) + "-" + std::to_string(i));
            claim.request.low = static_cast<std::uint64_t>(i) + 1;
            claim.retention = base::Duration(1h).count();
            claim.remaining = base::Duration(10s).count();
        }
        const std::size_t before = heapBytes();
        IdempotencyLedger ledger(clock, settings);
        const auto begin = std::chrono::steady_clock::now();
        for (const auto &claim : claims) {
            ledger.grant(claim);
        }
        const std::chrono::duration<double, std::nano> granting = std::chrono::steady_clock::now() - begin;
        const auto heap = static_cast<double>(heapBytes() - before);
        std::size_t known = 0;
        const double lookUp = nanosecondsPerCall(count, [&](int i) {
            known += ledger.lookUp(claims[static_cast<std::size_t>(i) * 7919 % claims.size()]).has_value() ? 1 : 0;
        });
        const double hash = nanosecondsPerCall(count, [&](int i) {
            known += keyHash(claims[static_cast<std::size_t>(i)].workspace, "0193d747-b3c0").bytes[0];
        });
        const std::vector<base::VmId> vms(17, base::VmId("vm-17"));
        const double home = nanosecondsPerCall(
            count, [&](int i) { known += homeOf(claims[static_cast<std::size_t>(i)].key, vms).value().size(); });
        print({"ledger-cost", "papayastep", "heap_bytes_per_entry", heap / count, "bytes", count, seed});
        print({"ledger-cost",
               "papayastep",
               "counted_bytes_per_entry",
               static_cast<double>(ledger.bytes()) / count,
               "bytes",
               count,
               seed});
        print({"ledger-cost", "papayastep", "ns_per_grant", granting.count() / count, "ns", count, seed});
        print({"ledger-cost", "papayastep", "ns_per_look_up", known > 0 ? lookUp : 0, "ns", count, seed});
        print({"ledger-cost", "papayastep", "ns_per_key_hash", hash, "ns", count, seed});
        print({"ledger-cost", "papayastep", "ns_per_home_of_17", home, "ns", count, seed});
    }
}

}

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::string measure;
    std::uint64_t seed = 0;
    options::options_description description("Options");
    description.add_options()("help", "print this text")(
        "case", options::value(&measure), "route-match, placement or ledger-cost; all without it")(
        "seed", options::value(&seed)->default_value(1), "of the random numbers");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    const std::map<std::string, void (*)(std::uint64_t)> measures{
        {"route-match", measureRouteMatch}, {"placement", measurePlacement}, {"ledger-cost", measureLedger}};
    if (!measure.empty() && !measures.contains(measure)) {
        std::cerr << "unknown case: " << measure << '\n';
        return 2;
    }
    for (const auto &[name, run] : measures) {
        if (measure.empty() || measure == name) {
            run(seed);
        }
    }
    return 0;
}
