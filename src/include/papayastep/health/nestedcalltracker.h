#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/health/attempt.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// Whether a run may be repeated, or is a repeat itself.
enum class RunKind {
    Once, ///< Its request must not run twice.
    Repeatable, ///< The first run of an idempotent request.
    Repeat, ///< An earlier attempt of its request may have run, too.
};

/// Distinguishes nested calls, which backend servers of this VM make while they run a request, from requests of
/// callers, and detects whether a run failed because one of its nested calls did.
///
/// A backend server sends its nested calls to the node of its own VM, as callers send their requests. Nothing
/// identifies the run that a nested call belongs to, but the call's deadline is not later than that of its run, and a
/// run whose nested call failed ends at once.
class NestedCallTracker
{
public:
    explicit NestedCallTracker(const base::Clock &clock);

    /// `deadline` is the one that was sent to the backend server, and `priority` that of the request; 0 is the most
    /// urgent.
    void runStarted(const AttemptKey &run,
                    base::TimePoint deadline,
                    RunKind kind = RunKind::Repeatable,
                    int priority = 0);
    void runEnded(const AttemptKey &run);

    /// Whether a request with this deadline may be a nested call of a current run.
    bool mayBeNestedCall(base::TimePoint deadline) const;

    /// Returns the probability that a nested call with this deadline was made by a repeated run: the share of repeats
    /// among the current runs that may have made it. Runs of requests that must not run twice are left out. They are
    /// never repeats, and counting those that make no calls would underestimate the probability.
    double repeatShare(base::TimePoint deadline) const;

    /// Returns the priority of the least urgent current run that may have made a nested call with this deadline; empty
    /// if there is no such run.
    std::optional<int> leastUrgentPriority(base::TimePoint deadline) const;

    /// Records that a request with this deadline, which may be a nested call, failed or got no answer.
    void callFailed(base::TimePoint deadline);

    /// Whether a failed nested call caused the failure with which `run` ends now. Each failed call explains the failure
    /// of one run only.
    bool explainsFailure(const AttemptKey &run);

private:
    struct Run
    {
        base::TimePoint started;
        base::TimePoint deadline;
        RunKind kind;
        int priority;
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
