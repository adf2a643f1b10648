#pragma once

#include "papayastep/health/nestedcalltracker.h"
#include "papayastep/health/pausedetector.h"
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
    std::size_t heldBack = 0; ///< Servers taken for gray.

    SlotUse &operator+=(const SlotUse &other)
    {
        slots += other.slots;
        running += other.running;
        queued += other.queued;
        heldBack += other.heldBack;
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
    void entryGone(const base::RequestId &request, int attempt);

    /// Runs at the backend servers of this VM, which may make calls.
    health::NestedCallTracker &runCalls();

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
    struct Work;
    struct Lane;
    class BackendBody;
    using WorkPtr = std::shared_ptr<Work>;

    Lane *laneOf(const base::BackendServerId &server);
    std::optional<base::ResultCode> checkKey(const wire::HopRequest &hop) const;
    std::optional<base::ResultCode> checkServer(const base::BackendServerId &server,
                                                bool idempotent,
                                                bool lastResort = false);
    base::TimePoint overdueAt(const Work &work);
    bool mayBecomeOverdue(const Work &work);
    base::Duration expectedRun(const Lane &lane, const base::RouteId &route) const;
    void watchOverdue();
    limits::QueueOffer offerOf(const Work &work) const;
    bool isHeldBack(const Lane &lane, bool idempotent) const;
    std::optional<base::ResultCode> beginWork(Work &work);
    net::Awaitable<void> waitForSlot(WorkPtr work);
    net::Awaitable<void> runOnBackend(WorkPtr work, net::ClientRequest request);
    void finishWork(Work &work, health::AttemptOutcome outcome);
    void noteEntry(Lane &lane, const base::VmId &entry);
    void tellHeld(const Lane &lane, std::string_view evidence);
    void noteOutcome(Lane &lane, const Work &work, health::AttemptOutcome outcome);
    ServedAnswer answerOf(const WorkPtr &work);
    health::AttemptOutcome outcomeOf(const Work &work, net::http::status status);
    ServedAnswer refusedByServer(const WorkPtr &work);
    ServedAnswer refusalOf(const Work &work, base::ResultCode code, base::Duration retryAfter);
    void logRefusal(const Work &work, const wire::HopReply &reply) const;
    wire::HopReply replyOf(const Work &work) const;
    base::BackendServerId advise(const Work &work);

    NodeContext &m_context;
    health::PauseDetector m_pauses;
    health::NestedCallTracker m_runCalls;
    routing::AttemptRegistry m_registry;
    std::map<base::BackendServerId, std::unique_ptr<Lane>> m_lanes;
    std::map<limits::AttemptId, WorkPtr> m_work;
};

}
