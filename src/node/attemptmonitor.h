#pragma once

#include "papayastep/net/signal.h"
#include "papayastep/node/attempt.h"
#include "papayastep/routing/retrypolicy.h"

#include <optional>
#include <set>

namespace papayastep::node {

/// Monitors the attempts of a request at its entry, one after the other: their results, their timeouts and their
/// pending cancel requests. It reports each event once; the retry policy decides what to do about it.
class AttemptMonitor
{
public:
    /// `changed` is notified whenever the state of the request may have changed.
    AttemptMonitor(NodeContext &context, net::Signal &changed);
    ~AttemptMonitor();

    AttemptMonitor(const AttemptMonitor &) = delete;
    AttemptMonitor &operator=(const AttemptMonitor &) = delete;

    /// Starts `attempt` and monitors it; the previous attempt is abandoned.
    void begin(AttemptPtr attempt, const routing::AttemptTimeouts &timeouts, net::ClientRequest request);

    /// Waits for the next event. `deadline` and `callerGone` are read again at each change; `callerGone` is true once
    /// the caller of the request has disconnected.
    net::Awaitable<routing::AttemptResult> next(const base::TimePoint &deadline, const bool &callerGone);

    /// Sends cancel requests to the serving node until it answers or the timeout for cancels has passed. With `stop`,
    /// the serving node also stops the attempt if it is running.
    void beginCancel(bool stop);

    /// Abandons the attempt and closes its connection, which notifies the serving node.
    void abandon();

    /// Ends the monitoring and returns the attempt.
    AttemptPtr release();

    /// Null before the first attempt.
    Attempt *attempt() const;

    /// The backend server that the last refusal suggested instead; may be empty.
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
    std::set<routing::AttemptEvent> m_reported; ///< Timeouts of this attempt that have been reported.
    bool m_resultTaken
        = false; ///< The end of the attempt has been reported; only the answer to a cancel request is pending.
    bool m_cancelling = false;
    bool m_cancelStopsAttempt = false;
};

}
