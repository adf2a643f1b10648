#pragma once

#include "papayastep/base/resultcode.h"
#include "papayastep/routing/grayserverpolicy.h"
#include "papayastep/routing/placement.h"

#include <iosfwd>
#include <map>
#include <optional>

namespace papayastep::routing {

/// The answer of the node beside a backend server to the question what it would do with a request now.
struct SlotQuote
{
    base::ResultCode code = base::ResultCode::Ok; ///< Code of the refusal; Ok if it would accept the request.
    base::Duration wait{0}; ///< Time until the request could start or, if refused, until it could be accepted.
    base::Duration run{0}; ///< Typical run time there.
    double failureRisk = 0; ///< Probability that its server is in a gray failure.
    base::Duration idle{0}; ///< Time since the last request was started there.
    bool held = false; ///< The server is held back as gray and accepts requests only as a last resort.

    auto operator<=>(const SlotQuote &) const = default;
};

/// Limits, timeouts and cost tolerances of a survey.
struct SlotSurveySettings
{
    /// Number of servers asked first: those that seem best. At moderate load, one of two nearly always has a free slot.
    std::size_t firstWave = 2;
    /// Whether the first wave asks servers of other zones only if the own zone has too few healthy ones. Where the
    /// zones have uneven demand, a request then leaves its zone only when it finds no free slot there.
    bool ownZoneFirst = false;
    /// Number of servers asked in each later wave. Of four servers that are each busy nine times in ten, one is free in
    /// a third of the cases; asking all at once would cost a large service's nodes more than the slot is worth.
    std::size_t laterWave = 4;
    /// Number of waves after which a short queue counts as good as a free slot that more questions may find.
    int wavesForFreeSlot = 2;
    std::size_t maxAsked = 14;
    /// Number of servers asked for a repeat. If none of them has a retry left, the service has hardly any: while it
    /// fails most requests, each of them would otherwise be followed by many questions.
    std::size_t maxAskedForRepeat = 6;
    /// Time to wait for the answers of a wave. It is ten round trips to another availability zone (2.8 ms each); a node
    /// that has not answered by then is cut off, paused or overloaded, and unsuitable for a request that can't be
    /// repeated.
    base::Duration waveTimeout = std::chrono::milliseconds(28);
    /// Time to wait after the first usable answer for answers from nearer or better servers: about one round trip to
    /// another zone.
    base::Duration graceAfterAnswer = std::chrono::milliseconds(4);
    /// Cost by which the second server of the first wave may exceed the best; it is drawn among all such servers.
    /// Without it the fastest servers of a zone get all work at light load: three of eight healthy servers got none for
    /// two seconds, and the entry's data on them becomes outdated. It is less than the cost of a hop to another zone.
    double explorationTolerance = 0.04;
    /// Cost that another server of the wave must be able to save for its answer to be awaited. It is half the cost of a
    /// hop to another zone.
    double minSavingToWait = 0.025;
    /// Whether a request that can't be repeated may go to a server that is held back, if no other one accepts it and
    /// GrayServerPolicy expects an answer. If false, it may do so only if more than three quarters of the servers that
    /// answered are held back: the holds then say more about the service than about its servers.
    bool riskyLastResort = true;
};

/// Counts of the answers to a survey, for logs.
struct SurveyTally
{
    std::size_t asked = 0;
    std::size_t free = 0; ///< Nodes that would start the request, at once or after a wait.
    std::size_t full = 0; ///< Nodes that could not start the request in time.
    std::size_t held = 0; ///< Nodes that hold their server back as gray.
    std::size_t silent = 0; ///< Nodes that have not answered.
    std::optional<base::Duration> soonest; ///< The shortest wait that a free or full node reported.

    auto operator<=>(const SurveyTally &) const = default;
};

/// Writes the counts in the form `asked:4,full:2,held:1,silent:1,soonestMs:700`; zero counts are left out.
std::ostream &operator<<(std::ostream &stream, const SurveyTally &tally);

/// The next step of a survey.
struct SurveyStep
{
    enum class Kind {
        Ask, ///< Ask the nodes of the servers in `ask`.
        Wait, ///< Wait for answers until the time `until`.
        Take, ///< Send the request to `candidate`.
        Refuse, ///< Refuse the request, as no server would answer it in time.
    };
    Kind kind = Kind::Wait;
    std::vector<std::size_t> ask;
    base::TimePoint until;
    std::size_t candidate = 0;
    bool lastResort = false; ///< With Take: the server is held back as gray, and all others are full.
    /// With Refuse: the refusal code of the server with the shortest wait.
    base::ResultCode code = base::ResultCode::Ok;
    base::Duration retryAfter{0}; ///< With Refuse: the wait until that server could accept the request.

    auto operator<=>(const SurveyStep &) const = default;
};

/// Finds the server for one request by asking the nodes beside some of the candidates, in waves, what they would do
/// with it.
///
/// An entry has only the queue length from its own last answer of a server, which in a fleet of many entries is seconds
/// old. With such figures, a request in an overload would be sent from one full server to the next until much of its
/// time is gone. The node beside a server has the exact state of its slots. Its answer also shows that the network path
/// works before a request that can't be repeated is sent.
///
/// If no server has a free slot, the request is sent to the server with the least expected cost of waiting. If no
/// server could answer it in time, it is sent to a server that is held back as gray, if that is worth trying, or is
/// refused at once.
class SlotSurvey
{
public:
    SlotSurvey(const PlacementPolicy &policy,
               std::vector<Candidate> candidates,
               PlacementRequest request,
               const SlotSurveySettings &settings = {});

    /// Records an answer. An answer for a server that was not asked or has already been answered for is ignored.
    void recordQuote(const base::BackendServerId &server, const SlotQuote &quote);

    SurveyStep next(base::TimePoint now, std::mt19937_64 &random);

    /// Returns a candidate with the figures of its quote, if there is one, in place of the estimated ones.
    const Candidate &candidate(std::size_t index) const;
    /// Returns the servers whose nodes have not answered within the timeout of their wave.
    std::vector<std::size_t> silent(base::TimePoint now) const;
    std::size_t asked() const;
    SurveyTally tally() const;

private:
    std::optional<std::size_t> similarCostServer(std::size_t best, std::mt19937_64 &random) const;
    void open(std::size_t index, base::TimePoint now, std::vector<std::size_t> &wave);
    std::vector<std::size_t> nextWave(base::TimePoint now, std::mt19937_64 &random);
    std::optional<std::size_t> best(base::Duration longestWait, bool held = false) const;
    std::optional<std::size_t> immediateChoice() const;
    double costOf(std::size_t index) const;
    SurveyStep take(std::size_t index, bool lastResort = false) const;
    bool mayTryHeldServer() const;
    SurveyStep giveUp() const;

    const PlacementPolicy &m_policy;
    std::vector<Candidate> m_candidates;
    PlacementRequest m_request;
    SlotSurveySettings m_settings;
    GrayServerPolicy m_grayPolicy;
    std::vector<std::optional<SlotQuote>> m_quotes;
    std::map<std::size_t, base::TimePoint> m_pending; ///< Servers asked without an answer yet, with the time of asking.
    std::size_t m_asked = 0;
    int m_waves = 0;
    bool m_waiting = false; ///< The answers of a wave are awaited.
    base::TimePoint m_waveBegan;
    base::TimePoint m_waveEnds;
    bool m_graceBegan = false;
};

/// Records nodes that did not answer, so that others are asked first for a while.
class SilentNodes
{
public:
    explicit SilentNodes(const base::Clock &clock);

    /// Records that the node of `vm` did not answer; returns whether it had responded since it was last silent.
    bool markSilent(const base::VmId &vm);
    /// Records a message from the node of `vm`; returns whether it was silent before.
    bool markResponsive(const base::VmId &vm);
    bool isSilent(const base::VmId &vm) const;

private:
    const base::Clock &m_clock;
    std::map<base::VmId, base::TimePoint> m_since;
};

/// Records how long servers had been without work when their nodes were last asked, so that they are preferred for the
/// next request.
class ServerIdleTimes
{
public:
    explicit ServerIdleTimes(const base::Clock &clock);

    void record(const base::BackendServerId &server, base::Duration idle);
    /// Returns the last recorded idle time, or 0 if there is no recent one.
    base::Duration idle(const base::BackendServerId &server) const;
    void expire();

private:
    struct IdleReport
    {
        base::Duration idle;
        base::TimePoint receivedAt;
    };

    const base::Clock &m_clock;
    std::map<base::BackendServerId, IdleReport> m_reports;
};

}
