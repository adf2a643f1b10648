#pragma once

#include "papayastep/health/pausewatch.h"
#include "papayastep/health/runcalls.h"
#include "papayastep/health/serverhold.h"
#include "papayastep/limits/slotqueue.h"
#include "papayastep/net/httpclient.h"
#include "papayastep/net/signal.h"
#include "papayastep/node/nodecontext.h"
#include "papayastep/node/servedanswer.h"
#include "papayastep/routing/attemptregistry.h"
#include "papayastep/wire/slotask.h"

#include <map>
#include <memory>
#include <optional>

namespace papayastep::node {

/// Slots of the backend servers of this VM, for one service.
struct SlotUse
{
    int slots = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t heldBackServers = 0; ///< Servers taken for gray.

    SlotUse &operator+=(const SlotUse &other)
    {
        slots += other.slots;
        running += other.running;
        queued += other.queued;
        heldBackServers += other.heldBackServers;
        return *this;
    }

    auto operator<=>(const SlotUse &) const = default;
};

/// The serving side: takes attempts for the backend servers of this VM, queues them fairly, runs them, and can say
/// of each whether it was started. It says `not-run` only of an attempt that it will never start.
class ServingNode
{
public:
    explicit ServingNode(NodeContext &context);
    ~ServingNode();

    /// Runs one attempt. `request` holds the caller's end-to-end headers without any key. `suspect` is called at most
    /// once, when the attempt seems to hang.
    net::Awaitable<ServedAnswer> serve(wire::HopRequest hop, net::ClientRequest request, std::function<void()> suspect);

    /// What would become of a request at a backend server of this VM now. Promises nothing.
    wire::SlotOffer offerFor(const wire::SlotAsk &ask);

    /// The entry asks to cancel; the attempt may not have come yet.
    routing::CancelAnswer cancel(const wire::CancelAttempt &cancel, const routing::SentStamp &stamp);

    /// The entry that waits for this attempt is gone, so an idempotent one need not go on.
    void entryDisconnected(const base::RequestId &request, int attempt);

    /// Runs at the backend servers of this VM, which may make calls.
    health::RunCalls &runCalls();

    void applyConfiguration();

    /// Starts and drops queued attempts that are due.
    void poll();
    void tick();
    std::optional<base::TimePoint> nextTick();

    /// Attempts queued or running.
    std::size_t inFlight() const;
    std::size_t queued() const;
    std::map<base::ServiceId, SlotUse> slotUse() const;

private:
    struct ActiveAttempt;
    struct LocalServer;
    class BackendBody;
    using ActiveAttemptPtr = std::shared_ptr<ActiveAttempt>;

    LocalServer *findLocalServer(const base::BackendServerId &server);
    std::optional<base::ResultCode> checkKey(const wire::HopRequest &hop) const;
    std::optional<base::ResultCode> checkServer(const base::BackendServerId &server,
                                                bool idempotent,
                                                bool lastResort = false);
    base::TimePoint overdueAt(const ActiveAttempt &activeAttempt);
    bool mayBecomeOverdue(const ActiveAttempt &activeAttempt);
    base::Duration expectedRun(const LocalServer &localServer, const base::RouteId &route) const;
    void checkOverdueAttempts();
    limits::QueueOffer queueOffer(const ActiveAttempt &activeAttempt) const;
    bool isHeldBack(const LocalServer &localServer, bool idempotent) const;
    std::optional<base::ResultCode> registerAttempt(ActiveAttempt &activeAttempt);
    net::Awaitable<void> waitForSlot(ActiveAttemptPtr activeAttempt);
    net::Awaitable<void> runOnBackend(ActiveAttemptPtr activeAttempt, net::ClientRequest request);
    void finishAttempt(ActiveAttempt &activeAttempt, health::AttemptOutcome outcome);
    void recordEntry(LocalServer &localServer, const base::VmId &entry);
    void notifyHold(const LocalServer &localServer, std::string_view evidence);
    void recordOutcome(LocalServer &localServer, const ActiveAttempt &activeAttempt, health::AttemptOutcome outcome);
    ServedAnswer answerOf(const ActiveAttemptPtr &activeAttempt);
    health::AttemptOutcome outcomeOf(const ActiveAttempt &activeAttempt, net::http::status status);
    ServedAnswer refusedByServer(const ActiveAttemptPtr &activeAttempt);
    ServedAnswer refusalOf(const ActiveAttempt &activeAttempt, base::ResultCode code, base::Duration retryAfter);
    void logRefusal(const ActiveAttempt &activeAttempt, const wire::HopReply &reply) const;
    wire::HopReply replyOf(const ActiveAttempt &activeAttempt) const;
    base::BackendServerId advise(const ActiveAttempt &activeAttempt);

    NodeContext &m_context;
    health::PauseWatch m_pauses;
    health::RunCalls m_runCalls;
    routing::AttemptRegistry m_registry;
    std::map<base::BackendServerId, std::unique_ptr<LocalServer>> m_localServers;
    std::map<limits::AttemptId, ActiveAttemptPtr> m_attempts;
};

}
