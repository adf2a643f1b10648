#include "logsummary.h"

#include <charconv>
#include <istream>

namespace papayastep::ctl {

namespace {

std::string valueOf(const LogLine &line, const std::string &name)
{
    const auto found = line.fields.find(name);
    return found != line.fields.end() ? found->second : std::string();
}

/// Returns the number in a field; 0 if the field is missing or holds something else.
std::uint64_t numberOf(const LogLine &line, const std::string &name)
{
    const std::string text = valueOf(line, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}

void LogSummary::read(std::istream &log, const std::string &name)
{
    std::string text;
    while (std::getline(log, text)) {
        const auto line = parseLogLine(text, name);
        if (!line) {
            ++m_foreign;
            continue;
        }
        ++m_lines;
        m_nodes.insert(line->node);
        count(*line);
    }
}

void LogSummary::count(const LogLine &line)
{
    if (line.sentence == "Answered a request.") {
        ++m_ends["status " + valueOf(line, "status")];
    } else if (line.sentence == "Refused a request.") {
        ++m_ends["code " + valueOf(line, "code") + ", " + valueOf(line, "outcome")];
    } else if (line.sentence == "Refused more requests.") {
        m_ends["code " + valueOf(line, "code") + ", not-run"] += numberOf(line, "count");
    } else if (line.sentence == "Decided after an attempt.") {
        ++m_decisions[valueOf(line, "event") + ", " + valueOf(line, "action") + ": " + valueOf(line, "reason")];
    } else if (line.sentence == "Placed an attempt.") {
        ++m_placements[valueOf(line, "asked") + " asked, " + valueOf(line, "reason")];
    } else if (line.sentence == "Started an attempt.") {
        ++m_waits[numberOf(line, "waitedMs")];
    } else if (line.sentence == "A backend server failed.") {
        ++m_failures[valueOf(line, "how")];
    } else if (line.sentence == "Refused an attempt.") {
        ++m_refusedAttempts["code " + valueOf(line, "code")];
    } else if (line.sentence == "Held back a backend server.") {
        ++m_holds[valueOf(line, "evidence")];
    } else if (line.sentence == "Activated a configuration.") {
        RevisionSpread &spread = m_revisions[numberOf(line, "revision")];
        spread.firstAt = spread.firstAt.empty() ? line.time : std::min(spread.firstAt, line.time);
        spread.lastAt = std::max(spread.lastAt, line.time);
        spread.nodes.insert(line.node);
    }
}

const LogSummary::Counts &LogSummary::ends() const
{
    return m_ends;
}

const LogSummary::Counts &LogSummary::decisions() const
{
    return m_decisions;
}

const LogSummary::Counts &LogSummary::placements() const
{
    return m_placements;
}

const LogSummary::Counts &LogSummary::failures() const
{
    return m_failures;
}

const LogSummary::Counts &LogSummary::refusedAttempts() const
{
    return m_refusedAttempts;
}

const LogSummary::Counts &LogSummary::holds() const
{
    return m_holds;
}

const std::map<std::uint64_t, RevisionSpread> &LogSummary::revisions() const
{
    return m_revisions;
}

std::uint64_t LogSummary::waitQuantile(double fraction) const
{
    std::uint64_t attempts = 0;
    for (const auto &[wait, count] : m_waits) {
        attempts += count;
    }
    std::uint64_t upTo = 0;
    for (const auto &[wait, count] : m_waits) {
        upTo += count;
        if (static_cast<double>(upTo) >= fraction * static_cast<double>(attempts)) {
            return wait;
        }
    }
    return 0;
}

std::size_t LogSummary::nodes() const
{
    return m_nodes.size();
}

std::uint64_t LogSummary::lines() const
{
    return m_lines;
}

std::uint64_t LogSummary::foreign() const
{
    return m_foreign;
}

}
