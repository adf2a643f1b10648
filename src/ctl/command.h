#pragma once

#include <boost/program_options.hpp>

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

/// The subcommands of `papayastep`. Each reads its own arguments, does one thing and returns an exit code.
namespace papayastep::ctl {

// What the program returns to the shell. Documented in docs/OPERATORS.md; scripts rely on it.
constexpr int exitOk = 0;
constexpr int exitFailed = 1; ///< What was asked about is wrong: an invalid folder, a node that does not answer.
constexpr int exitUsage = 2; ///< The command line can't be understood.

/// Standard streams, passed in so that tests can read them.
struct Streams
{
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// One subcommand.
class Command
{
public:
    virtual ~Command() = default;

    /// The word or words that choose it, such as "key new".
    virtual std::string name() const = 0;
    virtual std::string summary() const = 0;
    /// The arguments after the name, as shown in help.
    virtual std::string usage() const = 0;

    /// Parses `arguments` and runs. Throws base::Error.
    int run(const std::vector<std::string> &arguments, Streams &streams) const;

protected:
    using Options = boost::program_options::options_description;
    using Positions = boost::program_options::positional_options_description;
    using Values = boost::program_options::variables_map;

    virtual void describe(Options &options, Positions &positions) const = 0;
    virtual int execute(const Values &values, Streams &streams) const = 0;

    /// The value of a required argument. Throws Error(CommandLine) where it is missing.
    static std::string required(const Values &values, const char *name);
    /// The value of an optional argument, or an empty string.
    static std::string optional(const Values &values, const char *name);
    /// Writes `text` to the file that --output names, or to standard output. Never overwrites a file.
    static void writeOutput(const Values &values, const std::string &text, Streams &streams);
};

using CommandList = std::vector<std::unique_ptr<Command>>;

/// All subcommands, in the order of the help.
CommandList allCommands();

/// Chooses the subcommand, runs it, and turns errors into a line on standard error and an exit code.
int runProgram(const std::vector<std::string> &arguments, Streams &streams);

// One function for each source file.
std::unique_ptr<Command> makeCheckCommand();
std::unique_ptr<Command> makeShowCommand();
std::unique_ptr<Command> makeDiffCommand();
std::unique_ptr<Command> makeExplainCommand();
std::unique_ptr<Command> makeKeyNewCommand();
std::unique_ptr<Command> makeKeyFingerprintCommand();
std::unique_ptr<Command> makeKeyWithdrawCommand();
std::unique_ptr<Command> makeStatusCommand();
std::unique_ptr<Command> makeDrainCommand();
std::unique_ptr<Command> makeTraceCommand();

}
