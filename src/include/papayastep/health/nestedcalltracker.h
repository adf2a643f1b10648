#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/health/attempt.h"

#include <deque>
#include <unordered_map>

namespace papayastep::health {

/// Tells calls that backend servers of this VM make in their runs from requests of callers, and whether a run failed
/// because a call of it did.
///
/// A backend server sends its calls to the node of its own VM, as callers send their requests. Nothing names the run
/// that a call belongs to, but a call ends with its run at the latest, and a run whose call failed ends at once.
class NestedCallTracker
{
public:
    explicit NestedCallTracker(const base::Clock &clock);

    /// `deadline` as the backend server was told.
    void runStarted(const AttemptKey &run, base::TimePoint deadline);
    void runEnded(const AttemptKey &run);

    /// Whether a request with this deadline may be a call of a run that is at work.
    bool mayBeNestedCall(base::TimePoint deadline) const;

    /// A request with this deadline, which may be a call, got no answer or a failure.
    void callFailed(base::TimePoint deadline);

    /// Whether the failure with which `run` ends now follows from a failed call. Each failed call explains the end of
    /// one run.
    bool explainsFailure(const AttemptKey &run);

private:
    struct Run
    {
        base::TimePoint started;
        base::TimePoint deadline;
    };
    struct FailedCall
    {
        base::TimePoint failedAt;
        base::TimePoint deadline;
    };

    void expire();

    const base::Clock &m_clock;
    std::unordered_map<AttemptKey, Run> m_runs;
    std::deque<FailedCall> m_failedCalls; ///< Oldest first.
};

}
