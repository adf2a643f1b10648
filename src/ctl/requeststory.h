#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayastep::ctl {

/// One line of a node's log, as base::LogOutput writes it.
struct LogLine
{
    std::string time; ///< RFC 3339 in UTC, so that lines sort by it.
    std::string node; ///< Which node wrote it: what stood before the time, or the file's name.
    char severity = 'I';
    std::string part; ///< The prefix of the part that wrote it, such as `routing`.
    std::string sentence;
    std::map<std::string, std::string> fields;

    auto operator<=>(const LogLine &) const = default;
};

/// Reads one line. Whatever a collector puts before the time is kept as the node's name; nothing for a line that is cut
/// or was written by another program.
std::optional<LogLine> parseLogLine(std::string_view text, const std::string &fallbackNode);

/// A start of a node that had run before.
struct NodeStart
{
    std::string node;
    std::string lastLineAt; ///< Of the run before.
    std::string startedAt;
    bool planned = false; ///< The run before ended with its line of a planned stop.

    auto operator<=>(const NodeStart &) const = default;
};

/// What the logs of several nodes tell of one request.
class RequestStory
{
public:
    explicit RequestStory(std::string request);

    /// Adds the lines of one node's log.
    void read(std::istream &log, const std::string &name);

    /// The lines that name the request, and those that say what the nodes on its way believed shortly before or while
    /// it ran: about the servers it met, the configuration and the directory. In order of time.
    std::vector<LogLine> lines() const;

    /// Whether a line tells how the request ended for its caller. If not, lines() also holds the stops and starts of
    /// its nodes shortly after.
    bool hasEnd() const;

    /// When nodes were not running, in order of time: a request that no line names may have reached none.
    std::vector<NodeStart> starts() const;

    /// Lines that were no log lines of a node.
    std::size_t foreign() const;

private:
    bool names(const LogLine &line) const;

    std::set<std::string> m_names; ///< The request's id, and the one that nodes use among themselves.
    std::vector<LogLine> m_lines;
    std::size_t m_foreign = 0;
};

}
