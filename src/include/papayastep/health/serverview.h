#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Results of the health decisions: views for placement, events for logs, counters for metrics.
namespace papayastep::health {

/// Whether a backend server may be given work.
enum class Availability {
    Usable,
    Trial, ///< Only a few requests according to the weight, preferably such that can be retried.
    Ejected,
    Draining,
    Gone, ///< Its VM is leaving, or it is not configured.
};

/// State of the network path from this VM to the VM of a backend server.
enum class PathState {
    Good,
    Trial, ///< It was broken, and the next hop tests it.
    Broken,
};

/// This node's estimate of the state of one backend server.
struct ServerView
{
    Availability availability = Availability::Usable;
    PathState path = PathState::Good;
    double weight = 1; ///< Share of work relative to its siblings, 0 to 1; 0 if it must get no work.
    int slotsInUse = 0; ///< At least this node's own attempts in flight there, at most the configured slots.
    int queueLength = 0;
    base::Duration latency{}; ///< Recent median time to a complete answer; 0 if not known.
    std::optional<base::Duration> age; ///< Time since the last report; empty if there was none.
    bool spread = false; ///< Whether work is spread over all servers because all of the service look unhealthy.
    std::string_view reason; ///< One short sentence; a literal.

    bool usable() const
    {
        return weight > 0;
    }

    auto operator<=>(const ServerView &) const = default;
};

/// Whether the serving node admits an attempt to its own backend server now.
enum class Admission {
    Admit,
    TrialFull, ///< The server is in trial and has its maximum of attempts in flight.
    Ejected,
    Draining,
    Unknown, ///< Not a backend server of this VM.
};

enum class HealthEventKind {
    Suspected,
    Ejected,
    Trial,
    TrialFailed,
    Returned,
    FloorHeld, ///< It is unhealthy, but the floor keeps it in use.
    Readmitted, ///< It was ejected, but the floor requires it in use.
    Draining,
    Gone,
    PathEjected,
    PathTrial,
    PathReturned,
    EntryEjected, ///< Only this entry node avoids the server, because its own hops contradict the reports.
    EntryReturned,
    SiblingUnreachable,
    WokeFromPause,
};

/// One health decision, for the log and for `papayastep status`.
struct HealthEvent
{
    HealthEventKind kind = HealthEventKind::Suspected;
    base::BackendServerId server; ///< Empty if the event concerns a whole VM.
    base::VmId vm;
    std::string description;

    auto operator<=>(const HealthEvent &) const = default;
};

/// Returns the name of `kind` for logs and metric labels.
std::string_view name(HealthEventKind kind);

/// Totals since the process started.
struct HealthCounters
{
    std::uint64_t evaluations = 0; ///< Evaluations of a service.
    std::uint64_t ejections = 0;
    std::uint64_t returns = 0;
    std::uint64_t trials = 0;
    std::uint64_t trialFailures = 0;
    std::uint64_t floorHolds = 0;
    std::uint64_t pathEjections = 0;
    std::uint64_t pathReturns = 0;
    std::uint64_t entryEjections = 0;
    std::uint64_t pauses = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0; ///< Payload without envelope and transport.
    std::uint64_t messagesIgnored = 0; ///< Malformed or late messages, and those of VMs that are no siblings.

    auto operator<=>(const HealthCounters &) const = default;
};

}
