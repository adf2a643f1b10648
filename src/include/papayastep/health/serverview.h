#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What the package answers with: views for placement, events for logs, counters for metrics.
namespace papayastep::health {

/// Whether a backend server may be given work.
enum class Availability {
    Usable,
    Trial, ///< Only now and then (its weight says how seldom), and better nothing that can't be retried.
    Ejected,
    Draining,
    Gone, ///< Its VM leaves, or it is not configured.
};

/// The way from this VM to the VM of a backend server.
enum class PathState {
    Good,
    Trial, ///< Was broken; the next hop tells.
    Broken,
};

/// What this node believes about one backend server.
struct ServerView
{
    Availability availability = Availability::Usable;
    PathState path = PathState::Good;
    double weight = 1; ///< 0..1, how much work it should get beside its siblings. Already 0 where it must get none.
    int slotsInUse = 0; ///< Bounded by what this node itself has in flight there and by the configured slots.
    int queueLength = 0;
    base::Duration latency{}; ///< Recent median of a whole answer; 0: not known.
    std::optional<base::Duration> age; ///< Since the last news; none: never heard of.
    bool spread = false; ///< All servers of the service look bad, so work is spread over all of them.
    std::string reason; ///< One short sentence.

    bool usable() const
    {
        return weight > 0;
    }

    auto operator<=>(const ServerView &) const = default;
};

/// Whether the serving node lets an attempt reach its own backend server now.
enum class Admission {
    Admit,
    TrialFull, ///< In trial, and enough attempts are in flight.
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
    FloorHeld, ///< Sick, but the floor keeps it in use.
    Readmitted, ///< Was ejected; the floor needs it back.
    Draining,
    Gone,
    PathEjected,
    PathTrial,
    PathReturned,
    EntryEjected, ///< This entry alone avoids the server: what it saw contradicts what it is told.
    EntryReturned,
    SiblingUnreachable,
    WokeFromPause,
};

/// One decision, for the log and for `papayastep status`.
struct HealthEvent
{
    HealthEventKind kind = HealthEventKind::Suspected;
    base::BackendServerId server; ///< Empty for events of a whole VM.
    base::VmId vm;
    std::string description;

    auto operator<=>(const HealthEvent &) const = default;
};

/// The name of `kind`, for logs and metric labels.
std::string_view name(HealthEventKind kind);

/// Totals since the start of the process.
struct HealthCounters
{
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
    std::uint64_t bytesSent = 0; ///< Payload only.
    std::uint64_t messagesIgnored = 0; ///< Malformed, out of date, or from no sibling.

    auto operator<=>(const HealthCounters &) const = default;
};

}
