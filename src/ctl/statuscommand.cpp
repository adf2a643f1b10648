#include "command.h"
#include "httpget.h"
#include "table.h"

#include "papayastep/base/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace papayastep::ctl {

namespace {

using boost::program_options::value;
using nlohmann::json;

/// The response of one node, or the reason why there is none.
struct NodeStatus
{
    std::string node;
    json status;
    std::string problem;
};

std::string textOf(const json &status, const char *field)
{
    const auto found = status.find(field);
    if (found == status.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string oneDecimal(double number)
{
    std::ostringstream text;
    text.precision(1);
    text << std::fixed << number;
    return text.str();
}

/// Returns the age of the node's last information about the newest revision.
std::string revisionInfoAge(const json &status)
{
    const auto found = status.find("newsAgeMs");
    return found != status.end() ? oneDecimal(found->get<double>() / 1000) + " s" : "unknown";
}

std::string evacuatedZones(const json &status)
{
    std::string zones;
    for (const json &zone : status.value("evacuatedZones", json::array())) {
        zones += (zones.empty() ? "" : ", ") + zone.get<std::string>();
    }
    return zones.empty() ? "-" : zones;
}

/// Returns the backend servers beside the node that name a limit or announce their end.
std::string announcements(const json &status)
{
    std::string text;
    for (const json &server : status.value("localServers", json::array())) {
        std::string announced;
        if (server.contains("limitPerSecond")) {
            announced += " at most " + oneDecimal(server["limitPerSecond"].get<double>()) + "/s";
        }
        if (server.value("leaving", false)) {
            announced += " leaving";
        }
        if (!announced.empty()) {
            text += (text.empty() ? "" : ", ") + server.value("id", "") + announced;
        }
    }
    return text.empty() ? "-" : text;
}

std::string usableServers(const json &status)
{
    const json servers = status.value("servers", json::array());
    const auto usable = std::count_if(servers.begin(), servers.end(), [](const json &server) {
        return server.value("availability", "") == "usable";
    });
    return std::to_string(usable) + "/" + std::to_string(servers.size());
}

class StatusCommand final : public Command
{
public:
    std::string name() const override
    {
        return "status";
    }
    std::string summary() const override
    {
        return "Asks nodes for their state. Exit code 1 if one does not answer.";
    }
    std::string usage() const override
    {
        return "--node ADDRESS:PORT... | --platform ADDRESS:PORT [--workspace ID] [--json]";
    }

protected:
    void describe(Options &options, Positions &) const override
    {
        options.add_options()(
            "node", value<std::vector<std::string>>()->multitoken(), "admin addresses of the nodes to ask")(
            "platform", value<std::string>(), "ask all nodes that the platform at this address lists")(
            "workspace", value<std::string>(), "show the shares of this workspace's rate instead")(
            "json", "print the nodes' answers as one JSON object by address");
    }

    int execute(const Values &values, Streams &streams) const override
    {
        std::vector<NodeStatus> answers;
        for (const std::string &node : nodesOf(values)) {
            answers.push_back(ask(node, optional(values, "workspace")));
        }
        if (values.count("json") != 0) {
            printJson(answers, streams.out);
        } else if (values.count("workspace") != 0) {
            printShares(answers, streams.out);
        } else {
            printNodes(answers, streams.out);
        }
        const bool allAnswered
            = std::all_of(answers.begin(), answers.end(), [](const auto &answer) { return answer.problem.empty(); });
        return allAnswered ? exitOk : exitFailed;
    }

private:
    static std::vector<std::string> nodesOf(const Values &values)
    {
        std::vector<std::string> nodes;
        if (values.count("node") != 0) {
            nodes = values["node"].as<std::vector<std::string>>();
        }
        if (values.count("platform") != 0) {
            const json list = json::parse(httpGet(required(values, "platform"), "/v1/vms"), nullptr, false);
            if (!list.is_object()) {
                throw base::Error(base::ResultCode::PlatformAnswerInvalid, "the list of VMs is not JSON");
            }
            for (const json &vm : list.value("vms", json::array())) {
                nodes.push_back(vm.value("address", "") + ":" + std::to_string(vm.value("adminPort", 0)));
            }
        }
        if (nodes.empty()) {
            throw base::Error(base::ResultCode::CommandLine, "name nodes with --node, or --platform; see --help");
        }
        return nodes;
    }

    static NodeStatus ask(const std::string &node, const std::string &workspace)
    {
        NodeStatus answer{node, json::object(), {}};
        try {
            const std::string query = workspace.empty() ? "" : "?workspace=" + percentEncode(workspace);
            answer.status = json::parse(httpGet(node, "/status" + query));
        } catch (const json::exception &error) {
            answer.problem = error.what();
        } catch (const base::Error &error) {
            if (error.code() == base::ResultCode::CommandLine) {
                throw;
            }
            answer.problem = error.detail();
        }
        return answer;
    }

    static void printJson(const std::vector<NodeStatus> &answers, std::ostream &out)
    {
        json all = json::object();
        for (const NodeStatus &answer : answers) {
            all[answer.node] = answer.problem.empty() ? answer.status : json{{"error", answer.problem}};
        }
        out << all.dump(2) << '\n';
    }

    static void printNodes(const std::vector<NodeStatus> &answers, std::ostream &out)
    {
        Table table({"NODE",
                     "VM",
                     "ZONE",
                     "STATE",
                     "REVISION",
                     "NEWS AGE",
                     "OPEN",
                     "SERVING",
                     "QUEUED",
                     "USABLE SERVERS",
                     "EVACUATED ZONES",
                     "ANNOUNCED"});
        for (const auto &[node, status, problem] : answers) {
            if (!problem.empty()) {
                table.addRow({node, "no answer: " + problem});
                continue;
            }
            table.addRow({node,
                          textOf(status, "vm"),
                          textOf(status, "zone"),
                          textOf(status, "state"),
                          textOf(status, "revision"),
                          revisionInfoAge(status),
                          textOf(status, "open"),
                          textOf(status, "serving"),
                          textOf(status, "queued"),
                          usableServers(status),
                          evacuatedZones(status),
                          announcements(status)});
        }
        table.print(out);
    }

    static void printShares(const std::vector<NodeStatus> &answers, std::ostream &out)
    {
        Table table({"NODE", "VM", "ENTRY TOKENS", "DEMAND", "ZONE", "HOLDER", "LEVEL", "OUTSTANDING", "BORROWED"});
        for (const auto &[node, status, problem] : answers) {
            if (!problem.empty()) {
                table.addRow({node, "no answer: " + problem});
                continue;
            }
            const json workspace = status.value("workspace", json::object());
            for (const json &share : workspace.value("shares", json::array())) {
                table.addRow({node,
                              textOf(status, "vm"),
                              textOf(workspace, "entryTokens"),
                              textOf(workspace, "demand"),
                              textOf(share, "zone"),
                              textOf(share, "holder"),
                              textOf(share, "level"),
                              textOf(share, "outstanding"),
                              textOf(share, "borrowed")});
            }
        }
        table.print(out);
    }
};

}

std::unique_ptr<Command> makeStatusCommand()
{
    return std::make_unique<StatusCommand>();
}

}
