#include "papayastep/node/servingnode.h"

#include "papayastep/base/log.h"
#include "papayastep/health/runestimate.h"
#include "papayastep/node/candidates.h"

#include <algorithm>

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "serving";

using base::ResultCode;

/// Where an answer is wanted by a certain time, three tenths of the time from there to the deadline are still used.
/// Most of a run must fit before the deadline, or it only takes the slot from another.
limits::SlotQueueSettings queueSettings()
{
    limits::SlotQueueSettings settings;
    settings.roomForRun = 0.7;
    settings.lateness = 0.3;
    settings.slackForWaiting = 0.25;
    return settings;
}

/// Entries that sent nothing for so long have likely lost what they knew of the server anyway.
constexpr base::Duration entryMemory = std::chrono::seconds(5);
/// Bounds what a notice costs in a large fleet; the other entries find out by a refusal.
constexpr std::size_t mostNotified = 32;

/// Above it an attempt that hangs is worth running once more elsewhere. Below
/// GrayFailureEstimatorSettings::maxProbability, which no belief exceeds.
constexpr double suspectAbove = 0.85;
static_assert(suspectAbove < health::GrayFailureEstimatorSettings().maxProbability);

/// Bounds the ratio of two run times where runs take next to nothing.
constexpr base::Duration shortestMean = std::chrono::microseconds(1);

std::int64_t microseconds(base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

std::uint32_t milliseconds(base::Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

health::AttemptOutcome outcomeOfAnswer(AnswerVerdict verdict, net::http::status status)
{
    if (verdict == AnswerVerdict::OtherServer) {
        return health::AttemptOutcome::CancelledByUs;
    }
    if (verdict == AnswerVerdict::NotRun || status == net::http::status::service_unavailable
        || status == net::http::status::too_many_requests) {
        return health::AttemptOutcome::Shed;
    }
    return static_cast<unsigned>(status) >= 500 ? health::AttemptOutcome::Error : health::AttemptOutcome::Success;
}

bool isFailure(health::AttemptOutcome outcome)
{
    return outcome == health::AttemptOutcome::Error || outcome == health::AttemptOutcome::Partial
        || outcome == health::AttemptOutcome::Timeout;
}

}

/// A backend server of this VM with its queue.
struct ServingNode::Lane
{
    Lane(const base::Clock &clock, const config::BackendServer &configured)
        : server(configured)
        , queue(clock, configured.slots, queueSettings())
        , hold(clock.now())
        , lastStart(clock.now())
    {
    }

    /// How likely the server is in a gray spell, in percent.
    std::uint8_t grayPercent(base::TimePoint now) const
    {
        return static_cast<std::uint8_t>(100 * hold.grayProbability(now));
    }

    config::BackendServer server;
    limits::SlotQueue queue;
    health::ServerHold hold;
    std::map<base::VmId, base::TimePoint> entries; ///< That sent attempts lately, and when.
    base::TimePoint lastStart; ///< Of any attempt.
    int offers = 0; ///< Made since then. Tells a server that nobody asks from one that is asked and not chosen.
    bool gone = false; ///< No longer configured; kept until its attempts have ended.
};

/// One attempt from its arrival to the end of its answer.
struct ServingNode::Work
{
    Work(net::asio::io_context &io, wire::HopRequest hopRequest, base::TimePoint arrival)
        : hop(std::move(hopRequest))
        , arrived(arrival)
        , changed(io)
    {
    }

    limits::AttemptId id() const
    {
        return {hop.requestId(), static_cast<int>(hop.attempt)};
    }
    health::AttemptKey healthKey() const
    {
        return {hop.requestId(), hop.attempt};
    }

    wire::HopRequest hop;
    base::TimePoint arrived;
    base::TimePoint deadline;
    base::TimePoint started;
    net::Signal changed;
    std::optional<limits::QueueDecision> decision;
    std::shared_ptr<net::HttpExchange> exchange;
    std::function<void()> suspect; ///< Tells the entry that the server seems to hang.
    AnswerVerdict verdict = AnswerVerdict::Answered;
    bool running = false;
    bool timedOut = false;
    bool stopped = false; ///< Nobody wants the answer any more.
    bool overdue = false; ///< Runs for several times the usual.
};

/// The rest of a large answer. Holds the slot of the backend server until its end.
class ServingNode::BackendBody final : public AnswerBody
{
public:
    BackendBody(ServingNode &serving, WorkPtr work)
        : m_serving(serving)
        , m_work(std::move(work))
    {
    }

    ~BackendBody() override
    {
        finish();
    }

    net::Awaitable<std::string> readPart() override
    {
        std::string part = co_await m_work->exchange->readPart();
        if (part.empty() || complete()) {
            finish();
        }
        co_return part;
    }

    bool complete() const override
    {
        return m_work->exchange->progress() == net::ExchangeProgress::Complete;
    }

private:
    void finish()
    {
        if (!m_work->running) {
            return;
        }
        const bool whole = complete();
        const bool broken = m_work->exchange->failure() != net::ExchangeFailure::None;
        auto outcome = whole ? health::AttemptOutcome::Success : health::AttemptOutcome::CancelledByUs;
        if (broken && !m_work->stopped) {
            outcome = m_work->timedOut ? health::AttemptOutcome::Timeout : health::AttemptOutcome::Partial;
        }
        m_serving.finishWork(*m_work, outcome);
    }

    ServingNode &m_serving;
    WorkPtr m_work;
};

ServingNode::ServingNode(NodeContext &context)
    : m_context(context)
    , m_pauses(context.clock)
    , m_runCalls(context.clock)
    , m_registry(context.clock)
{
}

ServingNode::~ServingNode() = default;

net::Awaitable<ServedAnswer> ServingNode::serve(wire::HopRequest hop,
                                                net::ClientRequest request,
                                                std::function<void()> suspect)
{
    auto work = std::make_shared<Work>(m_context.io, std::move(hop), m_context.clock.now());
    work->suspect = std::move(suspect);
    auto refused = checkKey(work->hop);
    if (!refused) {
        refused = checkServer(work->hop.server, work->hop.idempotent, work->hop.lastResort);
    }
    if (!refused) {
        refused = beginWork(*work);
    }
    if (refused) {
        co_return refusalOf(*work, *refused, {});
    }
    Lane &lane = *laneOf(work->hop.server);
    noteEntry(lane, work->hop.entry);
    const limits::Verdict verdict = lane.queue.offer(offerOf(*work));
    if (!verdict.accepted) {
        m_registry.drop({work->hop.requestId(), static_cast<int>(work->hop.attempt)});
        co_return refusalOf(*work, verdict.code, verdict.retryAfter);
    }
    m_work[work->id()] = work;
    poll();
    co_await waitForSlot(work);
    if (!work->decision || !work->decision->start) {
        m_work.erase(work->id());
        const auto code = work->decision ? work->decision->code : ResultCode::HopCancelled;
        const auto retryAfter = work->decision ? work->decision->retryAfter : base::Duration::zero();
        co_return refusalOf(*work, code, retryAfter);
    }
    // Much may have changed while it waited.
    refused = checkKey(work->hop);
    if (!refused) {
        refused = checkServer(work->hop.server, work->hop.idempotent, work->hop.lastResort);
    }
    if (!refused && !m_registry.start({work->hop.requestId(), static_cast<int>(work->hop.attempt)})) {
        refused = ResultCode::HopCancelled;
    }
    if (refused) {
        m_registry.drop({work->hop.requestId(), static_cast<int>(work->hop.attempt)});
        laneOf(work->hop.server)->queue.finished(work->id(), false);
        m_work.erase(work->id());
        m_context.schedulePump();
        co_return refusalOf(*work, *refused, {});
    }
    co_await runOnBackend(work, std::move(request));
    co_return answerOf(work);
}

wire::SlotOffer ServingNode::offerFor(const wire::SlotAsk &ask)
{
    wire::SlotOffer offer;
    offer.requestHigh = ask.requestHigh;
    offer.requestLow = ask.requestLow;
    offer.server = ask.server;
    const auto refused = checkServer(ask.server, ask.idempotent);
    Lane *lane = laneOf(ask.server);
    if (lane == nullptr || (refused && *refused != ResultCode::HopBackendServerEjected)) {
        offer.code = number(refused.value_or(ResultCode::HopBackendServerGone));
        return offer;
    }
    ++lane->offers;
    const auto now = m_context.clock.now();
    limits::QueueOffer wanted;
    wanted.workspace = ask.workspace;
    wanted.route = ask.route;
    wanted.isCall = ask.isCall;
    wanted.priority = ask.priority;
    wanted.deadline = now + base::Duration(ask.remaining);
    if (ask.wantedIn > 0) {
        wanted.wanted = now + base::Duration(ask.wantedIn);
    }
    const limits::Verdict verdict = lane->queue.quote(wanted);
    offer.code = number(verdict.code);
    offer.held = refused.has_value();
    offer.waitMicros = static_cast<std::uint32_t>(microseconds(verdict.retryAfter));
    offer.runMicros = static_cast<std::uint32_t>(microseconds(expectedRun(*lane, ask.route)));
    offer.grayPercent = lane->grayPercent(now);
    offer.idleMs = milliseconds(now - lane->lastStart);
    return offer;
}

routing::CancelAnswer ServingNode::cancel(const wire::CancelAttempt &cancel, const routing::SentStamp &stamp)
{
    const base::RequestId request{cancel.requestHigh, cancel.requestLow};
    const int attempt = static_cast<int>(cancel.attempt);
    const auto answer = m_registry.cancel({request, attempt}, stamp, base::Duration(cancel.remaining));
    const auto found = m_work.find({request, attempt});
    m_context.metrics.countCancel(routing::name(answer));
    PAPAYASTEP_LOG(INFO, logPrefix) << "Answered a cancel."
                                    << base::field("request",
                                                   found != m_work.end() ? found->second->hop.shownId()
                                                                         : toString(request))
                                    << base::field("attempt", attempt) << base::field("answer", routing::name(answer));
    if (found == m_work.end()) {
        return answer;
    }
    if (answer == routing::CancelAnswer::NeverStarted) {
        Lane *lane = laneOf(found->second->hop.server);
        lane->queue.cancel(found->second->id());
        found->second->stopped = true;
        found->second->changed.notify();
    } else if (cancel.stop) {
        entryGone(request, attempt);
    }
    return answer;
}

void ServingNode::entryGone(const base::RequestId &request, int attempt)
{
    const auto found = m_work.find({request, attempt});
    if (found == m_work.end()) {
        return;
    }
    Work &work = *found->second;
    if (!work.running && !work.decision) {
        // Still queued: whatever it is, nobody waits for it any more.
        m_registry.drop({request, attempt});
        laneOf(work.hop.server)->queue.cancel(work.id());
        work.stopped = true;
        work.changed.notify();
        return;
    }
    if (!work.hop.idempotent) {
        return; // It has begun and must not be left half done.
    }
    work.stopped = true;
    if (work.exchange) {
        work.exchange->cancel();
    }
}

health::NestedCallTracker &ServingNode::runCalls()
{
    return m_runCalls;
}

void ServingNode::applyConfiguration()
{
    const auto &configuration = *m_context.inForce.configuration;
    for (auto &[id, lane] : m_lanes) {
        const config::BackendServer *server = configuration.backendServer(id);
        lane->gone = server == nullptr || server->vm != m_context.settings.vm;
    }
    for (const config::BackendServer &server : configuration.backendServers()) {
        if (server.vm != m_context.settings.vm) {
            continue;
        }
        auto &lane = m_lanes[server.id];
        if (!lane) {
            lane = std::make_unique<Lane>(m_context.clock, server);
            PAPAYASTEP_LOG(INFO, logPrefix)
                << "Serves a backend server." << base::field("server", server.id) << base::field("slots", server.slots);
        }
        lane->server = server;
        lane->queue.setSlots(server.slots);
    }
    std::erase_if(m_lanes, [](const auto &entry) {
        return entry.second->gone && entry.second->queue.running() == 0 && entry.second->queue.queued() == 0;
    });
}

void ServingNode::poll()
{
    for (auto &[id, lane] : m_lanes) {
        for (const limits::QueueDecision &decision : lane->queue.poll()) {
            const auto found = m_work.find(decision.attempt);
            if (found == m_work.end()) {
                lane->queue.finished(decision.attempt, false);
                continue;
            }
            if (!decision.start) {
                m_registry.drop({decision.attempt.request, decision.attempt.attempt});
            }
            found->second->decision = decision;
            found->second->changed.notify();
        }
        m_context.health.setQueueLength(id, static_cast<int>(lane->queue.queued()));
    }
}

bool ServingNode::mayBecomeOverdue(const Work &work)
{
    const bool isWatched = work.running && !work.overdue && laneOf(work.hop.server) != nullptr;
    return isWatched && !m_pauses.pausedSince(work.started);
}

base::TimePoint ServingNode::overdueAt(const Work &work)
{
    const Lane &lane = *laneOf(work.hop.server);
    const base::Duration usual = m_context.health.usualLatency(lane.server.service);
    const limits::RunTimes &runs = lane.queue.runTimes();
    return work.started + health::overdueAfter(runs.mean(work.hop.route), runs.runs(work.hop.route), usual);
}

/// How long the next run of the route will take. How the server compares with its siblings grows old while it runs
/// nothing.
base::Duration ServingNode::expectedRun(const Lane &lane, const base::RouteId &route) const
{
    const limits::RunTimes &runs = lane.queue.runTimes();
    const base::Duration usual = m_context.health.usualLatency(lane.server.service);
    if (runs.runs() == 0) {
        return usual > base::Duration::zero() ? usual : runs.mean();
    }
    const auto idleSince = lane.queue.idleSince();
    const base::Duration age = idleSince ? m_context.clock.now() - *idleSince : base::Duration::zero();
    const std::chrono::duration<double> drifted = health::decayedLatency(runs.mean(), usual, age);
    const double slowness = drifted / std::max(runs.mean(), shortestMean);
    return std::chrono::duration_cast<base::Duration>(runs.mean(route) * slowness);
}

/// A server that hangs answers nobody, so no failure is seen until the deadlines pass. The age of what runs shows it
/// sooner; the entry is told, which may run it elsewhere while there is still time. It goes on here: the entry may have
/// no repeat left, and to break off what may only be slow would lose it.
void ServingNode::watchOverdue()
{
    const auto now = m_context.clock.now();
    for (const auto &[id, work] : m_work) {
        if (!mayBecomeOverdue(*work) || now < overdueAt(*work)) {
            continue;
        }
        Lane *lane = laneOf(work->hop.server);
        work->overdue = true;
        if (lane->hold.recordOverdue(now) == health::HoldChange::Held) {
            tellHeld(*lane, "overdue");
        }
        const bool mayMoveOn
            = work->hop.idempotent && work->deadline - now > lane->queue.runTimes().mean(work->hop.route);
        PAPAYASTEP_LOG(INFO, logPrefix) << "An attempt is overdue." << base::field("request", work->hop.shownId())
                                        << base::field("server", work->hop.server)
                                        << base::field("runMs", milliseconds(now - work->started))
                                        << base::field("usualMs",
                                                       milliseconds(lane->queue.runTimes().mean(work->hop.route)))
                                        << base::field("grayPercent", int{lane->grayPercent(now)});
        if (mayMoveOn && lane->hold.grayProbability(now) > suspectAbove) {
            work->suspect();
        }
    }
}

void ServingNode::tick()
{
    m_pauses.check();
    m_registry.tick();
    watchOverdue();
    poll();
}

std::optional<base::TimePoint> ServingNode::nextTick()
{
    std::optional<base::TimePoint> next;
    for (const auto &[id, lane] : m_lanes) {
        const auto due = lane->queue.nextTick();
        if (due && (!next || *due < *next)) {
            next = due;
        }
    }
    for (const auto &[id, work] : m_work) {
        if (mayBecomeOverdue(*work)) {
            const auto due = overdueAt(*work);
            next = std::min(next.value_or(due), due);
        }
    }
    return next;
}

std::size_t ServingNode::inFlight() const
{
    return m_work.size();
}

std::map<base::ServiceId, SlotUse> ServingNode::slotUse() const
{
    std::map<base::ServiceId, SlotUse> result;
    for (const auto &[id, lane] : m_lanes) {
        result[lane->server.service]
            += {lane->queue.slots(), lane->queue.running(), lane->queue.queued(), lane->hold.isHeldBack() ? 1U : 0U};
    }
    return result;
}

std::size_t ServingNode::queued() const
{
    std::size_t count = 0;
    for (const auto &[id, lane] : m_lanes) {
        count += lane->queue.queued();
    }
    return count;
}

ServingNode::Lane *ServingNode::laneOf(const base::BackendServerId &server)
{
    const auto found = m_lanes.find(server);
    return found != m_lanes.end() ? found->second.get() : nullptr;
}

// The entry may hold an older configuration in which a withdrawn key still stands. The newer of the two nodes decides:
// so a key stops as soon as either of them has heard.
std::optional<ResultCode> ServingNode::checkKey(const wire::HopRequest &hop) const
{
    const auto &configuration = m_context.inForce.configuration;
    if (!configuration) {
        return ResultCode::NodeNotReady;
    }
    if (hop.revision > configuration->revision()) {
        return std::nullopt;
    }
    if (hop.workspace.empty()) {
        const config::Route *route = configuration->route(hop.route);
        return route == nullptr || route->isPublic ? std::nullopt : std::optional(ResultCode::KeyMissing);
    }
    const config::Workspace *workspace
        = configuration->workspaceOfKey(config::KeyFingerprint::parse(hop.keyFingerprint));
    if (workspace == nullptr || workspace->id != hop.workspace) {
        return ResultCode::KeyUnknown;
    }
    return std::nullopt;
}

std::optional<ResultCode> ServingNode::checkServer(const base::BackendServerId &server,
                                                   bool idempotent,
                                                   bool lastResort)
{
    Lane *lane = laneOf(server);
    if (lane == nullptr || lane->gone || lane->server.drain) {
        return ResultCode::HopBackendServerGone;
    }
    if (m_context.draining) {
        return ResultCode::NodeDraining;
    }
    if (!m_context.settings.ejection || lastResort) {
        return std::nullopt;
    }
    if (isHeldBack(*lane, idempotent)) {
        return ResultCode::HopBackendServerEjected;
    }
    switch (m_context.health.admission(server)) {
    case health::Admission::Admit:
    case health::Admission::Unknown:
        return std::nullopt;
    case health::Admission::TrialFull:
        return m_context.settings.holdsByFilter() ? std::nullopt : std::optional(ResultCode::HopQueueFull);
    case health::Admission::Ejected:
        return m_context.settings.holdsByFilter() ? std::nullopt : std::optional(ResultCode::HopBackendServerEjected);
    case health::Admission::Draining:
        return ResultCode::HopBackendServerGone;
    }
    return std::nullopt;
}

/// A refusal here proves that the request did not run, so that the entry can send it elsewhere at once. On trial the
/// one request that shows how the server is should be one that may fail.
bool ServingNode::isHeldBack(const Lane &lane, bool idempotent) const
{
    return !lane.hold.admits(idempotent, m_context.clock.now());
}

std::optional<ResultCode> ServingNode::beginWork(Work &work)
{
    const routing::AttemptId id{work.hop.requestId(), static_cast<int>(work.hop.attempt)};
    const routing::SentStamp stamp{work.hop.entry, work.hop.entryIncarnation, base::Duration(work.hop.sent)};
    const routing::Begin begin = m_registry.begin(id, stamp, base::Duration(work.hop.remaining));
    work.deadline = begin.deadline;
    switch (begin.result) {
    case routing::BeginResult::Accepted:
        return std::nullopt;
    case routing::BeginResult::Replayed:
        return ResultCode::HopReplayed;
    case routing::BeginResult::Cancelled:
        return ResultCode::HopCancelled;
    case routing::BeginResult::TooLate:
        return ResultCode::HopQueueTimeout;
    case routing::BeginResult::Full:
        return ResultCode::HopQueueFull;
    }
    return ResultCode::Internal;
}

limits::QueueOffer ServingNode::offerOf(const Work &work) const
{
    limits::QueueOffer offer;
    offer.attempt = work.id();
    offer.workspace = work.hop.workspace;
    offer.route = work.hop.route;
    offer.isCall = work.hop.isCall;
    offer.deadline = work.deadline;
    offer.priority = work.hop.priority;
    if (work.hop.wantedIn > 0) {
        offer.wanted = work.deadline - base::Duration(work.hop.remaining - work.hop.wantedIn);
    }
    return offer;
}

net::Awaitable<void> ServingNode::waitForSlot(WorkPtr work)
{
    while (!work->decision && !work->stopped) {
        co_await work->changed.waitUntil(work->deadline + std::chrono::seconds(1));
    }
}

net::Awaitable<void> ServingNode::runOnBackend(WorkPtr work, net::ClientRequest request)
{
    const config::BackendServer &server = laneOf(work->hop.server)->server;
    const net::Endpoint endpoint{server.address, server.port};
    work->started = m_context.clock.now();
    work->running = true;
    work->exchange = std::make_shared<net::HttpExchange>(m_context.io, m_context.backendPool, endpoint);
    m_context.metrics.observeQueueWait(server.service, work->started - work->arrived);
    m_context.health.attemptStarted(work->hop.server, work->healthKey(), work->hop.route);
    m_runCalls.runStarted(work->healthKey(), work->deadline);
    Lane &lane = *laneOf(work->hop.server);
    lane.hold.started(work->healthKey(), work->started);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Started an attempt." << base::field("request", work->hop.shownId())
                                    << base::field("attempt", work->hop.attempt)
                                    << base::field("entry", work->hop.entry) << base::field("server", work->hop.server)
                                    << base::field("waitedMs", milliseconds(work->started - work->arrived))
                                    << base::field("running", lane.queue.running())
                                    << base::field("queued", lane.queue.queued())
                                    << base::field("grayPercent", int{lane.grayPercent(work->started)})
                                    << base::field("usualMs", milliseconds(lane.queue.runTimes().mean(work->hop.route)))
                                    << base::field("offers", lane.offers)
                                    << base::field("sinceLastMs", milliseconds(work->started - lane.lastStart));
    lane.lastStart = work->started;
    lane.offers = 0;

    BackendCall call;
    call.request = work->hop.requestId();
    call.server = work->hop.server;
    call.workspace = work->hop.workspace;
    call.callerService = work->hop.callerService;
    call.remaining = work->deadline - work->started;
    m_context.backends().prepare(request.head, call);
    work->exchange->onHead([this, &verdict = work->verdict, sent = request.head](const net::ResponseHead &head) {
        verdict = m_context.backends().judge(head, sent);
        return verdict != AnswerVerdict::OtherRequest;
    });

    net::asio::steady_timer deadline(m_context.io);
    deadline.expires_after(work->deadline - work->started);
    deadline.async_wait([weak = std::weak_ptr<Work>(work)](const net::beast::error_code &error) {
        const auto late = weak.lock();
        if (!error && late && late->running) {
            late->timedOut = true;
            late->exchange->cancel();
        }
    });
    const config::Route *route = m_context.inForce.configuration->route(work->hop.route);
    const bool stream = route != nullptr && route->stream;
    co_await work->exchange->run(std::move(request), stream ? holdBytesOfStream : holdBytes);
}

void ServingNode::finishWork(Work &work, health::AttemptOutcome outcome)
{
    work.running = false;
    m_runCalls.runEnded(work.healthKey());
    m_context.health.attemptFinished(work.hop.server, work.healthKey(), outcome, m_context.clock.now() - work.started);
    m_registry.finish({work.hop.requestId(), static_cast<int>(work.hop.attempt)});
    if (Lane *lane = laneOf(work.hop.server)) {
        const bool ranToItsEnd
            = outcome == health::AttemptOutcome::Success || outcome == health::AttemptOutcome::Timeout;
        m_pauses.check();
        lane->queue.finished(work.id(), ranToItsEnd && !m_pauses.pausedSince(work.started));
        m_context.metrics.countServed(
            {lane->server.service, health::name(outcome), m_context.clock.now() - work.started});
        noteOutcome(*lane, work, outcome);
    }
    m_work.erase(work.id());
    m_context.schedulePump();
}

void ServingNode::noteEntry(Lane &lane, const base::VmId &entry)
{
    const auto now = m_context.clock.now();
    if (lane.entries.size() >= mostNotified) {
        std::erase_if(lane.entries, [&](const auto &known) { return now - known.second > entryMemory; });
    }
    if (entry != m_context.settings.vm && (lane.entries.size() < mostNotified || lane.entries.contains(entry))) {
        lane.entries[entry] = now;
    }
}

/// Tells the entries that lately used the server, so that each need not find out by a refusal.
void ServingNode::tellHeld(const Lane &lane, std::string_view evidence)
{
    const auto now = m_context.clock.now();
    const base::BackendServerId &server = lane.server.id;
    m_context.gray.update(server, lane.hold.grayProbability(now));
    m_context.metrics.countHold(lane.server.service, evidence);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Holds a backend server back." << base::field("server", server)
                                    << base::field("evidence", evidence)
                                    << base::field("grayPercent", int{lane.grayPercent(now)});
    const health::GrayNotice notice{server.value(), lane.grayPercent(now)};
    for (const auto &[entry, seen] : lane.entries) {
        if (now - seen <= entryMemory) {
            m_context.send(wire::outgoing(entry, wire::MessageKind::GrayNotice, notice));
        }
    }
}

void ServingNode::noteOutcome(Lane &lane, const Work &work, health::AttemptOutcome outcome)
{
    const auto now = m_context.clock.now();
    const bool timedOut = outcome == health::AttemptOutcome::Timeout;
    if (timedOut && (work.overdue || m_pauses.pausedSince(work.started))) {
        // Counted when it became overdue, or the time has passed while this process stood still.
        outcome = health::AttemptOutcome::CancelledByUs;
    }
    switch (lane.hold.ended(work.healthKey(), outcome, now)) {
    case health::HoldChange::Held:
        tellHeld(lane, "failed");
        break;
    case health::HoldChange::Returned:
        m_context.metrics.countReturn(lane.server.service);
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server answers again."
                                        << base::field("request", work.hop.shownId())
                                        << base::field("server", work.hop.server);
        break;
    case health::HoldChange::None:
        break;
    }
    if (outcome == health::AttemptOutcome::Success) {
        m_context.gray.update(work.hop.server, lane.hold.grayProbability(now));
    } else if (isFailure(outcome)) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server failed." << base::field("request", work.hop.shownId())
                                        << base::field("server", work.hop.server)
                                        << base::field("how", health::name(outcome))
                                        << base::field("runMs", milliseconds(now - work.started))
                                        << base::field("grayPercent", int{lane.grayPercent(now)});
    }
}

ServedAnswer ServingNode::answerOf(const WorkPtr &work)
{
    const net::HttpExchange &exchange = *work->exchange;
    ServedAnswer answer;
    const bool headCame = exchange.progress() >= net::ExchangeProgress::HeadReceived;
    const bool proven = work->verdict != AnswerVerdict::Unproven;
    if (headCame && proven && exchange.failure() == net::ExchangeFailure::None) {
        if (work->verdict == AnswerVerdict::NotRun || work->verdict == AnswerVerdict::OtherServer) {
            return refusedByServer(work);
        }
        answer.head = exchange.head();
        answer.body = std::move(work->exchange->body());
        const auto outcome = outcomeOf(*work, exchange.head().result());
        if (exchange.progress() == net::ExchangeProgress::Complete) {
            finishWork(*work, outcome);
        } else {
            answer.rest = std::make_unique<BackendBody>(*this, work);
        }
        answer.reply = replyOf(*work);
        answer.reply.callFailed = outcome == health::AttemptOutcome::CallFailed;
        return answer;
    }

    // Not a byte was written before the connection stood, so this alone of the failures proves that nothing ran.
    const bool neverSent = exchange.progress() == net::ExchangeProgress::Connecting;
    auto outcome = neverSent ? health::AttemptOutcome::ConnectionRefused : health::AttemptOutcome::Partial;
    auto code = neverSent ? ResultCode::HopBackendServerRefused : ResultCode::AnswerIncomplete;
    if (work->timedOut) {
        outcome = health::AttemptOutcome::Timeout;
        code = ResultCode::DeadlineExceeded;
    } else if (work->stopped) {
        outcome = health::AttemptOutcome::CancelledByUs;
        code = ResultCode::HopCancelled;
    }
    if (neverSent) {
        finishWork(*work, outcome);
        return refusalOf(*work, code, {});
    }
    finishWork(*work, outcome);
    answer.reply = replyOf(*work);
    answer.reply.outcome = static_cast<std::uint8_t>(wire::HopOutcome::Unknown);
    answer.reply.code = number(code);
    PAPAYASTEP_LOG(WARNING, logPrefix) << "Got no whole answer." << base::field("request", work->hop.shownId())
                                       << base::field("server", work->hop.server) << base::field("code", number(code));
    return answer;
}

health::AttemptOutcome ServingNode::outcomeOf(const Work &work, net::http::status status)
{
    const auto outcome = outcomeOfAnswer(work.verdict, status);
    if (outcome != health::AttemptOutcome::Error || !m_runCalls.explainsFailure(work.healthKey())) {
        return outcome;
    }
    PAPAYASTEP_LOG(INFO, logPrefix) << "A run failed because its call did."
                                    << base::field("request", work.hop.shownId())
                                    << base::field("server", work.hop.server);
    return health::AttemptOutcome::CallFailed;
}

/// The backend server itself says that it did not run the attempt, which is proof.
ServedAnswer ServingNode::refusedByServer(const WorkPtr &work)
{
    const bool otherServer = work->verdict == AnswerVerdict::OtherServer;
    finishWork(*work, outcomeOfAnswer(work->verdict, work->exchange->head().result()));
    return refusalOf(*work, otherServer ? ResultCode::HopBackendServerReplaced : ResultCode::HopBackendServerShed, {});
}

ServedAnswer ServingNode::refusalOf(const Work &work, ResultCode code, base::Duration retryAfter)
{
    // A replay says nothing about what the first copy did, so it is the one refusal that is not a `not-run`.
    const bool replayed = code == ResultCode::HopReplayed;
    ServedAnswer answer;
    answer.reply = replyOf(work);
    answer.reply.outcome = static_cast<std::uint8_t>(replayed ? wire::HopOutcome::Unknown : wire::HopOutcome::NotRun);
    answer.reply.code = number(code);
    answer.reply.retryAfterMs = milliseconds(retryAfter);
    answer.reply.advice = replayed ? base::BackendServerId() : advise(work);
    m_context.metrics.countRefusedAttempt(code);
    logRefusal(work, answer.reply);
    return answer;
}

/// With what the decision went by: the server's queue and how gray it was taken for.
void ServingNode::logRefusal(const Work &work, const wire::HopReply &reply) const
{
    const auto found = m_lanes.find(work.hop.server);
    const Lane *lane = found != m_lanes.end() ? found->second.get() : nullptr;
    PAPAYASTEP_LOG(INFO, logPrefix) << "Refused an attempt." << base::field("request", work.hop.shownId())
                                    << base::field("attempt", work.hop.attempt) << base::field("entry", work.hop.entry)
                                    << base::field("server", work.hop.server) << base::field("code", reply.code)
                                    << base::field("running", lane != nullptr ? lane->queue.running() : 0)
                                    << base::field("queued", lane != nullptr ? lane->queue.queued() : 0)
                                    << base::field("grayPercent", int{reply.grayPercent})
                                    << base::field("revision", reply.revision)
                                    << base::field("retryAfterMs", reply.retryAfterMs)
                                    << base::field("advice", reply.advice);
}

wire::HopReply ServingNode::replyOf(const Work &work) const
{
    wire::HopReply reply;
    reply.requestHigh = work.hop.requestHigh;
    reply.requestLow = work.hop.requestLow;
    reply.attempt = work.hop.attempt;
    reply.server = work.hop.server;
    if (m_context.inForce.configuration) {
        reply.revision = m_context.inForce.configuration->revision();
    }
    const auto now = m_context.clock.now();
    if (work.started != base::TimePoint()) {
        reply.queueMicros = static_cast<std::uint32_t>(microseconds(work.started - work.arrived));
        reply.serverMicros = static_cast<std::uint32_t>(microseconds(now - work.started));
    }
    const auto lane = m_lanes.find(work.hop.server);
    if (lane != m_lanes.end()) {
        reply.grayPercent = lane->second->grayPercent(now);
    }
    reply.report = wire::encode(m_context.health.report(work.hop.server));
    return reply;
}

// An entry of a large fleet sees a service too seldom to know its servers well; this node hears of its siblings every
// second. So a refusal names the sibling that should be asked next, and the entry need not guess again.
base::BackendServerId ServingNode::advise(const Work &work)
{
    const auto &configuration = m_context.inForce.configuration;
    if (!configuration || work.hop.redirected) {
        return {};
    }
    const config::BackendServer *server = configuration->backendServer(work.hop.server);
    if (server == nullptr) {
        return {};
    }
    const auto candidates = candidatesOf(m_context, server->service);
    routing::PlacementRequest request{m_context.settings.zone, work.hop.idempotent, {work.hop.server}};
    request.remaining = base::Duration(work.hop.remaining);
    request.wantedIn = base::Duration(work.hop.wantedIn);
    const auto placement = m_context.placement->place(candidates, request, m_context.random);
    return placement.candidate ? candidates[*placement.candidate].server : base::BackendServerId();
}

}
