#pragma once

#include "papayastep/base/resultcode.h"
#include "papayastep/routing/grayserverpolicy.h"
#include "papayastep/routing/placement.h"

#include <iosfwd>
#include <map>
#include <optional>

namespace papayastep::routing {

/// What the node beside a backend server says that it would do with a request now.
struct SlotQuote
{
    base::ResultCode code = base::ResultCode::Ok; ///< With which it would refuse; Ok: it would take it.
    base::Duration wait{0}; ///< Until it could start, or, if refused, until it could be taken.
    base::Duration run{0}; ///< How long runs take there.
    double failureRisk = 0; ///< How likely its server is in a gray spell.
    base::Duration idle{0}; ///< Since the last request was started there.
    bool held = false; ///< The server is held back as gray, so that only a last resort is taken.

    auto operator<=>(const SlotQuote &) const = default;
};

struct SlotSurveySettings
{
    /// Asked first: the two that seem best. At moderate load one of them has a free slot nearly always.
    std::size_t firstWave = 2;
    /// Asked in each later wave. Of four servers that are each busy nine times in ten, one is free in a third of the
    /// cases; asking all at once would cost a large service's nodes more than the slot is worth.
    std::size_t laterWave = 4;
    /// Waves after which a short queue is as good as a free slot that may be found by more questions.
    int wavesForFreeSlot = 2;
    std::size_t maxAsked = 14;
    /// For the answers of a wave. Ten times the way to another availability zone and back (2.8 ms); a node that has not
    /// answered by then is cut off, paused or overloaded, and no place for a request that can't be repeated.
    base::Duration waveTimeout = std::chrono::milliseconds(28);
    /// After the first usable answer, for those from nearer or better servers. One way to another zone and back.
    base::Duration graceAfterAnswer = std::chrono::milliseconds(4);
    /// How much dearer than the best the second server of the first wave may be, which is drawn among all such. Without
    /// it the fastest servers of a zone get all work at light load; three of eight well ones got nothing for two
    /// seconds, and what an entry believes of them grows old. Less than the way to another zone costs.
    double explorationTolerance = 0.04;
    /// Cost that another server of the wave must be able to save for its answer to be waited for. Half of a hop to
    /// another zone.
    double minSavingToWait = 0.025;
};

/// What the nodes asked in a survey said, for logs.
struct SurveyTally
{
    std::size_t asked = 0;
    std::size_t free = 0; ///< Would start it, at once or after a wait.
    std::size_t full = 0; ///< Could not start it in time.
    std::size_t held = 0; ///< Hold their server back as gray.
    std::size_t silent = 0; ///< Have not answered.
    std::optional<base::Duration> soonest; ///< The least wait that any of the free or full named.

    auto operator<=>(const SurveyTally &) const = default;
};

/// As `asked:4,full:2,held:1,silent:1,soonestMs:700`; what is zero is left out.
std::ostream &operator<<(std::ostream &stream, const SurveyTally &tally);

/// What to do next in a survey.
struct SurveyStep
{
    enum class Kind {
        Ask, ///< The servers in `ask`.
        Wait, ///< For answers, until `until`.
        Take, ///< Send the request to `candidate`.
        Refuse, ///< No server would answer it in time.
    };
    Kind kind = Kind::Wait;
    std::vector<std::size_t> ask;
    base::TimePoint until;
    std::size_t candidate = 0;
    bool lastResort = false; ///< With Take: the server is held back as gray, and all others are full.
    base::ResultCode code = base::ResultCode::Ok; ///< With Refuse: why the soonest of them would refuse.
    base::Duration retryAfter{0}; ///< With Refuse: when the soonest could take it.

    auto operator<=>(const SurveyStep &) const = default;
};

/// Finds the server for one request by asking the nodes beside some of them, in waves, what they would do with it.
///
/// An entry knows a server's queue only from its own last answer there, which in a fleet of many entries is seconds
/// old. Placed by that, a request in an overload wanders from one full server to the next until much of its time is
/// gone. The node beside a server knows its slots exactly. It also shows that the way there works before a request that
/// can't be repeated is handed to it.
///
/// If nobody has a free slot, the request goes to the server with the least expected cost of waiting, and if it could
/// not be answered in time anywhere, it goes to a server that is held back as gray, if that is worth trying, or is
/// refused at once.
class SlotSurvey
{
public:
    SlotSurvey(const PlacementPolicy &policy,
               std::vector<Candidate> candidates,
               PlacementRequest request,
               const SlotSurveySettings &settings = {});

    /// An answer; ignored from a server that was not asked or has answered.
    void recordQuote(const base::BackendServerId &server, const SlotQuote &quote);

    SurveyStep next(base::TimePoint now, std::mt19937_64 &random);

    /// With what was quoted in place of what was believed.
    const Candidate &candidate(std::size_t index) const;
    /// Servers that have not answered within the patience of a wave.
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
    SurveyStep giveUp() const;

    const PlacementPolicy &m_policy;
    std::vector<Candidate> m_candidates;
    PlacementRequest m_request;
    SlotSurveySettings m_settings;
    GrayServerPolicy m_grayPolicy;
    std::vector<std::optional<SlotQuote>> m_quotes;
    std::map<std::size_t, base::TimePoint> m_pending; ///< Asked, no answer yet, and since when.
    std::size_t m_asked = 0;
    int m_waves = 0;
    bool m_waiting = false; ///< For the answers of a wave.
    base::TimePoint m_waveBegan;
    base::TimePoint m_waveEnds;
    bool m_graceBegan = false;
};

/// Remembers nodes that did not answer, so that others are asked first for a while.
class SilentNodes
{
public:
    explicit SilentNodes(const base::Clock &clock);

    /// Whether it was heard of since it was last silent.
    bool markSilent(const base::VmId &vm);
    /// Whether it was silent before.
    bool markResponsive(const base::VmId &vm);
    bool isSilent(const base::VmId &vm) const;

private:
    const base::Clock &m_clock;
    std::map<base::VmId, base::TimePoint> m_since;
};

/// Remembers how long servers had been without work when their nodes were asked last, so that the next request goes
/// there first.
class ServerIdleTimes
{
public:
    explicit ServerIdleTimes(const base::Clock &clock);

    void record(const base::BackendServerId &server, base::Duration idle);
    /// 0 where nothing was heard lately.
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
