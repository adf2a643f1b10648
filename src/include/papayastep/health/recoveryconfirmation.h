#pragma once

#include "papayastep/base/clock.h"

namespace papayastep::health {

/// Settings of a RecoveryConfirmation.
struct RecoverySettings
{
    bool isRequired = false; ///< If false, no recovery has to be confirmed.
    /// Number of trial requests in a row that have to be answered. A server in a gray failure answers about one of
    /// five, so two in a row mislead in one of 25 cases.
    int answersNeeded = 2;
    /// Time from a failed trial until the next one. A healthy server must not be left without requests for two seconds.
    base::Duration trialInterval = std::chrono::seconds(1);
    base::Duration laterTrialInterval = std::chrono::milliseconds(1400); ///< After the second failure.
    /// Time from a failure until a request that can't be repeated is the trial, if no other request has come. It
    /// doubles with each further failure up to the maximum. Without it, a service that gets only such requests would
    /// never use the server again.
    base::Duration firstRiskyTrial = std::chrono::seconds(2);
    base::Duration maxRiskyTrial = std::chrono::seconds(8);

    auto operator<=>(const RecoverySettings &) const = default;
};

/// What was seen of a server from its hold to its confirmed recovery.
struct RecoverySummary
{
    int answers = 0; ///< Trial requests that were answered.
    int failures = 0; ///< Failures, including the one that caused the hold.
    base::Duration length{0}; ///< Time from the hold to the last evidence.

    auto operator<=>(const RecoverySummary &) const = default;
};

/// Decides when a server that was held because of a gray failure gets requests that can't be repeated again: after
/// trial requests that were answered, not after a time.
///
/// It is for a service whose healthy servers are full while others fail most of their requests within milliseconds and
/// so always have free slots. A gray failure may last longer than any time that is assumed for it; each end of a hold
/// by time alone would cost a caller a request that can't be repeated.
class RecoveryConfirmation
{
public:
    explicit RecoveryConfirmation(const RecoverySettings &settings = {});

    /// Records that the server is held from now on.
    void begin(base::TimePoint now);
    /// Records that a trial request was answered. Answers to requests that had been started before the hold are not
    /// recorded, because a gray failure may affect only requests that arrive during it.
    void recordAnswer(base::TimePoint now);
    /// Records a failure, of a trial request or of any other one.
    void recordFailure(base::TimePoint now);

    /// Whether the server was held and its recovery is not yet confirmed.
    bool isPending() const;

    /// Whether a request may go to the server as a trial while the recovery is pending. `trialInFlight` is whether a
    /// trial is already under way.
    bool admits(bool idempotent, bool trialInFlight, base::TimePoint now) const;

    /// Describes the present hold or, if none is pending, the last one.
    RecoverySummary summary() const;

private:
    base::Duration riskyTrialDelay() const;

    RecoverySettings m_settings;
    bool m_isPending = false;
    int m_answersInARow = 0;
    int m_answers = 0;
    int m_failures = 0;
    base::TimePoint m_heldSince;
    base::TimePoint m_lastEvidence;
};

}
