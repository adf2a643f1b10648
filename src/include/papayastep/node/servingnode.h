#pragma once

#include "papayastep/health/nestedcalltracker.h"
#include "papayastep/health/pausedetector.h"
#include "papayastep/net/httpclient.h"
#include "papayastep/net/signal.h"
#include "papayastep/node/nodecontext.h"
#include "papayastep/node/servedanswer.h"
#include "papayastep/routing/attemptregistry.h"
#include "papayastep/routing/serveradmission.h"
#include "papayastep/wire/slotquery.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayastep::node {

/// Usage of the slots of this VM's backend servers for one service.
struct SlotUse
{
    int slots = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t overflowing = 0; ///< Number of those queued attempts that are not expected to start soon.
    std::size_t heldBackServers = 0; ///< Number of servers that are held back as gray.
    std::size_t coldServers = 0; ///< Number of servers that are, or may be, cold.
    std::size_t downServers = 0; ///< Number of servers that refused a connection and have not answered since.
    std::size_t limitedServers = 0; ///< Number of servers that name a limit of requests.
    std::size_t leavingServers = 0; ///< Number of servers that announce their end.

    SlotUse &operator+=(const SlotUse &other)
    {
        slots += other.slots;
        running += other.running;
        queued += other.queued;
        overflowing += other.overflowing;
        heldBackServers += other.heldBackServers;
        coldServers += other.coldServers;
        downServers += other.downServers;
        limitedServers += other.limitedServers;
        leavingServers += other.leavingServers;
        return *this;
    }

    auto operator<=>(const SlotUse &) const = default;
};

/// State of one backend server of this VM, for operators.
struct LocalServerStatus
{
    base::BackendServerId id;
    base::ServiceId service;
    routing::AnnouncedState announced;
    std::uint64_t starts = 0; ///< Attempts that started since this process did.

    auto operator<=>(const LocalServerStatus &) const = default;
};

/// The serving side of a node: accepts attempts for the backend servers of this VM, queues them fairly, runs them, and
/// can report for each whether it was started. It reports `not-run` only for an attempt that it will never start.
class ServingNode
{
public:
    explicit ServingNode(NodeContext &context);
    ~ServingNode();

    /// Runs one attempt. `request` contains the end-to-end headers of the caller without any key. `onHangSuspected` is
    /// called at most once, when the attempt seems to hang.
    net::Awaitable<ServedAnswer> serve(wire::HopRequest hop,
                                       net::ClientRequest request,
                                       std::function<void()> onHangSuspected);

    /// Returns an estimate of how a request would be handled by a backend server of this VM now. It reserves no slot.
    wire::SlotOffer offerFor(const wire::SlotQuery &ask);

    /// Handles the cancel request of an entry. The attempt may not have arrived yet.
    routing::CancelAnswer cancel(const wire::CancelAttempt &cancel, const routing::SentStamp &stamp);

    /// Reports that the entry no longer waits for this attempt, so that an idempotent attempt can be stopped.
    void entryDisconnected(const base::RequestId &request, int attempt);

    /// The attempts that run at the backend servers of this VM and may make calls to other services.
    health::NestedCallTracker &runCalls();

    void applyConfiguration();

    /// Returns the backend servers of this VM that must be probed now, because they are down or may be cold. Each probe
    /// counts as sent, and its result must be passed to probeFinished().
    std::vector<base::BackendServerId> takeProbesDue();
    /// `answered` is whether the server answered, healthy or not, and `coldTime` the remaining time for which it
    /// reported to be cold.
    void probeFinished(const base::BackendServerId &server, bool answered, std::optional<base::Duration> coldTime);
    /// Whether the limit that the server names admits a probe that shows whether it can be used again. The probe counts
    /// as sent.
    bool takeEjectionProbe(const base::BackendServerId &server);
    /// Records what a backend server of this VM announced in the head of an answer.
    void recordAnnouncement(const base::BackendServerId &server,
                            const routing::ServerAnnouncement &announcement,
                            const routing::AnnouncementSource &source);

    /// Starts queued attempts whose turn it is and drops those whose time has run out.
    void poll();
    void tick();
    std::optional<base::TimePoint> nextTick();

    /// Removes state without recent use. To be called every few seconds.
    void sweep();

    /// Number of attempts that are queued or running.
    std::size_t inFlight() const;
    std::size_t queued() const;
    std::map<base::ServiceId, SlotUse> slotUse() const;
    std::vector<LocalServerStatus> localServers() const;
    /// Number of header fields by which servers announced something that nothing reads.
    std::uint64_t unknownAnnouncements() const;

    /// Counts of the attempts that waited in the overflow of the queues of this VM.
    limits::OverflowCounters overflowCounters() const;
    /// Counts of the retries that were requested of the backend servers of this VM.
    routing::RetryBudgetCounters retryCounters() const;
    /// The retries that the backend servers of this VM would accept now, by service.
    std::map<base::ServiceId, double> availableRetries() const;

private:
    struct ActiveAttempt;
    struct LocalServer;
    class BackendBody;
    using ActiveAttemptPtr = std::shared_ptr<ActiveAttempt>;

    LocalServer *findLocalServer(const base::BackendServerId &server);
    void configure(LocalServer &localServer, const base::BackendServerId &id);
    void announcementsChanged(const LocalServer &localServer,
                              const routing::AnnouncedState &before,
                              std::string_view source);
    void adoptNotice(const wire::HopRequest &hop);
    std::optional<base::ResultCode> checkServerEnds(const wire::HopRequest &hop, const net::ClientRequest &request);
    bool mayHaveEndedServer(const ActiveAttempt &activeAttempt);
    net::Endpoint endpointOf(const ActiveAttempt &activeAttempt);
    std::optional<base::ResultCode> checkKey(const wire::HopRequest &hop) const;
    std::optional<base::ResultCode> checkServer(const base::BackendServerId &server,
                                                bool idempotent,
                                                bool lastResort = false);
    base::TimePoint overdueAt(const ActiveAttempt &activeAttempt);
    bool mayBecomeOverdue(const ActiveAttempt &activeAttempt);
    base::Duration expectedRun(const LocalServer &localServer, const base::RouteId &route) const;
    void checkOverdueAttempts();
    limits::QueueOffer queueOffer(const ActiveAttempt &activeAttempt) const;
    std::optional<base::ResultCode> registerAttempt(ActiveAttempt &activeAttempt);
    std::optional<base::ResultCode> takeRetry(const wire::HopRequest &hop);
    void returnRetry(const wire::HopRequest &hop);
    net::Awaitable<void> waitForSlot(ActiveAttemptPtr activeAttempt);
    net::Awaitable<void> runOnBackend(ActiveAttemptPtr activeAttempt, net::ClientRequest request);
    void finishAttempt(ActiveAttempt &activeAttempt, health::AttemptOutcome outcome);
    void recordEntry(LocalServer &localServer, const base::VmId &entry);
    void notifyHold(const LocalServer &localServer, std::string_view evidence);
    void dropNonRetryableOverflow(LocalServer &localServer);
    void recordOutcome(LocalServer &localServer, const ActiveAttempt &activeAttempt, health::AttemptOutcome outcome);
    ServedAnswer answerOf(const ActiveAttemptPtr &activeAttempt);
    health::AttemptOutcome outcomeOf(const ActiveAttempt &activeAttempt, unsigned status);
    ServedAnswer refusedByServer(const ActiveAttemptPtr &activeAttempt);
    ServedAnswer refusalOf(const ActiveAttempt &activeAttempt, base::ResultCode code, base::Duration retryAfter);
    void logOverflow(const ActiveAttempt &activeAttempt, const limits::SlotQueue &queue) const;
    void logRefusal(const ActiveAttempt &activeAttempt, const wire::HopReply &reply) const;
    wire::HopReply replyOf(const ActiveAttempt &activeAttempt) const;
    base::BackendServerId advise(const ActiveAttempt &activeAttempt);

    NodeContext &m_context;
    health::PauseDetector m_pauses;
    base::TimePoint m_lastTick; ///< A pause that ended since then has not been passed on to m_localServers.
    health::NestedCallTracker m_runCalls;
    routing::AttemptRegistry m_registry;
    std::map<base::BackendServerId, std::unique_ptr<LocalServer>> m_localServers;
    std::map<limits::AttemptId, ActiveAttemptPtr> m_attempts;
    std::set<std::string> m_unknownFields; ///< Names of unknown announcements that were logged.
    std::uint64_t m_unknownAnnouncements = 0;
    limits::OverflowCounters m_formerOverflow; ///< Counts of servers that were removed from this VM.
    routing::RetryBudgetCounters m_formerRetries; ///< Counts of servers that were removed from this VM.
};

}
