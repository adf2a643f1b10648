#include "command.h"
#include "httpget.h"
#include "table.h"

#include "papayastep/base/error.h"
#include "papayastep/config/duration.h"
#include "papayastep/config/folder.h"
#include "papayastep/routing/routetable.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace papayastep::ctl {

namespace {

using boost::program_options::value;

class ExplainCommand final : public Command
{
public:
    std::string name() const override
    {
        return "explain";
    }
    std::string summary() const override
    {
        return "Tells which route a request takes and which backend servers may get it; from a folder, or from a live "
               "node.";
    }
    std::string usage() const override
    {
        return "FOLDER METHOD PATH [--host HOST] [--key-fingerprint HEX] | --node ADDRESS:PORT METHOD PATH";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("host", value<std::string>()->default_value(""), "Host header of the request")(
            "key-fingerprint", value<std::string>(), "also tell whose key this is")(
            "node", value<std::string>(), "ask the node with this admin address instead of reading a folder")(
            "words", value<std::vector<std::string>>(), "folder, method and path");
        positions.add("words", -1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        const auto words
            = values.count("words") != 0 ? values["words"].as<std::vector<std::string>>() : std::vector<std::string>();
        const bool isLive = values.count("node") != 0;
        if (words.size() != (isLive ? 2U : 3U)) {
            throw base::Error(base::ResultCode::CommandLine, "use: papayastep explain " + usage());
        }
        if (isLive) {
            return explainLive(values, words[0], words[1], streams);
        }
        return explainFolder(values, words[0], words[1], words[2], streams);
    }

private:
    static int explainLive(const Values &values, const std::string &method, const std::string &path, Streams &streams)
    {
        const std::string target = "/explain?method=" + percentEncode(method) + "&path=" + percentEncode(path)
            + "&host=" + percentEncode(required(values, "host"));
        streams.out << httpGet(required(values, "node"), target);
        return exitOk;
    }

    static int explainFolder(const Values &values,
                             const std::string &folder,
                             const std::string &method,
                             const std::string &path,
                             Streams &streams)
    {
        const auto configuration = config::buildConfiguration(0, config::readFolder(folder));
        const bool keyIsGood = explainKey(values, *configuration, streams);
        const routing::RouteTable routes(configuration);
        const auto match = routes.match(required(values, "host"), method, path);
        if (!match) {
            streams.out << "no route: the answer is error " << number(base::ResultCode::RouteUnknown) << '\n';
            return exitFailed;
        }
        explainRoute(*match, streams);
        explainServers(*configuration, match->route->service, streams);
        return keyIsGood ? exitOk : exitFailed;
    }

    static bool explainKey(const Values &values, const config::Configuration &configuration, Streams &streams)
    {
        const std::string text = optional(values, "key-fingerprint");
        if (text.empty()) {
            return true;
        }
        const config::Workspace *workspace = configuration.workspaceOfKey(config::KeyFingerprint::parse(text));
        if (!workspace) {
            streams.out << "key: unknown or withdrawn: the answer is error " << number(base::ResultCode::KeyUnknown)
                        << '\n';
            return false;
        }
        streams.out << "key: workspace " << workspace->id << ", rate " << workspace->rate << " a second, burst "
                    << workspace->burst << '\n';
        return true;
    }

    static void explainRoute(const routing::RouteMatch &match, Streams &streams)
    {
        const config::Route &route = *match.route;
        streams.out << "route: " << route.id << ", path prefix " << route.pathPrefix << ", service " << route.service
                    << ", deadline " << config::formatDuration(route.deadline)
                    << (match.idempotent ? ", idempotent: may be retried" : ", not idempotent: runs at most once")
                    << (route.stream ? ", answers are streamed" : "") << '\n';
    }

    static void explainServers(const config::Configuration &configuration,
                               const base::ServiceId &service,
                               Streams &streams)
    {
        Table table({"SERVER", "VM", "ZONE", "ADDRESS", "SLOTS", "GETS WORK"});
        for (const config::BackendServer *server : configuration.serversOf(service)) {
            table.addRow({server->id.value(),
                          server->vm.value(),
                          server->zone.value(),
                          server->address + ":" + std::to_string(server->port),
                          std::to_string(server->slots),
                          server->drain ? "no, drained" : "yes"});
        }
        table.print(streams.out);
    }
};

}

std::unique_ptr<Command> makeExplainCommand()
{
    return std::make_unique<ExplainCommand>();
}

}
