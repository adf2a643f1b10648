#pragma once

#include "papayastep/health/serverhold.h"
#include "papayastep/limits/slotqueue.h"
#include "papayastep/routing/retrybudget.h"

#include <map>
#include <optional>
#include <vector>

namespace papayastep::routing {

/// Decides which attempts start at one backend server of this VM, and when: the queue in front of its slots, the limit
/// while it is cold, the hold while it has a gray failure, its part of the retry budget, and the refusals while it is
/// drained or evacuated. It does no I/O.
///
/// It answers the load of an overloaded service and of servers that return cold together: what can't start in time is
/// refused at once, with the time after which it could.
class ServerAdmission
{
public:
    ServerAdmission(const base::Clock &clock, const config::BackendServer &server);

    /// Applies the present entry of the server, or marks it as removed if `server` is null. If the server gets no new
    /// requests from now on, its queued attempts are dropped, so that the entries can send them elsewhere at once.
    /// `canBeProbed` is whether the service has a health endpoint.
    void configure(const config::BackendServer *server, const config::ColdStart &coldStart, bool canBeProbed);

    const config::BackendServer &server() const;
    bool isRemoved() const;
    /// Whether the server was removed and no attempt of it remains, so that this object may be destroyed.
    bool isUnused() const;
    /// Whether the server refused a connection and has not answered since.
    bool isDown() const;

    /// Returns the code with which all attempts are refused, regardless of the request; empty if the server may get new
    /// requests.
    std::optional<base::ResultCode> closedCode() const;
    /// Whether attempts are refused because the server is held back as gray. Such a refusal proves that the request did
    /// not run, so that the entry can send it to another server at once. The trial request that shows the state of the
    /// server should be idempotent, so that it may fail.
    bool isHeldBack(bool idempotent) const;
    /// Returns the probability that the server has a gray failure, in percent.
    std::uint8_t grayPercent() const;

    /// Records the end of an attempt, which may show that the server was restarted. `answered` is whether the head of
    /// an answer was received.
    void recordEnd(health::AttemptOutcome outcome, bool answered);
    /// Records that no connection to the server could be established. If it can be probed, it gets no attempts until a
    /// probe is answered: each one would only lose time on its way to another server.
    void recordConnectionFailure();
    /// Records that the process was paused, so that a restart of the server may have gone unnoticed.
    void recordPause();
    /// Records the result of a probe: the time for which the server is cold, if it reported one.
    void recordProbe(bool answered, std::optional<base::Duration> coldTime);
    /// Whether a probe is due that shows whether the server is up or cold. The probe counts as sent.
    bool takeProbeDue();
    /// Time of the next such probe; empty if none is needed.
    std::optional<base::TimePoint> nextProbe() const;

    limits::SlotQueue &queue();
    const limits::SlotQueue &queue() const;
    health::ServerHold &hold();
    const health::ServerHold &hold() const;
    RetryBudget &retryBudget();
    const RetryBudget &retryBudget() const;

private:
    const base::Clock &m_clock;
    config::BackendServer m_server;
    bool m_canBeProbed = false;
    bool m_isDown = false; ///< The server refused a connection and has not answered since.
    bool m_removed = false; ///< The server is no longer configured; it is kept until its attempts have ended.
    limits::SlotQueue m_queue;
    health::ServerHold m_hold;
    RetryBudget m_retryBudget;
    std::optional<base::TimePoint> m_probedAt; ///< Time of the last probe that takeProbeDue() ordered.
};

}
