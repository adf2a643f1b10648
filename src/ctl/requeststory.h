#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayastep::ctl {

/// One parsed line of a node's log, in the format that base::LogOutput writes.
struct LogLine
{
    std::string time; ///< Timestamp as RFC 3339 in UTC, so that lines sort by it as text.
    std::string node; ///< Node that wrote the line: the text before the timestamp, or the name of the file.
    char severity = 'I';
    std::string part; ///< Log prefix of the component that wrote the line, such as `routing`.
    std::string sentence;
    std::map<std::string, std::string> fields;

    auto operator<=>(const LogLine &) const = default;
};

/// Parses one log line. The last word that a log collector puts before the timestamp is taken as the node's name, and
/// `fallbackNode` if there is none. Returns nullopt for a line that is truncated or was written by another program.
std::optional<LogLine> parseLogLine(std::string_view text, const std::string &fallbackNode);

/// A restart of a node, with the end of its previous run.
struct NodeStart
{
    std::string node;
    std::string lastLineAt; ///< Timestamp of the last line of the previous run.
    std::string startedAt;
    bool planned = false; ///< The last line of the previous run reports a planned stop.

    auto operator<=>(const NodeStart &) const = default;
};

/// Collects the log lines of several nodes that concern one request.
class RequestStory
{
public:
    explicit RequestStory(std::string request);

    /// Adds the lines of one log. `name` is the node's name for lines that do not contain one.
    void read(std::istream &log, const std::string &name);

    /// Returns the lines that name the request, and the lines that report the state known to the nodes on its path
    /// shortly before or while it ran: of the servers that it was sent to, the configuration and the directory. The
    /// lines are in order of time.
    std::vector<LogLine> lines() const;

    /// Returns whether a line reports how the request ended for its caller. If none does, lines() also contains the
    /// stops and starts of its nodes shortly afterwards.
    bool hasEnd() const;

    /// Returns the restarts of nodes in order of time. A request that no line names may have been sent while its node
    /// was not running.
    std::vector<NodeStart> starts() const;

    /// Returns the number of lines that are not log lines of a node.
    std::size_t foreign() const;

private:
    bool names(const LogLine &line) const;

    std::set<std::string> m_names; ///< The request's id, and the ids that nodes use for it between each other.
    std::vector<LogLine> m_lines;
    std::size_t m_foreign = 0;
};

}
