#pragma once

#include "latencydistribution.h"
#include "rollingmedian.h"
#include "sequentialtest.h"

#include "papayastep/health/attempt.h"
#include "papayastep/health/healthsettings.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// The short form of a RouteId in messages and tables.
std::uint32_t shortHash(const std::string &id);

/// What is usual for a service, as its siblings tell it: the yardstick of every test.
struct ServiceReference
{
    LatencyModel model{defaultDistribution()};
    std::unordered_map<std::uint32_t, base::Duration> routeLatency; ///< Median over siblings, by route hash.
    double failureShare = 0; ///< Median over siblings.
    bool siblingsAccept = true; ///< Most siblings take work.
};

/// The evidence about one backend server that the node beside it gathers.
class ServerEvidence
{
public:
    void started(const AttemptKey &key, std::uint32_t route, base::TimePoint now);
    /// Unknown keys are ignored: their start was forgotten on purpose (a pause) or belongs to another server.
    void finished(const AttemptKey &key,
                  AttemptOutcome outcome,
                  base::Duration latency,
                  base::TimePoint now,
                  const ServiceReference &usual);

    /// The score (in units of log likelihood) at which the server counts as sick.
    void setThreshold(double threshold);
    double threshold() const;
    /// A cold server may be slower than its siblings for a while.
    void setCold(bool cold);
    /// See HealthMonitor::probeFinished().
    void setProbeResult(bool good);

    /// Evidence of sickness as a share of the threshold, attempts in flight included.
    double severity(base::TimePoint now, const ServiceReference &usual) const;
    /// Only refused or shed attempts for so long, while siblings accept: a dead or stuck process.
    bool refusesPersistently(base::TimePoint now, const HealthSettings &settings, const ServiceReference &usual) const;
    /// At the moment it takes no work.
    bool accepting() const;
    /// Why the severity is what it is, for a log line.
    std::string explanation(base::TimePoint now, const ServiceReference &usual) const;

    /// Forgets the tests, for a server that begins anew.
    void resetTests();
    /// Attempts in flight no longer count, not even when they end: their age includes time that this process slept.
    void invalidateInFlight();

    /// Starts counting for a trial.
    void beginTrial();
    /// True: recovered. False: still sick. None: go on. Counts attempts in flight, so a trial that hangs fails.
    std::optional<bool> trialVerdict(base::TimePoint now, const ServiceReference &usual) const;

    std::size_t inFlight() const;
    /// Those that were started in the running trial.
    std::size_t trialInFlight() const;
    std::optional<base::TimePoint> lastFinished() const;
    double requestsPerSecond(base::TimePoint now) const;
    base::Duration recentLatency() const;
    double failureShare() const;
    const std::unordered_map<std::uint32_t, RollingMedian> &routes() const;
    const LatencyHistogram &histogram() const;
    /// Whether ended attempts teach the shape; off while the server is suspect or worse.
    void setLearning(bool learning);

private:
    struct InFlight
    {
        base::TimePoint startedAt;
        std::uint32_t route = 0;
        bool valid = true;
        bool inTrial = false;
    };
    using Scores = std::array<double, testsPerServer>;

    std::optional<double> ratio(std::uint32_t route, base::Duration latency, const ServiceReference &usual) const;
    Scores scores(base::TimePoint now, const ServiceReference &usual) const;
    void addInFlight(Scores &scores, bool trialOnly, base::TimePoint now, const ServiceReference &usual) const;
    void addEvidence(std::size_t test, double evidence, bool inTrial);
    void recordAcceptance(const InFlight &attempt, AttemptOutcome outcome, base::TimePoint now);
    void learn(double ratio);
    void recordSuccess(const InFlight &attempt, base::Duration latency, const ServiceReference &usual);
    void recordTimeout(const InFlight &attempt, base::Duration latency, const ServiceReference &usual);

    std::unordered_map<AttemptKey, InFlight> m_inFlight;
    std::unordered_map<std::uint32_t, RollingMedian> m_routes;
    RollingMedian m_recent;
    LatencyHistogram m_histogram;
    std::array<Cusum, testsPerServer> m_tests;
    double m_threshold = 15;
    double m_baseScore = 0;
    double m_failureShare = 0;
    double m_rate = 0;
    base::TimePoint m_rateUpdated;
    std::optional<base::TimePoint> m_lastFinished;
    std::optional<base::TimePoint> m_refusingSince;
    bool m_onlyShed = false;
    int m_refusals = 0;
    bool m_learning = true;
    bool m_cold = true;
    double m_usualOffset = 0; ///< Octaves by which the server usually is slower than its siblings, within bounds.

    Scores m_trialScores{};
    int m_trialSuccesses = 0;
    bool m_trialCompared = false; ///< Some latency of the trial could be compared with the siblings'.
    int m_trialRefusals = 0;
    bool m_trialRunning = false;
};

}
