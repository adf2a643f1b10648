#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/config/configuration.h"
#include "papayastep/limits/overflowqueue.h"
#include "papayastep/routing/retrybudget.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// A fleet of hundreds of nodes on a manual clock, without a network. The decisions are those of the product code; only
/// links, backend servers and callers are modelled. It is for tests and measurements and is not shipped.
namespace papayastep::model {

/// A service and its backend servers, one on each VM.
struct ServiceShape
{
    int servers = 0;
    int slots = 5;
    config::ColdStart coldStart{};
};

/// Requests of one kind. Services and other classes are referred to by their index in FleetShape.
struct TrafficClass
{
    std::size_t service = 0;
    double perSecond = 0; ///< Requests of callers per second, over the whole fleet. 0: only called by runs.
    bool idempotent = false;
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 2;
    base::Duration meanRun{0};
    double runSpread = 0.5; ///< Standard deviation of the logarithm of the run time.
    base::Duration target{0}; ///< Time within which an answer has its full value.
    base::Duration deadline{0};
    std::optional<std::size_t> call; ///< Class of the nested call that a part of the runs make halfway.
    double callShare = 0; ///< Fraction of the runs that make it.
    int calls = 1; ///< Number of such calls that a run makes at once. It fails if one of them does.
};

/// Gray failures: a server answers most requests with an immediate error for some seconds.
struct GraySpells
{
    double serverShare = 0; ///< Fraction of the servers that have them.
    base::Duration length{0};
    base::Duration meanGap{0}; ///< Mean time between the end of one and the start of the next.
    double failureShare = 0.85; ///< Fraction of the requests that fail meanwhile.
};

/// A time in which all servers of a service reject a fraction of their requests without running them.
struct Shedding
{
    std::size_t service = 0;
    base::Duration begin{0};
    base::Duration end{0};
    double share = 0;
};

/// A time in which callers send more.
struct Burst
{
    std::optional<std::size_t> trafficClass{}; ///< The only class of which they send more; empty: all.
    base::Duration begin{0};
    base::Duration end{0};
    double factor = 1;
};

/// A time in which the backend servers of an availability zone are down. They return together and cold.
struct ColdReturn
{
    int zone = 0;
    base::Duration begin{0};
    base::Duration end{0};
};

/// A time in which an availability zone is evacuated. Each node receives the change after a delay of its own.
struct Evacuation
{
    int zone = 0;
    base::Duration begin{0};
    base::Duration end{0};
    base::Duration maxDelay{0}; ///< Longest time until a node has received the change.
};

/// A part of the backend servers of a service names a limit in each answer.
struct NamedLimits
{
    std::size_t service = 0;
    double serverShare = 0; ///< Fraction of the servers that name one.
    double requestsPerSecond = 0;
    base::Duration begin{0};
    base::Duration end{0};
};

/// A part of the backend servers of a service announces its end in each answer, and goes on serving. The directory does
/// not report it.
struct AnnouncedEnds
{
    std::size_t service = 0;
    double serverShare = 0; ///< Fraction of the servers that end.
    base::Duration begin{0};
};

/// The fleet, its traffic and its faults.
struct FleetShape
{
    int zones = 1;
    std::vector<ServiceShape> services;
    std::vector<TrafficClass> classes;
    GraySpells spells;
    std::optional<Shedding> shedding;
    std::optional<Burst> burst;
    std::optional<ColdReturn> coldReturn;
    std::optional<Evacuation> evacuation;
    std::optional<NamedLimits> namedLimits;
    std::optional<AnnouncedEnds> announcedEnds;
    /// Time at which the processes of the nodes beside servers that name a limit or announce their end are restarted.
    std::optional<base::Duration> nodeRestart;
    std::optional<limits::OverflowSettings> overflow; ///< Which attempts wait while the demand exceeds the capacity.
    bool confirmsRecovery = false; ///< Whether a server that was held has to answer trial requests first.
    double errorShare = 0; ///< Fraction of the runs of a healthy server that end with an error.
    routing::FleetRetryLimit retryLimit;
    base::Duration zoneDelay = std::chrono::microseconds(200); ///< One way, within a zone.
    base::Duration crossZoneDelay = std::chrono::microseconds(1600); ///< One way, between zones.
};

/// The ends of the requests of one class that callers sent.
struct ClassResult
{
    std::uint64_t asked = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< Answered as not run.
    std::uint64_t failed = 0;

    double served() const
    {
        return asked > 0 ? static_cast<double>(inTarget + late) / static_cast<double>(asked) : 1;
    }
    auto operator<=>(const ClassResult &) const = default;
};

/// The result of a run of the model.
struct FleetResult
{
    std::vector<ClassResult> classes;
    std::uint64_t questions = 0; ///< Slot queries, also to the own VM.
    std::uint64_t repeatsRefused = 0; ///< Repeats for which no server had a retry left.
    /// Largest number of repeats that reached one service in a window of the retry limit, as a fraction of the limit.
    double retryLimitUsed = 0;
    /// Failures of requests that can't be repeated at servers that had failed six requests or more since they last
    /// answered one.
    std::uint64_t lostAtFailingServers = 0;
    std::uint64_t crashes = 0; ///< Times at which a cold server received too much and went down.
    std::uint64_t mostColdStarts = 0; ///< Most attempts that a cold server received in any second.
    /// Time from the beginning of an evacuation to the last start of an attempt in the zone before its end; 0: none.
    base::Duration lastStartInEvacuation{0};
    /// Largest number of requests that a server that names a limit received in four seconds from nodes that had passed
    /// such an answer on, as a fraction of what it allows (AnnouncementCheck).
    double namedLimitUsed = 0;
    /// Requests that reached a server from a node that had passed its announced end on two seconds before.
    std::uint64_t requestsAfterAnnouncedEnd = 0;
    double busiestToMean = 0; ///< Runs of the busiest server over the mean, the larger value of all services.
};

/// Plays the load of `shape` for `duration` after a second without measurement.
class FleetModel
{
public:
    FleetModel(FleetShape shape, std::uint64_t seed);
    ~FleetModel();

    FleetResult run(base::Duration duration);

private:
    class Play;
    std::unique_ptr<Play> m_play;
};

}
