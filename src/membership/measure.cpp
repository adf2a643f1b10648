// membership_measure: measures what a configuration costs a node, at today's and at the planned sizes.
//
// Prints one JSON line for each figure. Seconds are processor time of one thread; bytes held are the growth of the
// process' resident set (/proc/self/statm) after freed memory was returned to the system, so each size needs a run of
// its own.

#include "papayastep/config/configstore.h"
#include "papayastep/config/configuration.h"
#include "papayastep/membership/messages.h"
#include "papayastep/wire/envelope.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <ctime>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <unistd.h>

namespace {

using namespace papayastep;
using config::ConfigurationFile;

struct Sizes
{
    int workspaces = 1000;
    int routes = 100;
    int services = 40;
    int servers = 400;
};

constexpr std::size_t targetFileBytes = 900'000;

class Reporter
{
public:
    explicit Reporter(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    void report(const std::string &metric,
                double value,
                const std::string &unit,
                const std::string &variant = "papayastep")
    {
        std::cout << nlohmann::ordered_json{{"case", "config-cost"},
                                            {"variant", variant},
                                            {"metric", metric},
                                            {"value", value},
                                            {"unit", unit},
                                            {"seed", m_seed}}
                         .dump()
                  << std::endl;
    }

private:
    std::uint64_t m_seed;
};

/// Collects the entries of one section into files below the size that the platform accepts.
class FileWriter
{
public:
    explicit FileWriter(std::vector<ConfigurationFile> &files)
        : m_files(files)
    {
    }

    void section(const std::string &name)
    {
        finish();
        m_section = name;
    }
    void add(const std::string &entry)
    {
        m_entries += (m_entries.empty() ? "" : ",\n") + entry;
        if (m_entries.size() > targetFileBytes) {
            finish();
        }
    }
    void finish()
    {
        if (!m_entries.empty()) {
            const std::string number = std::to_string(1000 + m_files.size());
            m_files.push_back({number + "-" + m_section + ".json", "{\"" + m_section + "\":[\n" + m_entries + "\n]}"});
            m_entries.clear();
        }
    }

private:
    std::vector<ConfigurationFile> &m_files;
    std::string m_section;
    std::string m_entries;
};

std::string workspaceEntry(int index, int rate, std::uint64_t seed)
{
    const std::string key = "key-" + std::to_string(seed) + "-" + std::to_string(index);
    return R"({"id":"workspace-)" + std::to_string(index) + R"(","keys":["sha256:)" + config::digestOf(key)
        + R"("],"rate":)" + std::to_string(rate) + R"(,"burst":20})";
}

std::vector<ConfigurationFile> makeFiles(const Sizes &sizes, std::uint64_t seed, int changedRate = 10)
{
    std::vector<ConfigurationFile> files;
    FileWriter writer(files);
    const auto service = [&](int index) { return "service-" + std::to_string(index % sizes.services); };
    writer.section("services");
    for (int index = 0; index < sizes.services; ++index) {
        writer.add(R"({"id":")" + service(index) + R"(","floor":0.5,"healthPath":"/health"})");
    }
    writer.section("backendServers");
    for (int index = 0; index < sizes.servers; ++index) {
        const int vm = index % std::max(1, sizes.servers / 9);
        writer.add(R"({"id":"server-)" + std::to_string(index) + R"(","service":")" + service(index) + R"(","vm":"vm-)"
                   + std::to_string(vm) + R"(","zone":"zone-)" + std::to_string(vm % 7)
                   + R"(","address":"10.0.0.1","port":)" + std::to_string(9000 + index / std::max(1, sizes.servers / 9))
                   + R"(,"slots":5})");
    }
    writer.section("routes");
    for (int index = 0; index < sizes.routes; ++index) {
        writer.add(R"({"id":"route-)" + std::to_string(index) + R"(","pathPrefix":"/team-)" + std::to_string(index)
                   + R"(/action","methods":["GET"],"service":")" + service(index) + R"(","deadline":"5s"})");
    }
    writer.section("workspaces");
    for (int index = 0; index < sizes.workspaces; ++index) {
        writer.add(workspaceEntry(index, index == sizes.workspaces / 2 ? changedRate : 10, seed));
    }
    writer.finish();
    return files;
}

double residentBytes()
{
    malloc_trim(0);
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

template<typename Work>
double secondsOf(const Work &work)
{
    const std::clock_t start = std::clock();
    work();
    return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

std::string label(const Sizes &sizes)
{
    return "_at_" + std::to_string(sizes.workspaces) + "_workspaces_" + std::to_string(sizes.routes) + "_routes";
}

void measureBuild(const Sizes &sizes, std::uint64_t seed, Reporter &reporter)
{
    const std::string at = label(sizes);
    auto files = makeFiles(sizes, seed);
    reporter.report("files" + at, static_cast<double>(files.size()), "1");
    const double before = residentBytes();
    config::ConfigurationPtr configuration;
    const double seconds = secondsOf([&] { configuration = config::buildConfiguration(1, files); });
    const double held = residentBytes() - before;
    reporter.report("build_cpu_seconds" + at, seconds, "s");
    reporter.report("configuration_bytes" + at, held, "B");
    reporter.report("build_us_per_entry" + at, seconds * 1e6 / (sizes.workspaces + sizes.routes), "us");
    reporter.report("bytes_per_entry" + at, held / (sizes.workspaces + sizes.routes), "B");
    const double beforeStore = residentBytes();
    const config::ConfigStore store(1, files);
    reporter.report("store_bytes" + at, residentBytes() - beforeStore, "B");
    reporter.report("store_payload_bytes" + at, static_cast<double>(store.compressedBytes()), "B");
}

void measurePatch(const Sizes &sizes, std::uint64_t seed, Reporter &reporter)
{
    const std::string at = label(sizes);
    const config::ConfigStore older(1, makeFiles(sizes, seed));
    const config::ConfigStore newer(2, makeFiles(sizes, seed, 99));
    std::string bytes;
    const double make = secondsOf([&] { bytes = wire::encode(newer.patchFor(older.listing(), older)); });
    reporter.report("patch_bytes_of_one_workspace" + at, static_cast<double>(bytes.size()), "B");
    reporter.report("patch_make_cpu_seconds" + at, make, "s");
    const auto patch = wire::decode<config::ConfigurationPatch>(bytes);
    reporter.report("patch_apply_cpu_seconds" + at, secondsOf([&] { older.apply(patch); }), "s");
    const std::string whole = wire::encode(newer.patchFor({}, {}));
    reporter.report("whole_transfer_bytes" + at, static_cast<double>(whole.size()), "B");
}

/// Measures encoding once and forwarding the bytes against encoding for each of `peers`. Both are sealed for each peer,
/// since an envelope carries a sequence number and a tag.
void measureEncodeOnce(const Sizes &sizes, std::uint64_t seed, Reporter &reporter)
{
    constexpr int peers = 20;
    const config::ConfigStore older(1, makeFiles(sizes, seed));
    const config::ConfigStore newer(2, makeFiles(sizes, seed, 99));
    const wire::EnvelopeCodec codec("a secret for the measure only");
    const auto encode = [&] { return wire::encode(newer.patchFor(older.listing(), older)); };
    std::size_t sealed = 0;
    const auto seal = [&](const std::string &payload) {
        wire::Envelope envelope;
        envelope.sender = base::VmId("vm-1");
        envelope.sequence = ++sealed;
        envelope.payload = payload;
        codec.seal(envelope);
    };
    const double once = secondsOf([&] {
        const std::string payload = encode();
        for (int peer = 0; peer < peers; ++peer) {
            seal(payload);
        }
    });
    const double each = secondsOf([&] {
        for (int peer = 0; peer < peers; ++peer) {
            seal(encode());
        }
    });
    const std::string at = label(sizes) + "_to_20_peers";
    reporter.report("send_cpu_seconds" + at, once, "s", "papayastep");
    reporter.report("send_cpu_seconds" + at, each, "s", "encode-per-peer");
}

}

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::uint64_t seed = 1;
    std::string requestedCase;
    Sizes sizes;
    options::options_description optionsDescription("membership_measure: measures the costs of a configuration");
    optionsDescription.add_options()("help", "print this text")(
        "case", options::value(&requestedCase)->default_value("config-cost"), "config-cost")(
        "seed", options::value(&seed)->default_value(1), "of the generated keys")(
        "workspaces", options::value(&sizes.workspaces)->default_value(1000), "how many")(
        "routes", options::value(&sizes.routes)->default_value(1000), "how many")(
        "services", options::value(&sizes.services)->default_value(40), "how many")(
        "servers", options::value(&sizes.servers)->default_value(400), "backend servers, how many");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, optionsDescription), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0 || requestedCase != "config-cost") {
        std::cout << optionsDescription;
        return requestedCase == "config-cost" ? 0 : 2;
    }
    Reporter reporter(seed);
    measureBuild(sizes, seed, reporter);
    measurePatch(sizes, seed, reporter);
    measureEncodeOnce(sizes, seed, reporter);
    return 0;
}
