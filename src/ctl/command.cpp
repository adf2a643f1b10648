#include "command.h"

#include "papayastep/base/error.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace papayastep::ctl {

namespace options = boost::program_options;
using base::Error;
using base::ResultCode;

int Command::run(const std::vector<std::string> &arguments, Streams &streams) const
{
    Options described("Options");
    Positions positions;
    described.add_options()("help", "print this text");
    describe(described, positions);
    Values values;
    try {
        options::store(options::command_line_parser(arguments).options(described).positional(positions).run(), values);
        options::notify(values);
    } catch (const options::error &error) {
        throw Error(ResultCode::CommandLine, error.what());
    }
    if (values.count("help") != 0) {
        streams.out << "papayastep " << name() << ' ' << usage() << "\n\n" << summary() << "\n\n" << described;
        return exitOk;
    }
    return execute(values, streams);
}

std::string Command::required(const Values &values, const char *name)
{
    if (values.count(name) == 0) {
        throw Error(ResultCode::CommandLine, std::string(name) + " is missing; see --help");
    }
    return values[name].as<std::string>();
}

std::string Command::optional(const Values &values, const char *name)
{
    return values.count(name) != 0 ? values[name].as<std::string>() : std::string();
}

void Command::writeOutput(const Values &values, const std::string &text, Streams &streams)
{
    const std::string path = optional(values, "output");
    if (path.empty()) {
        streams.out << text;
        return;
    }
    if (std::filesystem::exists(path)) {
        throw Error(ResultCode::CommandLine, path + " exists; nothing was written");
    }
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        throw Error(ResultCode::CommandLine, "cannot write " + path);
    }
}

CommandList allCommands()
{
    CommandList commands;
    commands.push_back(makeCheckCommand());
    commands.push_back(makeShowCommand());
    commands.push_back(makeDiffCommand());
    commands.push_back(makeExplainCommand());
    commands.push_back(makeKeyNewCommand());
    commands.push_back(makeKeyFingerprintCommand());
    commands.push_back(makeKeyWithdrawCommand());
    commands.push_back(makeStatusCommand());
    commands.push_back(makeDrainCommand());
    commands.push_back(makeTraceCommand());
    commands.push_back(makeSummaryCommand());
    return commands;
}

namespace {

void printHelp(const CommandList &commands, std::ostream &out)
{
    out << "papayastep COMMAND ...: looks at configuration folders and at running nodes. It changes nothing but the\n"
           "files named by --output.\n\n";
    for (const auto &command : commands) {
        out << "  papayastep " << command->name() << ' ' << command->usage() << "\n      " << command->summary()
            << '\n';
    }
    out << "\npapayastep COMMAND --help explains one; papayastep --version prints the version.\n"
           "Exit codes: 0 fine, 1 what was asked about is wrong, 2 the command line is wrong.\n";
}

/// Returns the arguments after the words of `name`, or nullopt if the arguments do not begin with these words.
const Command *choose(const CommandList &commands, std::vector<std::string> &arguments)
{
    for (const auto &command : commands) {
        const std::string name = command->name();
        const std::size_t space = name.find(' ');
        const bool isTwoWords = space != std::string::npos;
        const bool isFirst = !arguments.empty() && arguments[0] == name.substr(0, space);
        if (isFirst && (!isTwoWords || (arguments.size() > 1 && arguments[1] == name.substr(space + 1)))) {
            arguments.erase(arguments.begin(), arguments.begin() + (isTwoWords ? 2 : 1));
            return command.get();
        }
    }
    return nullptr;
}

}

int runProgram(const std::vector<std::string> &arguments, Streams &streams)
{
    const CommandList commands = allCommands();
    if (!arguments.empty() && arguments[0] == "--version") {
        streams.out << "papayastep " PAPAYASTEP_VERSION "\n";
        return exitOk;
    }
    if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "help")) {
        printHelp(commands, streams.out);
        return exitOk;
    }
    std::vector<std::string> rest = arguments;
    const Command *command = choose(commands, rest);
    if (!command) {
        printHelp(commands, streams.err);
        return exitUsage;
    }
    try {
        return command->run(rest, streams);
    } catch (const Error &error) {
        streams.err << error.what() << '\n';
        return error.code() == ResultCode::CommandLine ? exitUsage : exitFailed;
    }
}

}
