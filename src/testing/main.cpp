#include "papayastep/testing/backend.h"
#include "papayastep/testing/faultproxy.h"
#include "papayastep/testing/loadclient.h"
#include "papayastep/testing/platform.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <sodium.h>

#include <csignal>
#include <iostream>

/// `papayastep-standin platform|backend|proxy|load` runs one stand-in per process. A server prints "ready" once it
/// listens.
namespace {

namespace options = boost::program_options;
namespace asio = boost::asio;
using namespace papayastep::testing;

using Arguments = std::vector<std::string>;

options::variables_map parse(const Arguments &arguments, const options::options_description &known)
{
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(known).run(), values);
    options::notify(values);
    return values;
}

void runUntilSignal(asio::io_context &context)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    std::cout << "ready" << std::endl;
    context.run();
}

void runPlatform(const Arguments &arguments)
{
    options::options_description known;
    known.add_options()("port", options::value<std::uint16_t>()->required());
    known.add_options()("folder", options::value<std::string>()->required());
    known.add_options()("vms", options::value<std::string>()->required());
    const auto values = parse(arguments, known);
    asio::io_context context(1);
    const PlatformStandIn platform(context,
                                   values["port"].as<std::uint16_t>(),
                                   values["folder"].as<std::string>(),
                                   values["vms"].as<std::string>());
    runUntilSignal(context);
}

void runBackend(const Arguments &arguments)
{
    BackendSettings settings;
    options::options_description known;
    known.add_options()("port", options::value<std::vector<std::uint16_t>>()->required()->multitoken());
    known.add_options()("control", options::value<std::uint16_t>()->required());
    known.add_options()("slots", options::value(&settings.slots));
    known.add_options()("service-time-ms", options::value(&settings.serviceTimeMs));
    known.add_options()("sigma", options::value(&settings.sigma));
    known.add_options()("cold-seconds", options::value(&settings.coldSeconds));
    known.add_options()("seed", options::value(&settings.seed));
    const auto values = parse(arguments, known);
    asio::io_context context(1);
    const BackendFleet fleet(
        context, values["port"].as<std::vector<std::uint16_t>>(), values["control"].as<std::uint16_t>(), settings);
    runUntilSignal(context);
}

void runProxy(const Arguments &arguments)
{
    options::options_description known;
    known.add_options()("control", options::value<std::uint16_t>()->required());
    known.add_options()("link", options::value<std::vector<std::string>>()->required()->multitoken());
    const auto values = parse(arguments, known);
    asio::io_context context(1);
    const FaultProxy proxy(
        context, values["control"].as<std::uint16_t>(), values["link"].as<std::vector<std::string>>());
    runUntilSignal(context);
}

void runLoad(const Arguments &arguments)
{
    LoadSettings settings;
    options::options_description known;
    known.add_options()("plan", options::value(&settings.planFile)->required());
    known.add_options()("output", options::value(&settings.outputFile)->required());
    known.add_options()("target", options::value(&settings.targets)->required()->multitoken());
    known.add_options()("seconds", options::value(&settings.seconds));
    known.add_options()("connections", options::value(&settings.connections));
    known.add_options()("timeout", options::value(&settings.timeoutSeconds));
    known.add_options()("seed", options::value(&settings.seed));
    parse(arguments, known);
    asio::io_context context(1);
    LoadClient client(context, settings);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&client](boost::system::error_code error, int) {
        if (!error) {
            client.stop();
        }
    });
    client.onFinished([&signals] { signals.cancel(); });
    context.run();
    std::cout << client.summary().dump() << std::endl;
}

int run(const Arguments &arguments)
{
    const std::string command = arguments.empty() ? "" : arguments.front();
    const Arguments rest(arguments.begin() + (arguments.empty() ? 0 : 1), arguments.end());
    if (command == "platform") {
        runPlatform(rest);
    } else if (command == "backend") {
        runBackend(rest);
    } else if (command == "proxy") {
        runProxy(rest);
    } else if (command == "load") {
        runLoad(rest);
    } else {
        std::cerr << "usage: papayastep-standin platform|backend|proxy|load OPTIONS\n";
        return 2;
    }
    return 0;
}

}

int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (sodium_init() < 0) {
            throw std::runtime_error("cannot initialize libsodium");
        }
        return run(Arguments(argv + 1, argv + argc));
    } catch (const std::exception &error) {
        std::cerr << "papayastep-standin: " << error.what() << '\n';
        return 1;
    }
}
