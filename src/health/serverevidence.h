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

/// Returns the short form of an identifier (such as a RouteId) that messages and tables use.
std::uint32_t shortHash(const std::string &id);

/// Usual latencies and failures of a service as its siblings report them: the reference of all tests.
struct ServiceReference
{
    LatencyModel model{defaultDistribution()};
    std::unordered_map<std::uint32_t, base::Duration> routeLatency; ///< Median over the siblings, by route hash.
    double failureShare = 0; ///< Median over the siblings, 0 to 1.
    bool siblingsAccept = true; ///< Whether most siblings accept work.
};

/// Collects the evidence about one backend server on the node beside it.
class ServerEvidence
{
public:
    void started(const AttemptKey &key, std::uint32_t route, base::TimePoint now);
    /// Ignores unknown keys: their start was dropped on purpose (a pause), or they belong to another server.
    void finished(const AttemptKey &key,
                  AttemptOutcome outcome,
                  base::Duration latency,
                  base::TimePoint now,
                  const ServiceReference &usual);

    /// Sets the score (in units of log likelihood) at which the server counts as unhealthy.
    void setThreshold(double threshold);
    double threshold() const;
    /// A cold server may be slower than its siblings for some time.
    void setCold(bool cold);
    /// See HealthMonitor::probeFinished().
    void setProbeResult(bool good);

    /// Evidence against the server as a share of the threshold, including the attempts in flight.
    double severity(base::TimePoint now, const ServiceReference &usual) const;
    /// Whether all attempts were refused or shed for the limit of the settings while siblings accept work. The process
    /// is then dead or stuck.
    bool refusesPersistently(base::TimePoint now, const HealthSettings &settings, const ServiceReference &usual) const;
    /// False if the server has refused or shed its latest attempts.
    bool accepting() const;
    /// The reason for the severity, as a clause for a log line.
    std::string explanation(base::TimePoint now, const ServiceReference &usual) const;

    /// Resets the tests, after a change of the server's state.
    void resetTests();
    /// Ignores the attempts in flight from now on, including their ends: their age includes a pause of this process.
    void invalidateInFlight();

    /// Starts a trial and its counters.
    void beginTrial();
    /// True if the server has recovered, false if it is still unhealthy, empty if the trial continues. Attempts in
    /// flight count, so a trial that hangs fails.
    std::optional<bool> trialVerdict(base::TimePoint now, const ServiceReference &usual) const;

    std::size_t inFlight() const;
    /// The number of attempts in flight that started in the current trial.
    std::size_t trialInFlight() const;
    std::optional<base::TimePoint> lastFinished() const;
    double requestsPerSecond(base::TimePoint now) const;
    base::Duration recentLatency() const;
    double failureShare() const;
    const std::unordered_map<std::uint32_t, RollingMedian> &routes() const;
    const LatencyHistogram &histogram() const;
    /// Whether ended attempts update the histogram and the usual offset; off while the evidence is at half of the
    /// threshold or more.
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
    double m_usualOffset = 0; ///< Octaves by which the server is usually slower than its siblings, within bounds.

    Scores m_trialScores{};
    int m_trialSuccesses = 0;
    bool m_trialCompared = false; ///< Whether a latency of the trial was compared with the siblings'.
    int m_trialRefusals = 0;
    bool m_trialRunning = false;
};

}
