#include "command.h"

#include "papayastep/config/diff.h"
#include "papayastep/config/folder.h"

#include <ostream>

namespace papayastep::ctl {

namespace {

class DiffCommand final : public Command
{
public:
    std::string name() const override
    {
        return "diff";
    }
    std::string summary() const override
    {
        return "Prints what turns the configuration of one folder into that of another, one entry a line.";
    }
    std::string usage() const override
    {
        return "FOLDER_A FOLDER_B";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("from", boost::program_options::value<std::string>(), "the old folder")(
            "to", boost::program_options::value<std::string>(), "the new folder");
        positions.add("from", 1);
        positions.add("to", 1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        const auto from = config::buildConfiguration(0, config::readFolder(required(values, "from")));
        const auto to = config::buildConfiguration(0, config::readFolder(required(values, "to")));
        for (const config::Change &change : config::diff(*from, *to)) {
            print(change, streams.out);
        }
        return exitOk;
    }

private:
    static void print(const config::Change &change, std::ostream &out)
    {
        const std::string place = change.section + " " + change.id;
        switch (change.kind) {
        case config::ChangeKind::Added:
            out << "added   " << place << ' ' << change.after << '\n';
            break;
        case config::ChangeKind::Removed:
            out << "removed " << place << ' ' << change.before << '\n';
            break;
        case config::ChangeKind::Changed:
            out << "changed " << place << ' ' << change.before << " -> " << change.after << '\n';
            break;
        }
    }
};

}

std::unique_ptr<Command> makeDiffCommand()
{
    return std::make_unique<DiffCommand>();
}

}
