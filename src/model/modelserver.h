#pragma once

#include "eventqueue.h"
#include "fleetmodel.h"

#include "papayastep/routing/retrypolicy.h"
#include "papayastep/routing/serveradmission.h"
#include "papayastep/routing/slotsurvey.h"

#include <deque>
#include <random>

namespace papayastep::model {

/// One attempt as it arrives at a backend server.
struct ModelAttempt
{
    limits::AttemptId id;
    std::size_t trafficClass = 0;
    base::TimePoint deadline;
    base::TimePoint wantedBy;
    bool isCall = false;
    std::optional<int> priority; ///< Of a call: the priority of its run.
    bool isRepeat = false;
    bool lastResort = false;
    std::size_t entry = 0; ///< Number of the node at which the request entered.
    base::TimePoint sentAt; ///< Time at which the caller sent the request.
    std::optional<double> knownLimit{}; ///< The limit that the entry remembers of the server.
};

/// The end of an attempt.
struct ModelEnd
{
    routing::AttemptResult result;
    double grayProbability = 0;
    std::optional<routing::ServerAnnouncement> announcement{}; ///< Empty if the server did not answer.
};

/// What a ModelServer counts.
struct ModelCounts
{
    std::uint64_t runs = 0;
    std::uint64_t repeats = 0;
    std::uint64_t lostAtFailingServer = 0; ///< See FleetResult::lostAtFailingServers.
    std::uint64_t crashes = 0;
    std::uint64_t mostColdStarts = 0; ///< Most attempts that arrived in any second while the server was cold.
    base::TimePoint lastStart{}; ///< Time of the last start of an attempt during an evacuation of its zone.

    auto operator<=>(const ModelCounts &) const = default;
};

/// A backend server and the decisions of the node beside it.
class ModelServer
{
public:
    using Done = std::function<void(const ModelEnd &)>;
    using Arrived = std::function<void(const ModelAttempt &)>;
    /// Makes the nested call of a run and reports whether it was answered.
    using Caller = std::function<void(
        std::size_t trafficClass, int priority, base::TimePoint deadline, std::function<void(bool)>)>;

    /// `zone` is the number of its availability zone.
    ModelServer(const FleetShape &shape,
                std::size_t service,
                int zone,
                const base::Clock &clock,
                EventQueue &events,
                std::uint64_t seed);

    routing::SlotQuote quote(const ModelAttempt &attempt);
    void serve(const ModelAttempt &attempt, Done done);
    void setCaller(Caller caller);
    /// Calls `arrived` for each attempt that reaches the server.
    void onArrival(Arrived arrived);

    const ModelCounts &counts() const;

private:
    struct Waiting
    {
        ModelAttempt attempt;
        Done done;
    };

    limits::QueueOffer offerOf(const ModelAttempt &attempt) const;
    base::RouteId routeOf(std::size_t trafficClass) const;
    base::Duration usualRun(std::size_t trafficClass) const;
    void configureNode();
    void scheduleFaults();
    void setEvacuated(bool evacuated);
    void restartNode();
    void recordAnnouncement(base::TimePoint sentAt);
    routing::ServerAnnouncement announcement() const;
    void goDown(base::Duration length);
    void comeBack();
    bool isDown() const;
    bool isCold() const;
    bool isInEvacuation() const;
    void recordArrival();
    void probe();
    void poll();
    void start(const Waiting &waiting);
    void runOn(const Waiting &waiting);
    void makeCalls(const Waiting &waiting, base::Duration remaining, base::TimePoint startedAt);
    void callDone(const Waiting &waiting, base::Duration remaining, base::TimePoint startedAt, bool answered);
    void finish(const Waiting &waiting, base::TimePoint startedAt, health::AttemptOutcome outcome);
    void countFailure(const ModelAttempt &attempt, health::AttemptOutcome outcome);
    void refuse(const Waiting &waiting, base::ResultCode code, base::Duration retryAfter);
    bool isGray();
    bool isShedding();
    double draw();

    const FleetShape &m_shape;
    const std::size_t m_service;
    const base::Clock &m_clock;
    EventQueue &m_events;
    std::mt19937_64 m_random;
    config::BackendServer m_server;
    std::optional<routing::ServerAdmission> m_admission; ///< Replaced when the node is restarted.
    std::map<limits::AttemptId, Waiting> m_waiting;
    Caller m_caller;
    Arrived m_arrived;
    const base::TimePoint m_begin;
    base::TimePoint m_lastStart;
    bool m_hasSpells = false;
    bool m_namesLimit = false;
    bool m_announcesEnd = false;
    base::TimePoint m_spellBegin = base::TimePoint::max();
    base::TimePoint m_spellEnd;
    int m_failuresInARow = 0;
    const int m_zone;
    base::TimePoint m_downUntil;
    base::TimePoint m_coldUntil;
    base::TimePoint m_aliveSince; ///< Runs that started before it ended without an answer.
    std::deque<base::TimePoint> m_arrivals; ///< Attempts of the last second.
    ModelCounts m_counts;
};

}
