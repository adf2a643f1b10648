#include "command.h"
#include "logsummary.h"

#include "papayastep/base/error.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ostream>

namespace papayastep::ctl {

namespace {

using base::ResultCode;
using boost::program_options::value;
using Files = std::vector<std::string>;

/// Number of rows that are printed of one kind of count.
constexpr std::size_t maxRows = 20;

class SummaryCommand final : public Command
{
public:
    std::string name() const override
    {
        return "summary";
    }
    std::string summary() const override
    {
        return "Counts how requests ended and why, from the logs of any number of nodes.";
    }
    std::string usage() const override
    {
        return "LOG...";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("log", value<Files>(), "log files of nodes; - reads standard input");
        positions.add("log", -1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        if (values.count("log") == 0) {
            throw base::Error(ResultCode::CommandLine, "no log file is given; see --help");
        }
        LogSummary logs;
        for (const std::string &file : values["log"].as<Files>()) {
            read(logs, file, streams);
        }
        print(logs, streams.out);
        if (logs.foreign() > 0) {
            streams.err << logs.foreign() << " lines were passed over: cut, or of another program.\n";
        }
        return logs.lines() > 0 ? exitOk : exitFailed;
    }

private:
    static void read(LogSummary &logs, const std::string &file, Streams &streams)
    {
        if (file == "-") {
            logs.read(streams.in, "stdin");
            return;
        }
        std::ifstream log(file, std::ios::binary);
        if (!log) {
            throw base::Error(ResultCode::CommandLine, "cannot read " + file);
        }
        logs.read(log, std::filesystem::path(file).stem().string());
    }

    static void print(const LogSummary &logs, std::ostream &out)
    {
        out << logs.lines() << " lines of " << logs.nodes() << " nodes\n";
        print("Ends of requests", logs.ends(), out);
        print("Placements", logs.placements(), out);
        print("Decisions after attempts", logs.decisions(), out);
        print("Attempts refused by serving nodes", logs.refusedAttempts(), out);
        print("Failures of backend servers", logs.failures(), out);
        print("Holds of backend servers", logs.holds(), out);
        out << "Wait for a slot in ms: half up to " << logs.waitQuantile(0.5) << ", 90 % up to "
            << logs.waitQuantile(0.9) << ", 99 % up to " << logs.waitQuantile(0.99) << '\n';
        for (const auto &[revision, spread] : logs.revisions()) {
            out << "Revision " << revision << " active on " << spread.nodes.size() << " nodes from " << spread.firstAt
                << " to " << spread.lastAt << '\n';
        }
    }

    /// Prints the largest counts.
    static void print(const std::string &title, const LogSummary::Counts &counts, std::ostream &out)
    {
        std::vector<std::pair<std::uint64_t, std::string>> rows;
        for (const auto &[text, count] : counts) {
            rows.emplace_back(count, text);
        }
        std::sort(rows.rbegin(), rows.rend());
        out << title << '\n';
        for (std::size_t row = 0; row < std::min(rows.size(), maxRows); ++row) {
            out << "  " << rows[row].first << "  " << rows[row].second << '\n';
        }
        if (rows.size() > maxRows) {
            out << "  " << rows.size() - maxRows << " kinds more\n";
        }
    }
};

}

std::unique_ptr<Command> makeSummaryCommand()
{
    return std::make_unique<SummaryCommand>();
}

}
