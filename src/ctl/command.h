#pragma once

#include <boost/program_options.hpp>

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

/// The subcommands of `papayastep`. Each one parses its own arguments, performs one action and returns an exit code.
namespace papayastep::ctl {

// Exit codes of the program. They are documented in docs/OPERATORS.md, and scripts rely on them.
constexpr int exitOk = 0;
constexpr int exitFailed = 1; ///< The command found a fault, such as an invalid folder or a node that does not answer.
constexpr int exitUsage = 2; ///< The command line is invalid.

/// Standard streams, passed in so that tests can read them.
struct Streams
{
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// Base class of the subcommands. A subclass declares its options and implements execute().
class Command
{
public:
    virtual ~Command() = default;

    /// The word or words on the command line that select the subcommand, such as "key new".
    virtual std::string name() const = 0;
    virtual std::string summary() const = 0;
    /// The arguments after the name, as shown in help.
    virtual std::string usage() const = 0;

    /// Parses `arguments`, runs the subcommand and returns its exit code. Throws base::Error.
    int run(const std::vector<std::string> &arguments, Streams &streams) const;

protected:
    using Options = boost::program_options::options_description;
    using Positions = boost::program_options::positional_options_description;
    using Values = boost::program_options::variables_map;

    virtual void describe(Options &options, Positions &positions) const = 0;
    virtual int execute(const Values &values, Streams &streams) const = 0;

    /// Returns the value of a required argument. Throws Error(CommandLine) if it is missing.
    static std::string required(const Values &values, const char *name);
    /// Returns the value of an optional argument, or an empty string if it is missing.
    static std::string optional(const Values &values, const char *name);
    /// Writes `text` to the file given with --output, or to standard output without that option. An existing file is
    /// never overwritten.
    static void writeOutput(const Values &values, const std::string &text, Streams &streams);
};

using CommandList = std::vector<std::unique_ptr<Command>>;

/// Returns all subcommands in the order in which the help lists them.
CommandList allCommands();

/// Selects and runs the subcommand. Errors are printed as one line on standard error and returned as an exit code.
int runProgram(const std::vector<std::string> &arguments, Streams &streams);

// Factory functions of the subcommands, each defined in the source file of its subcommand.
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
std::unique_ptr<Command> makeSummaryCommand();

}
