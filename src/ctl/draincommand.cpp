#include "command.h"

#include <nlohmann/json.hpp>

namespace papayastep::ctl {

namespace {

using boost::program_options::value;
using nlohmann::ordered_json;

class DrainCommand final : public Command
{
public:
    std::string name() const override
    {
        return "drain";
    }
    std::string summary() const override
    {
        return "Prints the file that keeps new work from a backend server. Remove the file to bring the server back.";
    }
    std::string usage() const override
    {
        return "SERVER [--output FILE]";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("server", value<std::string>(), "id of a backend server that an earlier file defines")(
            "output", value<std::string>(), "write to this new file instead, such as FOLDER/90-drain-SERVER.json");
        positions.add("server", 1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        const ordered_json entry{{"id", required(values, "server")}, {"override", true}, {"drain", true}};
        const ordered_json file{{"backendServers", ordered_json::array({entry})}};
        writeOutput(values, file.dump(4) + '\n', streams);
        return exitOk;
    }
};

}

std::unique_ptr<Command> makeDrainCommand()
{
    return std::make_unique<DrainCommand>();
}

}
