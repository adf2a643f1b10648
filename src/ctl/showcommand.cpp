#include "command.h"

#include "papayastep/config/diff.h"
#include "papayastep/config/folder.h"

namespace papayastep::ctl {

namespace {

class ShowCommand final : public Command
{
public:
    std::string name() const override
    {
        return "show";
    }
    std::string summary() const override
    {
        return "Prints the merged configuration of a folder as JSON, with all defaults filled in.";
    }
    std::string usage() const override
    {
        return "FOLDER [--output FILE]";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("folder", boost::program_options::value<std::string>(), "folder of JSON files")(
            "output", boost::program_options::value<std::string>(), "write to this new file instead");
        positions.add("folder", 1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        const auto configuration = config::buildConfiguration(0, config::readFolder(required(values, "folder")));
        writeOutput(values, config::toJson(*configuration), streams);
        return exitOk;
    }
};

}

std::unique_ptr<Command> makeShowCommand()
{
    return std::make_unique<ShowCommand>();
}

}
