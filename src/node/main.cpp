// papayastepd, the program of one node of the fleet.

#include "adapter.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/base/logoutput.h"
#include "papayastep/net/eventloop.h"
#include "papayastep/net/task.h"
#include "papayastep/node/node.h"
#include "papayastep/node/processsignals.h"
#include "papayastep/routing/requestmachine.h"

#include <boost/program_options.hpp>
#include <sodium.h>

#include <csignal>
#include <iostream>
#include <unistd.h>

namespace {

// The initialisation of the libraries runs before main(), and a signal that arrives during it would terminate the
// process. Functions in .preinit_array are the only ones that run earlier.
[[gnu::section(".preinit_array"), gnu::used]] void (*const blockSignalsBeforeInitialisation)()
    = papayastep::node::blockSignals;

namespace options = boost::program_options;
using papayastep::base::Error;
using papayastep::base::ResultCode;

constexpr int exitBadInput = 2;
constexpr int exitFailure = 1;

struct CommandLine
{
    std::string settingsFile;
    papayastep::node::SettingsOverrides overrides;
    bool checkOnly = false;
    bool done = false; ///< Help or version was printed.
};

CommandLine parseCommandLine(int argc, char **argv)
{
    CommandLine line;
    auto &over = line.overrides;
    options::options_description description("papayastepd: one node of a papayastep proxy fleet");
    description.add_options()("help", "print this text")("version", "print the version")(
        "settings", options::value(&line.settingsFile), "settings file (JSON, docs/OPERATORS.md)")(
        "check-settings", options::bool_switch(&line.checkOnly), "check the settings and exit")(
        "vm", options::value(&over.vm), "name of this VM, overrides the settings file")(
        "zone", options::value(&over.zone), "availability zone, overrides the settings file")(
        "listen-caller", options::value(&over.caller), "address:port for callers")(
        "listen-hop", options::value(&over.hop), "address:port for hops of other nodes")(
        "listen-peer", options::value(&over.peer), "address:port for messages of other nodes")(
        "listen-admin", options::value(&over.admin), "address:port for operators")(
        "platform", options::value(&over.platform)->multitoken(), "address:port of the platform's service")(
        "secret-file", options::value(&over.secretFile), "file with the fleet secret (never the secret itself)");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        throw Error(ResultCode::CommandLine, error.what());
    }
    if (values.count("help") > 0) {
        std::cout << description;
        line.done = true;
    } else if (values.count("version") > 0) {
        std::cout << "papayastepd " PAPAYASTEP_VERSION "\n";
        line.done = true;
    } else if (line.settingsFile.empty()) {
        throw Error(ResultCode::CommandLine, "--settings FILE is required (see --help)");
    }
    return line;
}

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof(seed));
    return seed;
}

papayastep::node::Interfaces interfacesOf(papayastep::net::asio::io_context &io,
                                          const papayastep::base::Clock &clock,
                                          const papayastep::node::NodeSettings &settings)
{
    if (settings.interfaces == papayastep::node::InterfaceChoice::Platform) {
        return papayastep::platform::interfaces(io, clock, settings);
    }
    return papayastep::node::nativeInterfaces(io, clock, settings);
}

void handleSignal(papayastep::node::Node &node, papayastep::node::SignalRequest request, int signal)
{
    using papayastep::node::SignalRequest;
    switch (request) {
    case SignalRequest::Stop:
        node.requestStop();
        break;
    case SignalRequest::Reload:
        node.requestReload();
        break;
    case SignalRequest::Ignore:
        PAPAYASTEP_LOG(WARNING, "node") << "Ignored a signal." << papayastep::base::field("signal", signal);
        break;
    }
}

void run(const CommandLine &line)
{
    papayastep::net::EventLoop io;
    papayastep::node::ProcessSignals signals(io);
    const papayastep::base::SystemClock clock;
    papayastep::base::LogOutput log(STDOUT_FILENO, clock);
    log.install();
    papayastep::node::SettingsReloader settingsReloader(line.settingsFile, line.overrides);
    auto settings = settingsReloader.load();
    auto interfaces = interfacesOf(io, clock, settings);
    papayastep::node::Node node(
        io, clock, std::move(settingsReloader), std::move(settings), std::move(interfaces), log, randomSeed());
    signals.watch(
        [&node](papayastep::node::SignalRequest request, int signal) { handleSignal(node, request, signal); });
    papayastep::net::runLoop(io);
    // Answers that are still open use the node until their tasks are destroyed.
    io.destroyTasks();
}

}

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const CommandLine line = parseCommandLine(argc, argv);
        if (line.done) {
            return 0;
        }
        if (sodium_init() < 0) {
            throw Error(ResultCode::Internal, "libsodium failed to initialise");
        }
        if (line.checkOnly) {
            papayastep::node::readSettings(line.settingsFile, line.overrides);
            std::cout << "The settings are valid.\n";
            return 0;
        }
        papayastep::routing::requestChart();
        run(line);
        return 0;
    } catch (const Error &error) {
        std::cerr << "papayastepd: " << error.what() << "\n";
        const bool badInput = number(error.code()) < number(ResultCode::RequestMalformed);
        return badInput ? exitBadInput : exitFailure;
    } catch (const std::exception &error) {
        std::cerr << "papayastepd: " << error.what() << "\n";
        return exitFailure;
    }
}
