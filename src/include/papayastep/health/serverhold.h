#pragma once

#include "papayastep/health/attempt.h"
#include "papayastep/health/grayfailureestimator.h"

#include <optional>

namespace papayastep::health {

/// What a piece of evidence changed about a server.
enum class HoldChange {
    None,
    Held, ///< It is held back from now on.
    Returned, ///< It answered for the first time since it was held back.
};

/// Holds one backend server back while it seems to be in a spell of gray failure, and lets scouts through that show
/// when the spell is over.
class ServerHold
{
public:
    explicit ServerHold(base::TimePoint now);

    /// Whether an attempt may be given to the server now.
    bool admits(bool idempotent, base::TimePoint now) const;

    /// The first attempt that starts while the server is in doubt is its scout.
    void started(const AttemptKey &attempt, base::TimePoint now);
    HoldChange ended(const AttemptKey &attempt, AttemptOutcome outcome, base::TimePoint now);
    /// An attempt has run for several times the usual.
    HoldChange recordOverdue(base::TimePoint now);

    /// How likely the server is in a spell, 0 to 1.
    double grayProbability(base::TimePoint now) const;
    /// Was found gray, and has not answered since.
    bool isHeldBack() const;

private:
    HoldChange recordFailure(bool wasHeld, base::TimePoint now);

    GrayFailureEstimator m_estimator;
    std::optional<AttemptKey> m_trialAttempt;
    bool m_heldBack = false;
};

}
