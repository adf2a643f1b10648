#pragma once

#include "papayastep/base/clock.h"

namespace papayastep::health {

struct FailureFilterSettings
{
    /// How often a well server fails by itself. Operators measured 1.2 % on theirs.
    double wellFailures = 0.013;
    /// How often one fails in a gray spell. Spells with 75 to 85 % were measured; lower shares are told as well.
    double grayFailures = 0.6;
    /// How often a request of a well server, and of one that hangs, is still running after three mean run times. With
    /// run times spread as measured (log-normal, sigma 0.8) it is 4 % of the well ones.
    double wellOverdue = 0.05;
    double grayOverdue = 0.6;
    /// Between two spells and in one, on average. Spells of 3 s in every 9 to 12 s were measured. The shorter mean ends
    /// a hold after 1.3 s, so that a server that is well again has work within 2 s; a scout then meets the rest of a
    /// longer spell.
    base::Duration meanWell = std::chrono::seconds(12);
    base::Duration meanGray = std::chrono::milliseconds(1800);

    /// Above it a server gets no work: a request is more likely to fail there than not.
    double holdAbove = 0.5;
    /// Down to it only one request at a time shows how the server is.
    double trialAbove = 0.3;

    auto operator<=>(const FailureFilterSettings &) const = default;
};

/// How likely it is that a backend server is in a spell of gray failure, by the outcomes of its requests and the time
/// since: a hidden Markov model of two states.
///
/// Servers fail most of their requests for a few seconds while their health endpoint says that all is well, and a
/// failed refund cannot be repeated. A test that waits until the evidence is beyond doubt sees some ten refunds fail in
/// each spell; by this sum the first failure already makes a spell seven times as likely as an accident, and a wrong
/// verdict costs little, since the hold is short and siblings take the work.
class FailureFilter
{
public:
    explicit FailureFilter(base::TimePoint now, const FailureFilterSettings &settings = {});

    void noteOutcome(bool failed, base::TimePoint now);

    /// A request has run for several times the usual without an end.
    void noteOverdue(base::TimePoint now);

    /// Takes over what another filter found.
    void assume(double probability, base::TimePoint now);

    /// Probability of a spell, 0 to 1. Without news it drifts to the share of time that spells take.
    double grayProbability(base::TimePoint now) const;

    bool isHeld(base::TimePoint now) const;
    /// Not held, and still in doubt: one request at a time.
    bool isOnTrial(base::TimePoint now) const;

private:
    void weigh(double ifGray, double ifWell, base::TimePoint now);

    FailureFilterSettings m_settings;
    double m_probability;
    base::TimePoint m_updated;
};

}
