#pragma once

#include "papayastep/base/clock.h"

#include <optional>

namespace papayastep::health {

/// Parameters of a GrayFailureEstimator. Rates and thresholds are probabilities from 0 to 1.
struct GrayFailureEstimatorSettings
{
    /// Share of requests to a healthy server that it answers with an error, and share whose answer is incomplete.
    double healthyErrorRate = 0.013;
    double healthyBrokenRate = 0.002;
    /// Share of requests that fail during a gray failure, and share that a server then answers with an error itself.
    double grayFailureRate = 0.8;
    double grayErrorRate = 0.2;
    /// Run time, as a fraction of the usual one, below which an error is immediate; shares of requests that end so at a
    /// healthy server and during a gray failure. A healthy server works on a request before it fails, so an immediate
    /// error says much more than a late one.
    double immediateErrorTime = 0.2;
    double healthyImmediateErrorRate = 0.0006;
    double grayImmediateErrorRate = 0.3;
    /// Share of requests to a healthy server, and to a hanging one, that still run after three mean run times. With
    /// log-normal run times (sigma 0.8) this is 4 % at a healthy server.
    double healthyOverdueRate = 0.05;
    double grayOverdueRate = 0.6;
    /// Mean time between two gray failures, and mean length of one about which little is known yet.
    base::Duration meanHealthyTime = std::chrono::seconds(12);
    base::Duration meanGrayTime = std::chrono::seconds(3);

    /// Probability above which a server gets only trial requests, as any request is more likely to fail than not.
    double holdThreshold = 0.5;
    /// Probability above which a server gets only one trial request at a time.
    double trialThreshold = 0.3;
    /// Time from the last evidence about a held server until its next trial request.
    base::Duration trialInterval = std::chrono::seconds(1);
    /// Upper bound of the probability after evidence, so that a few answers suffice to detect the end of a failure.
    double maxProbability = 0.9;

    auto operator<=>(const GrayFailureEstimatorSettings &) const = default;
};

/// How a run ended.
enum class RunEnd {
    Answered,
    Error, ///< A complete answer that reports a failure of the server.
    Broken, ///< No complete answer.
    TimedOut, ///< No complete answer before the request's own deadline.
};

/// Estimates the probability that a backend server is in a gray failure from the outcomes of its requests and the time
/// since, with a hidden Markov model of two states.
///
/// In a gray failure a server fails most of its requests for a few seconds while its health endpoint reports success,
/// and a failed refund cannot be repeated. A test that waits for conclusive evidence would let some ten refunds fail in
/// each failure. Here the first incomplete answer holds the server, and only answers to trial requests end the hold.
/// Trial requests are idempotent, so one that fails can be repeated elsewhere.
class GrayFailureEstimator
{
public:
    explicit GrayFailureEstimator(base::TimePoint now, const GrayFailureEstimatorSettings &settings = {});

    /// `relativeTime` is the run time as a fraction of the usual one.
    void recordEnd(RunEnd end, double relativeTime, base::TimePoint now);

    /// Records that a request has run for several times the usual run time without an end.
    void recordOverdue(base::TimePoint now);

    /// Replaces the estimate by one that another estimator made.
    void setProbability(double probability, base::TimePoint now);

    /// Probability of a gray failure, 0 to 1. Without new evidence it decays towards the share of time that gray
    /// failures take; the longer the failure has lasted, the more slowly.
    double grayProbability(base::TimePoint now) const;

    bool isHeld(base::TimePoint now) const;

    /// Whether a request may go to the server now. `trialInFlight` says whether a trial request is already under way.
    bool admits(bool idempotent, bool trialInFlight, base::TimePoint now) const;

    /// Whether a request that goes to the server now is a trial request.
    bool needsTrial(base::TimePoint now) const;

private:
    void applyEvidence(double likelihoodIfGray, double likelihoodIfHealthy, base::TimePoint now);
    void updateEpisode(base::TimePoint now);
    base::Duration expectedGrayTime() const;

    GrayFailureEstimatorSettings m_settings;
    double m_probability;
    base::TimePoint m_updated;
    std::optional<base::TimePoint> m_episodeStart;
    base::TimePoint m_lastFailure;
};

}
