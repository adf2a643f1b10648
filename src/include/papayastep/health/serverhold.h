#pragma once

#include "papayastep/health/attempt.h"
#include "papayastep/health/grayfailureestimator.h"
#include "papayastep/health/recoveryconfirmation.h"

#include <optional>

namespace papayastep::health {

/// Change of a ServerHold by one piece of evidence.
enum class HoldChange {
    None,
    Held, ///< The server is held from now on.
    /// The server answered for the first time since it was held or, if its recovery has to be confirmed, often enough.
    Returned,
};

/// Withholds requests from one backend server while it is probably in a gray failure, and admits trial requests to
/// detect the end of the failure.
class ServerHold
{
public:
    explicit ServerHold(base::TimePoint now, const RecoverySettings &recovery = {});

    /// Whether an attempt may be given to the server now.
    bool admits(bool idempotent, base::TimePoint now) const;

    /// The first attempt that starts above the trial threshold becomes the trial request.
    void started(const AttemptKey &attempt, base::TimePoint now);
    /// `relativeTime` is the run time as a fraction of the usual one.
    HoldChange ended(const AttemptKey &attempt, AttemptOutcome outcome, double relativeTime, base::TimePoint now);
    /// Records that an attempt has run for several times the usual run time. Its hold ends by time in any case: a long
    /// run at a server whose usual run time is not yet known is no proof of a failure.
    HoldChange recordOverdue(base::TimePoint now);

    /// Probability of a gray failure, 0 to 1, as it is reported to entries. While a recovery has to be confirmed, it
    /// shows whether a trial request is due.
    double grayProbability(base::TimePoint now) const;
    /// Whether the server was held and has not returned since.
    bool isHeldBack() const;
    const RecoveryConfirmation &recovery() const;

private:
    HoldChange recordAnswer(bool isTrial, base::TimePoint now);
    HoldChange holdIfGray(bool wasHeld, base::TimePoint now);

    GrayFailureEstimator m_estimator;
    RecoveryConfirmation m_recovery;
    std::optional<AttemptKey> m_trialAttempt;
    bool m_heldBack = false;
};

}
