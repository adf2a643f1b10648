#pragma once

#include "papayastep/health/serverhold.h"
#include "papayastep/limits/slotqueue.h"
#include "papayastep/routing/retrybudget.h"
#include "papayastep/routing/serverannouncements.h"

#include <map>
#include <optional>
#include <vector>

namespace papayastep::routing {

/// Settings of a ServerAdmission.
struct ServerAdmissionSettings
{
    health::RecoverySettings recovery;
    limits::SlotQueueSettings queue = limits::backendServerQueueSettings();
};

/// Decides which attempts start at one backend server of this VM, and when: the queue in front of its slots, the limit
/// while it is cold, the limit that it names itself, the hold while it has a gray failure, its part of the retry
/// budget, and the refusals while it is drained, evacuated or about to end. It does no I/O.
///
/// It is for a service that is overloaded, and for servers that return cold together: an attempt that can't start in
/// time is refused at once, with the time after which it could.
class ServerAdmission
{
public:
    ServerAdmission(const base::Clock &clock,
                    const config::BackendServer &server,
                    const ServerAdmissionSettings &settings = {});

    /// Applies the configured entry of the server; `server` is null if there is none. `canBeProbed` is whether its
    /// service has a health endpoint. If the server must get no new requests, its queued attempts are dropped, so that
    /// the entries can send them elsewhere at once.
    void configure(const config::BackendServer *server, const config::ColdStart &coldStart, bool canBeProbed);

    const config::BackendServer &server() const;
    /// Whether the configuration does not contain the server and no attempt remains, so that this object may be
    /// destroyed.
    bool isUnused() const;
    /// Whether the server refused a connection and has not answered since.
    bool isDown() const;

    /// Returns the code with which every attempt is refused, regardless of its request: the server is gone or
    /// about to end, evacuated or down. Empty if the server may get new requests.
    std::optional<base::ResultCode> refusalCode() const;
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
    /// Records what the server announced in an answer. If it announced its end, queued attempts are dropped, so that
    /// the entries can send them elsewhere at once; so are those that can't start in time within a limit.
    void recordAnnouncement(const ServerAnnouncement &announcement, const AnnouncementSource &source);
    /// Takes over what is remembered elsewhere of the server's announcements.
    void adopt(const ServerNotice &notice);
    /// Forgets announcements that are outdated.
    void expireAnnouncements();
    /// What is in force of the server's announcements.
    const AnnouncedState &announced() const;
    /// Whether the limit in force admits a probe of a server that is ejected. The probe counts as sent.
    bool takeEjectionProbe();
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
    void applyAnnouncements();

    const base::Clock &m_clock;
    config::BackendServer m_server;
    bool m_canBeProbed = false;
    bool m_isDown = false; ///< The server refused a connection and has not answered since.
    bool m_removed = false; ///< The configuration does not contain the server.
    ServerAnnouncements m_announcements;
    limits::SlotQueue m_queue;
    health::ServerHold m_hold;
    RetryBudget m_retryBudget;
    std::optional<base::TimePoint> m_probedAt; ///< Time of the last probe that takeProbeDue() counted as sent.
};

}
