#include "command.h"
#include "requeststory.h"

#include "papayastep/base/error.h"

#include <filesystem>
#include <fstream>
#include <ostream>

namespace papayastep::ctl {

namespace {

using base::ResultCode;
using boost::program_options::value;
using Files = std::vector<std::string>;

/// Maximum length in characters of a printed field value. The field of a summary line may name forty requests.
constexpr std::size_t maxValueLength = 80;

std::string shortened(const std::string &text)
{
    return text.size() <= maxValueLength ? text : text.substr(0, maxValueLength) + "...";
}

class TraceCommand final : public Command
{
public:
    std::string name() const override
    {
        return "trace";
    }
    std::string summary() const override
    {
        return "Tells one request's story from the logs of several nodes, with what each node believed.";
    }
    std::string usage() const override
    {
        return "REQUEST LOG...";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("request", value<std::string>(), "the request's id, as its caller or a log names it")(
            "log", value<Files>(), "log files of nodes; - reads standard input");
        positions.add("request", 1).add("log", -1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        RequestStory story(required(values, "request"));
        if (values.count("log") == 0) {
            throw base::Error(ResultCode::CommandLine, "no log file is given; see --help");
        }
        for (const std::string &file : values["log"].as<Files>()) {
            read(story, file, streams);
        }
        const auto lines = story.lines();
        for (const LogLine &line : lines) {
            print(line, streams.out);
        }
        if (!lines.empty() && !story.hasEnd()) {
            streams.out
                << "No line tells how it ended: its node ended first, its line was dropped, or a log is missing.\n";
        }
        if (story.foreign() > 0) {
            streams.err << story.foreign() << " lines were passed over: cut, or of another program.\n";
        }
        if (lines.empty()) {
            streams.err << "No line names this request: it reached none of these nodes, or its lines were dropped.\n";
            printStarts(story.starts(), streams.out);
            return exitFailed;
        }
        return exitOk;
    }

private:
    static void read(RequestStory &story, const std::string &file, Streams &streams)
    {
        if (file == "-") {
            story.read(streams.in, "stdin");
            return;
        }
        std::ifstream log(file, std::ios::binary);
        if (!log) {
            throw base::Error(ResultCode::CommandLine, "cannot read " + file);
        }
        story.read(log, std::filesystem::path(file).stem().string());
    }

    static void printStarts(const std::vector<NodeStart> &starts, std::ostream &out)
    {
        for (const NodeStart &start : starts) {
            out << start.node << " was not running between " << start.lastLineAt << " and " << start.startedAt
                << (start.planned ? ", after a planned stop.\n" : "; it ended without a planned stop.\n");
        }
    }

    static void print(const LogLine &line, std::ostream &out)
    {
        const bool reportsState = !line.fields.contains("request") && !line.fields.contains("requests");
        out << line.time << ' ' << line.node << (reportsState ? "   (believed) " : " ") << line.part << ": "
            << line.sentence;
        for (const auto &[name, text] : line.fields) {
            out << ' ' << name << '=' << shortened(text);
        }
        out << '\n';
    }
};

}

std::unique_ptr<Command> makeTraceCommand()
{
    return std::make_unique<TraceCommand>();
}

}
