#include "command.h"

#include "papayastep/config/check.h"
#include "papayastep/config/folder.h"

#include <ostream>

namespace papayastep::ctl {

namespace {

class CheckCommand final : public Command
{
public:
    std::string name() const override
    {
        return "check";
    }
    std::string summary() const override
    {
        return "Checks a configuration folder as the nodes do, and prints all that is wrong.";
    }
    std::string usage() const override
    {
        return "FOLDER | --schema";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("folder", boost::program_options::value<std::string>(), "folder of JSON files")(
            "schema", "print the JSON Schema of a file, for an editor");
        positions.add("folder", 1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        if (values.count("schema") != 0) {
            streams.out << config::schemaText();
            return exitOk;
        }
        const auto result = config::check(0, config::readFolder(required(values, "folder")));
        for (const base::Error &error : result.errors) {
            streams.err << error.what() << '\n';
        }
        for (const base::Error &warning : result.warnings) {
            streams.err << "warning in " << warning.location().file << " at " << warning.location().pointer << ": "
                        << warning.detail() << '\n';
        }
        if (!result.configuration) {
            streams.err << result.errors.size() << " errors\n";
            return exitFailed;
        }
        const config::Configuration &good = *result.configuration;
        streams.out << "good: " << good.workspaces().size() << " workspaces, " << good.services().size()
                    << " services, " << good.routes().size() << " routes, " << good.backendServers().size()
                    << " backend servers, " << result.warnings.size() << " warnings\n";
        return exitOk;
    }
};

}

std::unique_ptr<Command> makeCheckCommand()
{
    return std::make_unique<CheckCommand>();
}

}
