#pragma once

#include "papayastep/base/clock.h"

#include <optional>

namespace papayastep::health {

struct GrayFailureEstimatorSettings
{
    /// How often a well server answers with an error, and how often its answer breaks off.
    double healthyErrorRate = 0.013;
    double healthyBrokenRate = 0.002;
    /// How often a server fails in a gray spell, and how often it does so by an error of its own.
    double grayFailureRate = 0.8;
    double grayErrorRate = 0.3;
    /// How often a request of a well server, and of one that hangs, is still running after three mean run times. With
    /// log-normal run times (sigma 0.8) it is 4 % of the well ones.
    double healthyOverdueRate = 0.05;
    double grayOverdueRate = 0.6;
    /// Between two spells, and in one while little is known of it, on average.
    base::Duration meanHealthyTime = std::chrono::seconds(12);
    base::Duration meanGrayTime = std::chrono::seconds(3);

    /// Above it a server gets no work but scouts: a request is more likely to fail there than not.
    double holdThreshold = 0.5;
    /// Down to it only one request at a time shows how the server is.
    double trialThreshold = 0.3;
    /// After the last news of a server that is held back, until the next scout.
    base::Duration trialInterval = std::chrono::seconds(1);
    /// No evidence makes a spell likelier, so that a few answers show its end.
    double maxProbability = 0.9;

    auto operator<=>(const GrayFailureEstimatorSettings &) const = default;
};

/// How a run ended.
enum class RunEnd {
    Answered,
    Error, ///< A whole answer that says that the server failed.
    Broken, ///< No whole answer.
};

/// How likely it is that a backend server is in a spell of gray failure, by the outcomes of its requests and the time
/// since: a hidden Markov model of two states.
///
/// Servers fail most of their requests for a few seconds while their health endpoint says that all is well, and a
/// failed refund cannot be repeated. A test that waits until the evidence is beyond doubt sees some ten refunds fail in
/// each spell. Here the first answer that breaks off holds the server back, and what ends the hold are answers to
/// scouts: requests that may fail, since they can be repeated.
class GrayFailureEstimator
{
public:
    explicit GrayFailureEstimator(base::TimePoint now, const GrayFailureEstimatorSettings &settings = {});

    void recordEnd(RunEnd end, base::TimePoint now);

    /// A request has run for several times the usual without an end.
    void recordOverdue(base::TimePoint now);

    /// Takes over what another filter found.
    void setProbability(double probability, base::TimePoint now);

    /// Probability of a spell, 0 to 1. Without news it drifts to the share of time that spells take; the longer the
    /// spell has lasted, the more slowly.
    double grayProbability(base::TimePoint now) const;

    bool isHeld(base::TimePoint now) const;

    /// Whether a request may go to the server now. `scouted`: one that shows how the server is is on its way there.
    bool admits(bool idempotent, bool scouted, base::TimePoint now) const;

    /// Whether a request that goes to the server now is a scout.
    bool needsTrial(base::TimePoint now) const;

private:
    void applyEvidence(double ifGray, double ifWell, base::TimePoint now);
    void updateEpisode(base::TimePoint now);
    base::Duration expectedGrayTime() const;

    GrayFailureEstimatorSettings m_settings;
    double m_probability;
    base::TimePoint m_updated;
    std::optional<base::TimePoint> m_episodeStart;
    base::TimePoint m_lastFailure;
};

}
