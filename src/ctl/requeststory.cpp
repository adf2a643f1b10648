#include "requeststory.h"

#include <algorithm>
#include <istream>
#include <regex>

namespace papayastep::ctl {

namespace {

/// Time in seconds before the first line of a request from which lines about the nodes' state are included, since that
/// state may have decided about the request: a server is held as gray for about two seconds, and a configuration is in
/// force on all nodes within two seconds.
constexpr int stateWindowSeconds = 3;
/// Time in seconds after the last line of a request in which a restart of its node is included. A node that was killed
/// is started again within some seconds.
constexpr int restartWindowSeconds = 10;

const std::regex &logLinePattern()
{
    static const std::regex pattern(
        R"(^(?:(.*?)\s+)?(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z) ([IWEF]) ([a-z][a-z-]*): (.*)$)");
    return pattern;
}

/// Returns whether the line reports state known to a node: it comes from one of these components and names no request.
bool reportsNodeState(const LogLine &line)
{
    static const std::set<std::string> parts{
        "config", "health", "limits", "log", "membership", "node", "platform", "serving"};
    return parts.contains(line.part) && !line.fields.contains("request");
}

/// Returns whether the line reports how a request ended for its caller. A summary line names requests that were
/// refused.
bool reportsEnd(const LogLine &line)
{
    static const std::set<std::string> ends{"Answered a request.",
                                            "Broke an answer off.",
                                            "Gave a request up.",
                                            "Refused a request.",
                                            "Refused more requests."};
    return line.part == "routing" && ends.contains(line.sentence);
}

/// Returns the time of day in seconds. For a request that runs across midnight, the lines about the nodes' state before
/// midnight are missing, and nothing else.
double secondsOfDay(const std::string &time)
{
    const auto number = [&time](std::size_t from, std::size_t length) { return std::stod(time.substr(from, length)); };
    return number(11, 2) * 3600 + number(14, 2) * 60 + number(17, 9);
}

std::string valueOf(const LogLine &line, const std::string &name)
{
    const auto found = line.fields.find(name);
    return found != line.fields.end() ? found->second : std::string();
}

/// Splits a text such as `Short sentence. a=1 b=two words` into the sentence and its fields.
void splitFields(const std::string &text, LogLine &line)
{
    static const std::regex field(R"((?:^|\s)([a-zA-Z]+)=)");
    std::string name;
    std::size_t valueFrom = 0;
    line.sentence = text;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), field); match != std::sregex_iterator(); ++match) {
        const auto at = static_cast<std::size_t>(match->position());
        if (name.empty()) {
            line.sentence = text.substr(0, at);
        } else {
            line.fields[name] = text.substr(valueFrom, at - valueFrom);
        }
        name = match->str(1);
        valueFrom = at + static_cast<std::size_t>(match->length());
    }
    if (!name.empty()) {
        line.fields[name] = text.substr(valueFrom);
    }
}

/// Returns whether the comma-separated `list` contains `id`. A summary line names many requests in one field.
bool listContains(const std::string &list, const std::string &id)
{
    return (',' + list + ',').find(',' + id + ',') != std::string::npos;
}

}

std::optional<LogLine> parseLogLine(std::string_view text, const std::string &fallbackNode)
{
    const std::string whole(text);
    std::smatch match;
    if (!std::regex_match(whole, match, logLinePattern())) {
        return std::nullopt;
    }
    LogLine line;
    const std::string before = match.str(1);
    line.node = before.empty() ? fallbackNode : before.substr(before.find_last_of(' ') + 1);
    line.time = match.str(2);
    line.severity = match.str(3).front();
    line.part = match.str(4);
    splitFields(match.str(5), line);
    return line;
}

RequestStory::RequestStory(std::string request)
    : m_names{std::move(request)}
{
}

void RequestStory::read(std::istream &log, const std::string &name)
{
    std::string text;
    while (std::getline(log, text)) {
        auto line = parseLogLine(text, name);
        if (!line) {
            ++m_foreign;
            continue;
        }
        if (names(*line) && line->fields.contains("hop")) {
            m_names.insert(line->fields["hop"]);
        }
        m_lines.push_back(std::move(*line));
    }
}

std::vector<LogLine> RequestStory::lines() const
{
    std::vector<LogLine> own;
    std::set<std::string> servers;
    std::set<std::string> nodes;
    std::set<std::string> entries; ///< Entry nodes of the request; only these requested tokens for its rate limit.
    for (const LogLine &line : m_lines) {
        if (names(line)) {
            own.push_back(line);
            servers.insert(valueOf(line, "server"));
            nodes.insert(line.node);
            if (line.part == "routing") {
                entries.insert(line.node);
            }
        }
    }
    servers.erase("");
    if (own.empty()) {
        return own;
    }
    const auto [first, last] = std::minmax_element(
        own.begin(), own.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    const double from = secondsOfDay(first->time) - stateWindowSeconds;
    const double to = secondsOfDay(last->time);
    const bool ended = hasEnd();
    std::vector<LogLine> story = own;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(story), [&](const LogLine &line) {
        const double at = secondsOfDay(line.time);
        const std::string server = valueOf(line, "server");
        const std::set<std::string> &where = line.part == "limits" ? entries : nodes;
        const bool concerns = where.contains(line.node) && (server.empty() || servers.contains(server));
        const double until = line.part == "node" && !ended ? to + restartWindowSeconds : to;
        return reportsNodeState(line) && concerns && at >= from && at <= until;
    });
    std::stable_sort(story.begin(), story.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    return story;
}

bool RequestStory::hasEnd() const
{
    return std::any_of(
        m_lines.begin(), m_lines.end(), [this](const LogLine &line) { return reportsEnd(line) && names(line); });
}

std::vector<NodeStart> RequestStory::starts() const
{
    std::vector<NodeStart> found;
    std::map<std::string, const LogLine *> before;
    for (const LogLine &line : m_lines) {
        const LogLine *&last = before[line.node];
        if (line.part == "node" && line.sentence == "Started." && last != nullptr) {
            found.push_back({line.node, last->time, line.time, last->part == "node" && last->sentence == "Stopped."});
        }
        last = &line;
    }
    std::sort(found.begin(), found.end(), [](const auto &a, const auto &b) { return a.startedAt < b.startedAt; });
    return found;
}

std::size_t RequestStory::foreign() const
{
    return m_foreign;
}

bool RequestStory::names(const LogLine &line) const
{
    const std::string listed = valueOf(line, "requests");
    return m_names.contains(valueOf(line, "request"))
        || std::any_of(m_names.begin(), m_names.end(), [&](const std::string &id) { return listContains(listed, id); });
}

}
