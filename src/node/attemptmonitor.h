#pragma once

#include "papayastep/net/signal.h"
#include "papayastep/node/attempt.h"
#include "papayastep/routing/retrypolicy.h"

#include <optional>
#include <set>

namespace papayastep::node {

/// Follows one attempt after the other for an entry: what was heard of it, what is overdue, whether a cancel is open.
/// Tells each such event once; what follows from it is the retry policy's to decide.
class AttemptMonitor
{
public:
    /// `changed` is notified by whoever has news for the request.
    AttemptMonitor(NodeContext &context, net::Signal &changed);
    ~AttemptMonitor();

    AttemptMonitor(const AttemptMonitor &) = delete;
    AttemptMonitor &operator=(const AttemptMonitor &) = delete;

    /// Begins with `attempt`; the one before is abandoned.
    void begin(AttemptPtr attempt, const routing::AttemptTimeouts &timeouts, net::ClientRequest request);

    /// Waits for the next event. `deadline` may be moved meanwhile. The caller of the request has gone when
    /// `callerGone` says so.
    net::Awaitable<routing::AttemptResult> next(const base::TimePoint &deadline, const bool &callerGone);

    /// Asks the serving node to cancel, until it answers or the timeout for cancels has passed. With `stop`, also to
    /// stop the attempt if it runs.
    void beginCancel(bool stop);

    /// No more interest in the attempt: its connection is closed, so that its serving node hears of it.
    void abandon();

    /// Ends the watch and hands the attempt over.
    AttemptPtr release();

    /// Null before the first attempt.
    Attempt *attempt() const;

    /// The sibling that the last refusal named as better placed; may be empty.
    const base::BackendServerId &advice() const;

private:
    routing::AttemptResult attemptResult();
    std::optional<routing::AttemptResult> cancelResult(base::TimePoint now);
    std::optional<routing::AttemptResult> timeoutReached(base::TimePoint now, base::TimePoint deadline);
    std::optional<routing::AttemptResult> reportOnce(routing::AttemptEvent event, base::ResultCode code);
    base::TimePoint nextTimeout(base::TimePoint deadline) const;
    void resendCancel(base::TimePoint now);

    NodeContext &m_context;
    net::Signal &m_changed;
    AttemptPtr m_attempt;
    routing::AttemptTimeouts m_timeouts;
    base::BackendServerId m_advice;
    base::TimePoint m_cancelSince;
    base::TimePoint m_cancelSentAt;
    std::set<routing::AttemptEvent> m_reported; ///< Timeouts of this attempt that were told already.
    bool m_resultTaken = false; ///< The end of the attempt was told; what is awaited now is word of a cancel.
    bool m_cancelling = false;
    bool m_cancelStopsAttempt = false;
};

}
