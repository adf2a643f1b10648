#pragma once

#include "requeststory.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace papayastep::ctl {

/// The activations of one configuration revision.
struct RevisionSpread
{
    std::string firstAt; ///< Time of the first activation, as in the logs.
    std::string lastAt;
    std::set<std::string> nodes;

    auto operator<=>(const RevisionSpread &) const = default;
};

/// Counts what the logs of many nodes report about requests, attempts and servers. Unlike RequestStory it keeps no
/// lines, so that the logs of hundreds of nodes can be read in one go.
class LogSummary
{
public:
    /// Counts of log lines by the value of one or more of their fields.
    using Counts = std::map<std::string, std::uint64_t>;

    /// Adds the lines of one log. `name` is the node's name for lines that do not contain one.
    void read(std::istream &log, const std::string &name);

    /// Answers and refusals that callers received, by status, or by code and outcome.
    const Counts &ends() const;
    /// Decisions after attempts, by event, action and reason.
    const Counts &decisions() const;
    /// Placements by the number of nodes that were asked for a slot.
    const Counts &placements() const;
    /// Failures of backend servers by kind.
    const Counts &failures() const;
    /// Attempts that serving nodes refused, by code.
    const Counts &refusedAttempts() const;
    /// Holds of backend servers by evidence.
    const Counts &holds() const;
    /// Activated configurations by revision.
    const std::map<std::uint64_t, RevisionSpread> &revisions() const;

    /// Returns the wait for a slot in milliseconds that the given fraction (0 to 1) of the attempts did not exceed; 0
    /// without attempts.
    std::uint64_t waitQuantile(double fraction) const;

    std::size_t nodes() const;
    std::uint64_t lines() const;
    /// Number of lines that are not log lines of a node.
    std::uint64_t foreign() const;

private:
    void count(const LogLine &line);

    Counts m_ends;
    Counts m_decisions;
    Counts m_placements;
    Counts m_failures;
    Counts m_refusedAttempts;
    Counts m_holds;
    std::map<std::uint64_t, RevisionSpread> m_revisions;
    std::map<std::uint64_t, std::uint64_t> m_waits; ///< Attempts by their wait in milliseconds.
    std::set<std::string> m_nodes;
    std::uint64_t m_lines = 0;
    std::uint64_t m_foreign = 0;
};

}
