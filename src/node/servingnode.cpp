#include "announcementlog.h"

#include "papayastep/base/log.h"
#include "papayastep/health/runestimate.h"
#include "papayastep/net/portcheck.h"
#include "papayastep/node/candidates.h"
#include "papayastep/node/servingnode.h"

#include <algorithm>
#include <sstream>

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "serving";

using base::ResultCode;

/// Time after which an entry that sent no attempt is no longer notified, because its estimate of the server has
/// probably expired anyway.
constexpr base::Duration entryRetention = std::chrono::seconds(5);
/// Maximum number of entries that are notified of a hold, which bounds the cost of a notice in a large fleet. The other
/// entries learn of the hold by a refusal.
constexpr std::size_t maxNotifiedEntries = 32;

/// Probability of a gray failure above which an attempt that hangs is reported to its entry, so that it can be retried
/// at another server. It must be below GrayFailureEstimatorSettings::maxProbability, which no estimate exceeds.
constexpr double hangReportProbability = 0.85;
static_assert(hangReportProbability < health::GrayFailureEstimatorSettings().maxProbability);

/// Time before the deadline of an attempt within which a server's own report of a timeout counts as one of the request.
constexpr base::Duration timeoutReportTolerance = std::chrono::milliseconds(50);

/// Number of names of unknown announcements that are logged, so that no server can fill the log.
constexpr std::size_t maxLoggedUnknownFields = 16;

constexpr auto tooManyRequests = static_cast<unsigned>(net::http::status::too_many_requests);
constexpr auto serviceUnavailable = static_cast<unsigned>(net::http::status::service_unavailable);
constexpr auto gatewayTimeout = static_cast<unsigned>(net::http::status::gateway_timeout);
constexpr unsigned firstServerError = 500;

/// Lower bound of a mean run time, which limits the ratio of two run times if runs are very short.
constexpr base::Duration minMeanRunTime = std::chrono::microseconds(1);

std::int64_t microseconds(base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

std::uint32_t milliseconds(base::Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

/// `status` is a number, since the library reports a status that is not registered as 0.
health::AttemptOutcome outcomeOfAnswer(AnswerKind verdict, unsigned status)
{
    if (verdict == AnswerKind::OtherServer) {
        return health::AttemptOutcome::CancelledByUs;
    }
    if (verdict == AnswerKind::NotRun || status == serviceUnavailable || status == tooManyRequests) {
        return health::AttemptOutcome::Shed;
    }
    return status >= firstServerError ? health::AttemptOutcome::Error : health::AttemptOutcome::Success;
}

routing::AnnouncementSource::Kind sourceOf(AnswerKind kind)
{
    const bool isCertain = kind == AnswerKind::Answered || kind == AnswerKind::NotRun;
    return isCertain ? routing::AnnouncementSource::Kind::Request : routing::AnnouncementSource::Kind::Stray;
}

health::RunKind runKind(const wire::HopRequest &hop)
{
    if (hop.isRepeat) {
        return health::RunKind::Repeat;
    }
    return hop.idempotent ? health::RunKind::Repeatable : health::RunKind::Once;
}

routing::ServerAdmissionSettings admissionSettings(const NodeSettings &settings)
{
    routing::ServerAdmissionSettings admission;
    admission.recovery.isRequired = settings.confirmsRecovery;
    admission.queue.overflow = settings.overflowQueue;
    return admission;
}

std::string recoveryFields(const health::RecoverySummary &recovery)
{
    std::ostringstream fields;
    fields << base::field("trialsAnswered", recovery.answers) << base::field("failures", recovery.failures)
           << base::field("heldMs", milliseconds(recovery.length));
    return fields.str();
}

bool isFailure(health::AttemptOutcome outcome)
{
    return outcome == health::AttemptOutcome::Error || outcome == health::AttemptOutcome::Partial
        || outcome == health::AttemptOutcome::Timeout;
}

}

/// A backend server of this VM, with what the node records for its entries.
struct ServingNode::LocalServer
{
    LocalServer(const base::Clock &clock,
                const config::BackendServer &server,
                const routing::ServerAdmissionSettings &settings)
        : admission(clock, server, settings)
        , lastStart(clock.now())
    {
    }

    routing::ServerAdmission admission;
    std::map<base::VmId, base::TimePoint>
        recentEntries; ///< Entries that recently sent attempts, with the time of the last one.
    base::TimePoint lastStart; ///< Start time of the last attempt.
    int offersSinceStart = 0; ///< Number of slot offers since lastStart. It distinguishes a server that is not asked
                              ///< from a server that is asked and not chosen.
};

/// One attempt, from its arrival to the end of its answer.
struct ServingNode::ActiveAttempt
{
    ActiveAttempt(net::asio::io_context &io, wire::HopRequest hopRequest, base::TimePoint arrival)
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
    std::function<void()> onHangSuspected; ///< Notifies the entry that the attempt seems to hang.
    AnswerKind answerKind = AnswerKind::Answered;
    bool inOverflow = false; ///< The attempt was queued in the overflow.
    bool running = false;
    bool timedOut = false;
    bool stopped = false; ///< The answer is no longer needed.
    bool overdue = false; ///< The attempt has run for several times the usual run time.
    bool serverEnded = false; ///< The server ended while it ran the attempt.
};

/// The remaining body of a large answer. It occupies the slot of the backend server until its end.
class ServingNode::BackendBody final : public AnswerBody
{
public:
    BackendBody(ServingNode &serving, ActiveAttemptPtr activeAttempt)
        : m_serving(serving)
        , m_activeAttempt(std::move(activeAttempt))
    {
    }

    ~BackendBody() override
    {
        finish();
    }

    net::Awaitable<std::string> readPart() override
    {
        m_reading = true;
        std::string part = co_await m_activeAttempt->exchange->readPart();
        m_reading = false;
        if (part.empty() || complete()) {
            finish();
        }
        co_return part;
    }

    bool complete() const override
    {
        return m_activeAttempt->exchange->progress() == net::ExchangeProgress::Complete;
    }

    base::TimePoint deadline() const override
    {
        return m_activeAttempt->deadline;
    }

    void abort() override
    {
        // A body that waits for a slow client is no failure of the backend server.
        m_activeAttempt->timedOut = m_activeAttempt->timedOut || m_reading;
        m_activeAttempt->stopped = m_activeAttempt->stopped || !m_reading;
        m_activeAttempt->exchange->cancel();
    }

private:
    void finish()
    {
        if (!m_activeAttempt->running) {
            return;
        }
        const bool whole = complete();
        const bool broken = m_activeAttempt->exchange->failure() != net::ExchangeFailure::None;
        auto outcome = whole ? health::AttemptOutcome::Success : health::AttemptOutcome::CancelledByUs;
        if (broken && !m_activeAttempt->stopped) {
            outcome = m_activeAttempt->timedOut ? health::AttemptOutcome::Timeout : health::AttemptOutcome::Partial;
        }
        m_serving.finishAttempt(*m_activeAttempt, outcome);
    }

    ServingNode &m_serving;
    ActiveAttemptPtr m_activeAttempt;
    bool m_reading = false;
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
                                                std::function<void()> onHangSuspected)
{
    auto activeAttempt = std::make_shared<ActiveAttempt>(m_context.io, std::move(hop), m_context.clock.now());
    activeAttempt->onHangSuspected = std::move(onHangSuspected);
    adoptNotice(activeAttempt->hop);
    auto refused = checkKey(activeAttempt->hop);
    if (!refused) {
        refused = checkServer(activeAttempt->hop.server, activeAttempt->hop.idempotent, activeAttempt->hop.lastResort);
    }
    if (!refused) {
        refused = checkServerEnds(activeAttempt->hop, request);
    }
    if (!refused) {
        refused = registerAttempt(*activeAttempt);
    }
    if (!refused) {
        refused = takeRetry(activeAttempt->hop);
    }
    if (refused) {
        co_return refusalOf(*activeAttempt, *refused, {});
    }
    LocalServer &localServer = *findLocalServer(activeAttempt->hop.server);
    recordEntry(localServer, activeAttempt->hop.entry);
    const limits::OfferResult verdict = localServer.admission.queue().offer(queueOffer(*activeAttempt));
    if (!verdict.accepted) {
        returnRetry(activeAttempt->hop);
        m_registry.drop({activeAttempt->hop.requestId(), static_cast<int>(activeAttempt->hop.attempt)});
        co_return refusalOf(*activeAttempt, verdict.code, verdict.retryAfter);
    }
    activeAttempt->inOverflow = verdict.inOverflow;
    if (verdict.inOverflow) {
        logOverflow(*activeAttempt, localServer.admission.queue());
    }
    m_attempts[activeAttempt->id()] = activeAttempt;
    poll();
    co_await waitForSlot(activeAttempt);
    if (!activeAttempt->decision || !activeAttempt->decision->start) {
        returnRetry(activeAttempt->hop);
        m_attempts.erase(activeAttempt->id());
        const auto code = activeAttempt->decision ? activeAttempt->decision->code : ResultCode::HopCancelled;
        const auto retryAfter = activeAttempt->decision ? activeAttempt->decision->retryAfter : base::Duration::zero();
        co_return refusalOf(*activeAttempt, code, retryAfter);
    }
    // The key and the server are checked again, because they may have changed while the attempt waited.
    refused = checkKey(activeAttempt->hop);
    if (!refused) {
        refused = checkServer(activeAttempt->hop.server, activeAttempt->hop.idempotent, activeAttempt->hop.lastResort);
    }
    if (!refused) {
        refused = checkServerEnds(activeAttempt->hop, request);
    }
    if (!refused && !m_registry.start({activeAttempt->hop.requestId(), static_cast<int>(activeAttempt->hop.attempt)})) {
        refused = ResultCode::HopCancelled;
    }
    if (refused) {
        returnRetry(activeAttempt->hop);
        m_registry.drop({activeAttempt->hop.requestId(), static_cast<int>(activeAttempt->hop.attempt)});
        findLocalServer(activeAttempt->hop.server)->admission.queue().finished(activeAttempt->id(), false);
        m_attempts.erase(activeAttempt->id());
        m_context.schedulePump();
        co_return refusalOf(*activeAttempt, *refused, {});
    }
    co_await runOnBackend(activeAttempt, std::move(request));
    if (mayHaveEndedServer(*activeAttempt)) {
        activeAttempt->serverEnded = co_await net::refusesConnections(m_context.io, endpointOf(*activeAttempt));
    }
    co_return answerOf(activeAttempt);
}

wire::SlotOffer ServingNode::offerFor(const wire::SlotQuery &ask)
{
    wire::SlotOffer offer;
    offer.requestHigh = ask.requestHigh;
    offer.requestLow = ask.requestLow;
    offer.server = ask.server;
    const auto refused = checkServer(ask.server, ask.idempotent);
    LocalServer *localServer = findLocalServer(ask.server);
    if (localServer == nullptr || (refused && *refused != ResultCode::HopBackendServerEjected)) {
        offer.code = number(refused.value_or(ResultCode::HopBackendServerGone));
        return offer;
    }
    if (ask.isRepeat
        && !localServer->admission.retryBudget().canSpend(localServer->admission.server().service, ask.workspace)) {
        offer.code = number(ResultCode::RetryBudgetSpent);
        return offer;
    }
    ++localServer->offersSinceStart;
    const auto now = m_context.clock.now();
    limits::QueueOffer wanted;
    wanted.workspace = ask.workspace;
    wanted.route = ask.route;
    wanted.isCall = ask.isNestedCall;
    wanted.priority = ask.priority;
    wanted.deadline = now + base::Duration(ask.remaining);
    if (ask.remainingTarget > 0) {
        wanted.wantedBy = now + base::Duration(ask.remainingTarget);
    }
    const limits::OfferResult verdict = localServer->admission.queue().quote(wanted);
    offer.code = number(verdict.code);
    offer.heldAsGray = refused.has_value();
    offer.waitMicros = static_cast<std::uint32_t>(microseconds(verdict.retryAfter));
    offer.runMicros = static_cast<std::uint32_t>(microseconds(expectedRun(*localServer, ask.route)));
    offer.grayPercent = localServer->admission.grayPercent();
    offer.idleMs = milliseconds(now - localServer->lastStart);
    return offer;
}

routing::CancelAnswer ServingNode::cancel(const wire::CancelAttempt &cancel, const routing::SentStamp &stamp)
{
    const base::RequestId request{cancel.requestHigh, cancel.requestLow};
    const int attempt = static_cast<int>(cancel.attempt);
    const auto answer = m_registry.cancel({request, attempt}, stamp, base::Duration(cancel.remaining));
    const auto found = m_attempts.find({request, attempt});
    m_context.metrics.countCancel(routing::name(answer));
    PAPAYASTEP_LOG(INFO, logPrefix) << "Answered a cancel request."
                                    << base::field("request",
                                                   found != m_attempts.end() ? found->second->hop.logId()
                                                                             : toString(request))
                                    << base::field("attempt", attempt) << base::field("answer", routing::name(answer));
    if (found == m_attempts.end()) {
        return answer;
    }
    if (answer == routing::CancelAnswer::NeverStarted) {
        if (LocalServer *localServer = findLocalServer(found->second->hop.server)) {
            localServer->admission.queue().cancel(found->second->id());
        }
        found->second->stopped = true;
        found->second->changed.notify();
    } else if (cancel.stop) {
        entryDisconnected(request, attempt);
    }
    return answer;
}

void ServingNode::entryDisconnected(const base::RequestId &request, int attempt)
{
    const auto found = m_attempts.find({request, attempt});
    if (found == m_attempts.end()) {
        return;
    }
    ActiveAttempt &activeAttempt = *found->second;
    if (!activeAttempt.running && !activeAttempt.decision) {
        // The attempt is still queued. It can be dropped even if it is not idempotent.
        m_registry.drop({request, attempt});
        if (LocalServer *localServer = findLocalServer(activeAttempt.hop.server)) {
            localServer->admission.queue().cancel(activeAttempt.id());
        }
        activeAttempt.stopped = true;
        activeAttempt.changed.notify();
        return;
    }
    if (!activeAttempt.hop.idempotent) {
        return; // The attempt has started and must not be stopped halfway.
    }
    activeAttempt.stopped = true;
    if (activeAttempt.exchange) {
        activeAttempt.exchange->cancel();
    }
}

health::NestedCallTracker &ServingNode::runCalls()
{
    return m_runCalls;
}

void ServingNode::applyConfiguration()
{
    const auto &configuration = *m_context.active.configuration;
    for (const config::BackendServer &server : configuration.backendServers()) {
        if (server.vm != m_context.settings.vm) {
            continue;
        }
        auto &localServer = m_localServers[server.id];
        if (!localServer) {
            localServer = std::make_unique<LocalServer>(m_context.clock, server, admissionSettings(m_context.settings));
            PAPAYASTEP_LOG(INFO, logPrefix) << "Began to serve a backend server." << base::field("server", server.id)
                                            << base::field("slots", server.slots);
        }
    }
    for (auto &[id, localServer] : m_localServers) {
        configure(*localServer, id);
    }
    std::erase_if(m_localServers, [this](const auto &entry) {
        const routing::ServerAdmission &admission = entry.second->admission;
        if (admission.isUnused()) {
            m_formerRetries += admission.retryBudget().counters();
            m_formerOverflow += admission.queue().overflowCounters();
        }
        return admission.isUnused();
    });
}

void ServingNode::configure(LocalServer &localServer, const base::BackendServerId &id)
{
    const auto &configuration = *m_context.active.configuration;
    const config::BackendServer *server = configuration.backendServer(id);
    if (server != nullptr && server->vm != m_context.settings.vm) {
        server = nullptr;
    }
    const config::Service *service = configuration.service(localServer.admission.server().service);
    const routing::AnnouncedState before = localServer.admission.announced();
    localServer.admission.configure(server,
                                    service != nullptr ? service->coldStart : config::ColdStart(),
                                    service != nullptr && !service->healthPath.empty());
    announcementsChanged(localServer, before, "restart");
    if (server != nullptr) {
        const routing::AnnouncedState known = localServer.admission.announced();
        localServer.admission.adopt(m_context.announcements.notice(id, server->incarnation));
        announcementsChanged(localServer, known, "memory");
    }
    if (server != nullptr && m_context.settings.retryLimit) {
        const std::size_t servers = configuration.serversOf(server->service).size();
        localServer.admission.retryBudget().setSettings(
            routing::serverRetryBudget(*m_context.settings.retryLimit, servers));
    }
}

bool ServingNode::takeEjectionProbe(const base::BackendServerId &server)
{
    LocalServer *localServer = findLocalServer(server);
    return localServer == nullptr || localServer->admission.takeEjectionProbe();
}

std::vector<base::BackendServerId> ServingNode::takeProbesDue()
{
    std::vector<base::BackendServerId> due;
    for (auto &[id, localServer] : m_localServers) {
        if (localServer->admission.takeProbeDue()) {
            due.push_back(id);
        }
    }
    return due;
}

void ServingNode::probeFinished(const base::BackendServerId &server,
                                bool answered,
                                std::optional<base::Duration> coldTime)
{
    LocalServer *localServer = findLocalServer(server);
    if (localServer == nullptr) {
        return;
    }
    const bool wasCold = localServer->admission.queue().coldStart().isCold();
    localServer->admission.recordProbe(answered, coldTime);
    if (wasCold || localServer->admission.queue().coldStart().isCold()) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Probed a backend server that may be cold." << base::field("server", server)
                                        << base::field("answered", answered)
                                        << base::field("coldMs", milliseconds(coldTime.value_or(base::Duration(0))));
    }
    m_context.schedulePump();
}

void ServingNode::recordAnnouncement(const base::BackendServerId &server,
                                     const routing::ServerAnnouncement &announcement,
                                     const routing::AnnouncementSource &source)
{
    LocalServer *localServer = findLocalServer(server);
    if (localServer == nullptr) {
        return;
    }
    const routing::AnnouncedState before = localServer->admission.announced();
    localServer->admission.recordAnnouncement(announcement, source);
    announcementsChanged(*localServer, before, name(source.kind));
    for (const std::string &field : announcement.unknownFields) {
        ++m_unknownAnnouncements;
        if (m_unknownFields.size() < maxLoggedUnknownFields && m_unknownFields.insert(field).second) {
            PAPAYASTEP_LOG(WARNING, logPrefix) << "A backend server announced something that is not known."
                                               << base::field("server", server) << base::field("field", field);
        }
    }
}

/// Logs and passes on what has changed since `before`, and lets queued attempts be decided anew.
void ServingNode::announcementsChanged(const LocalServer &localServer,
                                       const routing::AnnouncedState &before,
                                       std::string_view source)
{
    const routing::AnnouncedState &after = localServer.admission.announced();
    if (after != before) {
        const config::BackendServer &server = localServer.admission.server();
        logAnnouncementChange(server.id, before, after, source);
        m_context.health.setAnnouncedEnd(server.id, after.isLeaving);
        m_context.announcements.record(server.id, {server.incarnation, after.requestsPerSecond, after.isLeaving});
        m_context.schedulePump();
    }
}

std::uint64_t ServingNode::unknownAnnouncements() const
{
    return m_unknownAnnouncements;
}

std::vector<LocalServerStatus> ServingNode::localServers() const
{
    std::vector<LocalServerStatus> result;
    for (const auto &[id, localServer] : m_localServers) {
        const routing::ServerAdmission &admission = localServer->admission;
        result.push_back({id, admission.server().service, admission.announced(), admission.queue().starts()});
    }
    return result;
}

void ServingNode::poll()
{
    for (auto &[id, localServer] : m_localServers) {
        for (const limits::QueueDecision &decision : localServer->admission.queue().poll()) {
            const auto found = m_attempts.find(decision.attempt);
            if (found == m_attempts.end()) {
                localServer->admission.queue().finished(decision.attempt, false);
                continue;
            }
            if (!decision.start) {
                m_registry.drop({decision.attempt.request, decision.attempt.attempt});
            }
            found->second->decision = decision;
            found->second->changed.notify();
        }
        m_context.health.setQueueLength(id, static_cast<int>(localServer->admission.queue().queued()));
    }
}

bool ServingNode::mayBecomeOverdue(const ActiveAttempt &activeAttempt)
{
    const bool isWatched
        = activeAttempt.running && !activeAttempt.overdue && findLocalServer(activeAttempt.hop.server) != nullptr;
    return isWatched && !m_pauses.pausedSince(activeAttempt.started);
}

base::TimePoint ServingNode::overdueAt(const ActiveAttempt &activeAttempt)
{
    const LocalServer &localServer = *findLocalServer(activeAttempt.hop.server);
    const base::Duration usual = m_context.health.usualLatency(localServer.admission.server().service);
    const limits::RunTimes &runs = localServer.admission.queue().runTimes();
    return activeAttempt.started
        + health::overdueAfter(runs.mean(activeAttempt.hop.route), runs.runs(activeAttempt.hop.route), usual);
}

/// Returns the expected time of the next run of the route. The measured speed of the server relative to its siblings
/// becomes outdated while the server runs no attempts.
base::Duration ServingNode::expectedRun(const LocalServer &localServer, const base::RouteId &route) const
{
    const limits::RunTimes &runs = localServer.admission.queue().runTimes();
    const base::Duration usual = m_context.health.usualLatency(localServer.admission.server().service);
    if (runs.runs() == 0) {
        return usual > base::Duration::zero() ? usual : runs.mean();
    }
    const auto idleSince = localServer.admission.queue().idleSince();
    const base::Duration age = idleSince ? m_context.clock.now() - *idleSince : base::Duration::zero();
    const std::chrono::duration<double> drifted = health::decayedLatency(runs.mean(), usual, age);
    const double slowness = drifted / std::max(runs.mean(), minMeanRunTime);
    return std::chrono::duration_cast<base::Duration>(runs.mean(route) * slowness);
}

/// Detects attempts that hang. A server that hangs sends no answers, so no failure is detected until the deadlines
/// pass; the age of the running attempts shows it sooner. The entry is notified, so that it can retry the attempt at
/// another server while there is time left. The attempt continues here, because the entry may have no retry left, and
/// stopping an attempt that is only slow would lose it.
void ServingNode::checkOverdueAttempts()
{
    const auto now = m_context.clock.now();
    for (const auto &[id, activeAttempt] : m_attempts) {
        if (!mayBecomeOverdue(*activeAttempt) || now < overdueAt(*activeAttempt)) {
            continue;
        }
        LocalServer *localServer = findLocalServer(activeAttempt->hop.server);
        activeAttempt->overdue = true;
        if (localServer->admission.hold().recordOverdue(now) == health::HoldChange::Held) {
            notifyHold(*localServer, "overdue");
            dropNonRetryableOverflow(*localServer);
        }
        const bool mayRetry = activeAttempt->hop.idempotent
            && activeAttempt->deadline - now > localServer->admission.queue().runTimes().mean(activeAttempt->hop.route);
        PAPAYASTEP_LOG(INFO, logPrefix) << "An attempt is overdue."
                                        << base::field("request", activeAttempt->hop.logId())
                                        << base::field("server", activeAttempt->hop.server)
                                        << base::field("runMs", milliseconds(now - activeAttempt->started))
                                        << base::field("usualMs",
                                                       milliseconds(localServer->admission.queue().runTimes().mean(
                                                           activeAttempt->hop.route)))
                                        << base::field("grayPercent", int{localServer->admission.grayPercent()});
        if (mayRetry && localServer->admission.hold().grayProbability(now) > hangReportProbability) {
            activeAttempt->onHangSuspected();
        }
    }
}

void ServingNode::tick()
{
    const base::TimePoint before = m_lastTick;
    m_lastTick = m_context.clock.now();
    m_pauses.check();
    if (m_pauses.pausedSince(before)) {
        for (auto &[id, localServer] : m_localServers) {
            localServer->admission.recordPause();
        }
    }
    m_registry.tick();
    checkOverdueAttempts();
    poll();
}

void ServingNode::sweep()
{
    for (auto &[id, localServer] : m_localServers) {
        localServer->admission.retryBudget().tick();
        const routing::AnnouncedState before = localServer->admission.announced();
        localServer->admission.expireAnnouncements();
        announcementsChanged(*localServer, before, "age");
    }
}

std::optional<base::TimePoint> ServingNode::nextTick()
{
    std::optional<base::TimePoint> next;
    const auto include
        = [&next](std::optional<base::TimePoint> due) { next = due && (!next || *due < *next) ? due : next; };
    for (const auto &[id, localServer] : m_localServers) {
        include(localServer->admission.queue().nextTick());
        include(localServer->admission.nextProbe());
    }
    for (const auto &[id, activeAttempt] : m_attempts) {
        if (mayBecomeOverdue(*activeAttempt)) {
            include(overdueAt(*activeAttempt));
        }
    }
    return next;
}

std::size_t ServingNode::inFlight() const
{
    return m_attempts.size();
}

std::map<base::ServiceId, SlotUse> ServingNode::slotUse() const
{
    std::map<base::ServiceId, SlotUse> result;
    for (const auto &[id, localServer] : m_localServers) {
        const routing::ServerAdmission &admission = localServer->admission;
        SlotUse use;
        use.slots = admission.queue().slots();
        use.running = admission.queue().running();
        use.queued = admission.queue().queued();
        use.overflowing = admission.queue().overflowing();
        use.heldBackServers = admission.hold().isHeldBack() ? 1 : 0;
        use.coldServers = admission.queue().coldStart().isCold() ? 1 : 0;
        use.downServers = admission.isDown() ? 1 : 0;
        use.limitedServers = admission.announced().requestsPerSecond ? 1 : 0;
        use.leavingServers = admission.announced().isLeaving ? 1 : 0;
        result[admission.server().service] += use;
    }
    return result;
}

limits::OverflowCounters ServingNode::overflowCounters() const
{
    limits::OverflowCounters sum = m_formerOverflow;
    for (const auto &[id, localServer] : m_localServers) {
        sum += localServer->admission.queue().overflowCounters();
    }
    return sum;
}

routing::RetryBudgetCounters ServingNode::retryCounters() const
{
    routing::RetryBudgetCounters sum = m_formerRetries;
    for (const auto &[id, localServer] : m_localServers) {
        sum += localServer->admission.retryBudget().counters();
    }
    return sum;
}

std::map<base::ServiceId, double> ServingNode::availableRetries() const
{
    std::map<base::ServiceId, double> sums;
    for (const auto &[id, localServer] : m_localServers) {
        for (const auto &[service, retries] : localServer->admission.retryBudget().availableRetries()) {
            sums[service] += retries;
        }
    }
    return sums;
}

std::size_t ServingNode::queued() const
{
    std::size_t count = 0;
    for (const auto &[id, localServer] : m_localServers) {
        count += localServer->admission.queue().queued();
    }
    return count;
}

ServingNode::LocalServer *ServingNode::findLocalServer(const base::BackendServerId &server)
{
    const auto found = m_localServers.find(server);
    return found != m_localServers.end() ? found->second.get() : nullptr;
}

// The entry may have an older configuration that still contains a withdrawn key. The node with the newer configuration
// decides, so that a key is refused as soon as one of the two nodes has received its withdrawal.
std::optional<ResultCode> ServingNode::checkKey(const wire::HopRequest &hop) const
{
    const auto &configuration = m_context.active.configuration;
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
    LocalServer *localServer = findLocalServer(server);
    if (localServer == nullptr) {
        return ResultCode::HopBackendServerGone;
    }
    if (const auto closed = localServer->admission.refusalCode()) {
        return closed;
    }
    if (m_context.draining) {
        return ResultCode::NodeDraining;
    }
    if (!m_context.settings.ejection || lastResort) {
        return std::nullopt;
    }
    if (localServer->admission.isHeldBack(idempotent)) {
        return ResultCode::HopBackendServerEjected;
    }
    switch (m_context.health.admission(server)) {
    case health::Admission::Admit:
    case health::Admission::Unknown:
        return std::nullopt;
    case health::Admission::TrialFull:
        return m_context.settings.usesOnlyFailureFilter() ? std::nullopt : std::optional(ResultCode::HopQueueFull);
    case health::Admission::Ejected:
        return m_context.settings.usesOnlyFailureFilter() ? std::nullopt
                                                          : std::optional(ResultCode::HopBackendServerEjected);
    case health::Admission::Draining:
        return ResultCode::HopBackendServerGone;
    }
    return std::nullopt;
}

std::optional<ResultCode> ServingNode::checkServerEnds(const wire::HopRequest &hop, const net::ClientRequest &request)
{
    if (m_context.serverEnds.isEmpty()) {
        return std::nullopt;
    }
    const auto digest = routing::requestDigest(
        hop.workspace, net::view(request.head.method_string()), net::view(request.head.target()), request.body.view());
    // The ends that an entry on this VM knows are in the table already.
    const std::size_t furtherEnds = hop.entry == m_context.settings.vm ? 0 : hop.serverEnds;
    return m_context.serverEnds.admit(digest, furtherEnds) ? std::nullopt
                                                           : std::optional(ResultCode::RequestEndsServers);
}

/// Whether the connection to the server broke while it ran the attempt, without a reason that is known here. A server
/// that leaves ends by itself.
bool ServingNode::mayHaveEndedServer(const ActiveAttempt &activeAttempt)
{
    LocalServer *localServer = findLocalServer(activeAttempt.hop.server);
    const bool isBroken = activeAttempt.exchange->failure() == net::ExchangeFailure::Broken
        && activeAttempt.exchange->progress() >= net::ExchangeProgress::Sending;
    return isBroken && !activeAttempt.stopped && !activeAttempt.timedOut && localServer != nullptr
        && !localServer->admission.refusalCode();
}

net::Endpoint ServingNode::endpointOf(const ActiveAttempt &activeAttempt)
{
    const config::BackendServer &server = findLocalServer(activeAttempt.hop.server)->admission.server();
    return {server.address, server.port};
}

std::optional<ResultCode> ServingNode::registerAttempt(ActiveAttempt &activeAttempt)
{
    const routing::AttemptId id{activeAttempt.hop.requestId(), static_cast<int>(activeAttempt.hop.attempt)};
    const routing::SentStamp stamp{
        activeAttempt.hop.entry, activeAttempt.hop.entryIncarnation, base::Duration(activeAttempt.hop.sent)};
    const routing::AttemptRegistration begin
        = m_registry.registerAttempt(id, stamp, base::Duration(activeAttempt.hop.remaining));
    activeAttempt.deadline = begin.deadline;
    switch (begin.result) {
    case routing::RegistrationResult::Accepted:
        return std::nullopt;
    case routing::RegistrationResult::Replayed:
        return ResultCode::HopReplayed;
    case routing::RegistrationResult::Cancelled:
        return ResultCode::HopCancelled;
    case routing::RegistrationResult::TooLate:
        return ResultCode::HopQueueTimeout;
    case routing::RegistrationResult::Full:
        return ResultCode::HopQueueFull;
    }
    return ResultCode::Internal;
}

limits::QueueOffer ServingNode::queueOffer(const ActiveAttempt &activeAttempt) const
{
    limits::QueueOffer offer;
    offer.attempt = activeAttempt.id();
    offer.workspace = activeAttempt.hop.workspace;
    offer.route = activeAttempt.hop.route;
    offer.isCall = activeAttempt.hop.isNestedCall;
    offer.deadline = activeAttempt.deadline;
    offer.priority = activeAttempt.hop.priority;
    if (activeAttempt.hop.remainingTarget > 0) {
        offer.wantedBy
            = activeAttempt.deadline - base::Duration(activeAttempt.hop.remaining - activeAttempt.hop.remainingTarget);
    }
    return offer;
}

/// Takes a retry from the budget of the server if the attempt is a repeat. Requests that reach the server for the first
/// time are counted when they start.
std::optional<ResultCode> ServingNode::takeRetry(const wire::HopRequest &hop)
{
    if (!hop.isRepeat) {
        return std::nullopt;
    }
    LocalServer &localServer = *findLocalServer(hop.server);
    if (localServer.admission.retryBudget().spend(localServer.admission.server().service, hop.workspace)) {
        return std::nullopt;
    }
    m_registry.drop({hop.requestId(), static_cast<int>(hop.attempt)});
    return ResultCode::RetryBudgetSpent;
}

/// Returns the retry of a repeat that did not start.
void ServingNode::returnRetry(const wire::HopRequest &hop)
{
    LocalServer *localServer = findLocalServer(hop.server);
    if (hop.isRepeat && localServer != nullptr) {
        localServer->admission.retryBudget().giveBack(localServer->admission.server().service, hop.workspace);
    }
}

/// Takes over the limit of the server that the entry remembers, in case this process has been restarted since.
void ServingNode::adoptNotice(const wire::HopRequest &hop)
{
    LocalServer *localServer = findLocalServer(hop.server);
    if (localServer == nullptr || hop.serverLimit < 0) {
        return;
    }
    const routing::AnnouncedState before = localServer->admission.announced();
    localServer->admission.adopt({hop.serverIncarnation, hop.serverLimit, false});
    announcementsChanged(*localServer, before, name(routing::AnnouncementSource::Kind::Adopted));
}

net::Awaitable<void> ServingNode::waitForSlot(ActiveAttemptPtr activeAttempt)
{
    while (!activeAttempt->decision && !activeAttempt->stopped) {
        co_await activeAttempt->changed.waitUntil(activeAttempt->deadline + std::chrono::seconds(1));
    }
}

net::Awaitable<void> ServingNode::runOnBackend(ActiveAttemptPtr activeAttempt, net::ClientRequest request)
{
    const config::BackendServer &server = findLocalServer(activeAttempt->hop.server)->admission.server();
    const net::Endpoint endpoint = endpointOf(*activeAttempt);
    activeAttempt->started = m_context.clock.now();
    activeAttempt->running = true;
    activeAttempt->exchange = std::make_shared<net::HttpExchange>(m_context.io, m_context.backendPool, endpoint);
    m_context.metrics.observeQueueWait(server.service, activeAttempt->started - activeAttempt->arrived);
    m_context.health.attemptStarted(activeAttempt->hop.server, activeAttempt->healthKey(), activeAttempt->hop.route);
    m_runCalls.runStarted(
        activeAttempt->healthKey(), activeAttempt->deadline, runKind(activeAttempt->hop), activeAttempt->hop.priority);
    LocalServer &localServer = *findLocalServer(activeAttempt->hop.server);
    localServer.admission.hold().started(activeAttempt->healthKey(), activeAttempt->started);
    if (!activeAttempt->hop.isRepeat) {
        localServer.admission.retryBudget().countRequest(server.service, activeAttempt->hop.workspace);
    }
    PAPAYASTEP_LOG(INFO, logPrefix)
        << "Started an attempt." << base::field("request", activeAttempt->hop.logId())
        << base::field("attempt", activeAttempt->hop.attempt) << base::field("entry", activeAttempt->hop.entry)
        << base::field("server", activeAttempt->hop.server)
        << base::field("waitedMs", milliseconds(activeAttempt->started - activeAttempt->arrived))
        << base::field("running", localServer.admission.queue().running())
        << base::field("queued", localServer.admission.queue().queued())
        << base::field("grayPercent", int{localServer.admission.grayPercent()})
        << base::field("usualMs", milliseconds(localServer.admission.queue().runTimes().mean(activeAttempt->hop.route)))
        << base::field("offers", localServer.offersSinceStart)
        << base::field("sinceLastMs", milliseconds(activeAttempt->started - localServer.lastStart));
    localServer.lastStart = activeAttempt->started;
    localServer.offersSinceStart = 0;

    BackendCall call;
    call.request = activeAttempt->hop.requestId();
    call.server = activeAttempt->hop.server;
    call.workspace = activeAttempt->hop.workspace;
    call.callerService = activeAttempt->hop.callerService;
    call.remaining = activeAttempt->deadline - activeAttempt->started;
    m_context.backends().prepare(request.head, call);
    activeAttempt->exchange->onHead(
        [this, &attempt = *activeAttempt, incarnation = server.incarnation, sent = request.head](
            const net::ResponseHead &head) {
            attempt.answerKind = m_context.backends().classify(head, sent);
            if (attempt.answerKind != AnswerKind::OtherServer) {
                recordAnnouncement(attempt.hop.server,
                                   m_context.backends().announcement(head),
                                   {sourceOf(attempt.answerKind), incarnation, attempt.started});
            }
            return attempt.answerKind != AnswerKind::OtherRequest;
        });

    net::asio::steady_timer deadline(m_context.io);
    deadline.expires_after(activeAttempt->deadline - activeAttempt->started);
    deadline.async_wait([weak = std::weak_ptr<ActiveAttempt>(activeAttempt)](const net::beast::error_code &error) {
        const auto late = weak.lock();
        if (!error && late && late->running) {
            late->timedOut = true;
            late->exchange->cancel();
        }
    });
    const config::Route *route = m_context.active.configuration->route(activeAttempt->hop.route);
    const bool stream = route != nullptr && route->stream;
    co_await activeAttempt->exchange->run(std::move(request), stream ? streamAnswerBufferBytes : answerBufferBytes);
}

void ServingNode::finishAttempt(ActiveAttempt &activeAttempt, health::AttemptOutcome outcome)
{
    activeAttempt.running = false;
    m_runCalls.runEnded(activeAttempt.healthKey());
    m_context.health.attemptFinished(
        activeAttempt.hop.server, activeAttempt.healthKey(), outcome, m_context.clock.now() - activeAttempt.started);
    m_registry.finish({activeAttempt.hop.requestId(), static_cast<int>(activeAttempt.hop.attempt)});
    if (LocalServer *localServer = findLocalServer(activeAttempt.hop.server)) {
        const bool ranToItsEnd
            = outcome == health::AttemptOutcome::Success || outcome == health::AttemptOutcome::Timeout;
        m_pauses.check();
        localServer->admission.queue().finished(activeAttempt.id(),
                                                ranToItsEnd && !m_pauses.pausedSince(activeAttempt.started));
        m_context.metrics.countServed({localServer->admission.server().service,
                                       health::name(outcome),
                                       m_context.clock.now() - activeAttempt.started});
        const bool answered
            = activeAttempt.exchange && activeAttempt.exchange->progress() >= net::ExchangeProgress::HeadReceived;
        localServer->admission.recordEnd(outcome, answered);
        recordOutcome(*localServer, activeAttempt, outcome);
    }
    m_attempts.erase(activeAttempt.id());
    m_context.schedulePump();
}

void ServingNode::recordEntry(LocalServer &localServer, const base::VmId &entry)
{
    const auto now = m_context.clock.now();
    if (localServer.recentEntries.size() >= maxNotifiedEntries) {
        std::erase_if(localServer.recentEntries,
                      [&](const auto &known) { return now - known.second > entryRetention; });
    }
    if (entry != m_context.settings.vm
        && (localServer.recentEntries.size() < maxNotifiedEntries || localServer.recentEntries.contains(entry))) {
        localServer.recentEntries[entry] = now;
    }
}

/// Notifies the entries that recently used the server of its hold, so that they need not learn of it by a refusal.
void ServingNode::notifyHold(const LocalServer &localServer, std::string_view evidence)
{
    const auto now = m_context.clock.now();
    const base::BackendServerId &server = localServer.admission.server().id;
    m_context.gray.update(server, localServer.admission.hold().grayProbability(now));
    m_context.metrics.countHold(localServer.admission.server().service, evidence);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Held back a backend server." << base::field("server", server)
                                    << base::field("evidence", evidence)
                                    << base::field("grayPercent", int{localServer.admission.grayPercent()});
    const health::GrayNotice notice{server.value(), localServer.admission.grayPercent()};
    for (const auto &[entry, seen] : localServer.recentEntries) {
        if (now - seen <= entryRetention) {
            m_context.send(wire::outgoing(entry, wire::MessageKind::GrayNotice, notice));
        }
    }
}

/// Drops the attempts that can't be repeated from the overflow of a server that is held, so that their entries place
/// them elsewhere. If requests at the server hang, no slot becomes free before their deadlines.
void ServingNode::dropNonRetryableOverflow(LocalServer &localServer)
{
    if (!m_context.settings.ejection || !localServer.admission.isHeldBack(false)) {
        return;
    }
    for (const auto &[id, activeAttempt] : m_attempts) {
        const wire::HopRequest &hop = activeAttempt->hop;
        const bool waits = activeAttempt->inOverflow && !activeAttempt->decision && !activeAttempt->stopped;
        if (!waits || hop.server != localServer.admission.server().id || hop.idempotent || hop.lastResort) {
            continue;
        }
        localServer.admission.queue().cancel(id);
        m_registry.drop({id.request, id.attempt});
        activeAttempt->decision = limits::QueueDecision{id, false, ResultCode::HopBackendServerEjected, {}};
        activeAttempt->changed.notify();
    }
}

void ServingNode::recordOutcome(LocalServer &localServer,
                                const ActiveAttempt &activeAttempt,
                                health::AttemptOutcome outcome)
{
    const auto now = m_context.clock.now();
    const bool timedOut = outcome == health::AttemptOutcome::Timeout;
    if (timedOut && (activeAttempt.overdue || m_pauses.pausedSince(activeAttempt.started))) {
        // The failure was counted when the attempt became overdue, or the timeout passed while this process was paused.
        outcome = health::AttemptOutcome::CancelledByUs;
    }
    const std::chrono::duration<double> run = now - activeAttempt.started;
    const double relativeTime = run / std::max(expectedRun(localServer, activeAttempt.hop.route), minMeanRunTime);
    switch (localServer.admission.hold().ended(activeAttempt.healthKey(), outcome, relativeTime, now)) {
    case health::HoldChange::Held:
        notifyHold(localServer, "failed");
        dropNonRetryableOverflow(localServer);
        break;
    case health::HoldChange::Returned:
        m_context.metrics.countReturn(localServer.admission.server().service);
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server answers again."
                                        << base::field("request", activeAttempt.hop.logId())
                                        << base::field("server", activeAttempt.hop.server)
                                        << (m_context.settings.confirmsRecovery
                                                ? recoveryFields(localServer.admission.hold().recovery().summary())
                                                : std::string());
        break;
    case health::HoldChange::None:
        break;
    }
    if (outcome == health::AttemptOutcome::Success) {
        m_context.gray.update(activeAttempt.hop.server, localServer.admission.hold().grayProbability(now));
    } else if (isFailure(outcome)) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server failed."
                                        << base::field("request", activeAttempt.hop.logId())
                                        << base::field("server", activeAttempt.hop.server)
                                        << base::field("how", health::name(outcome))
                                        << base::field("runMs", milliseconds(now - activeAttempt.started))
                                        << base::field("grayPercent", int{localServer.admission.grayPercent()});
    }
}

ServedAnswer ServingNode::answerOf(const ActiveAttemptPtr &activeAttempt)
{
    const net::HttpExchange &exchange = *activeAttempt->exchange;
    ServedAnswer answer;
    const bool headCame = exchange.progress() >= net::ExchangeProgress::HeadReceived;
    const bool proven = activeAttempt->answerKind != AnswerKind::Unproven;
    if (headCame && proven && exchange.failure() == net::ExchangeFailure::None) {
        if (activeAttempt->answerKind == AnswerKind::NotRun || activeAttempt->answerKind == AnswerKind::OtherServer) {
            return refusedByServer(activeAttempt);
        }
        answer.head = exchange.head();
        answer.body = std::move(activeAttempt->exchange->body());
        const auto outcome = outcomeOf(*activeAttempt, exchange.head().result_int());
        if (exchange.progress() == net::ExchangeProgress::Complete) {
            finishAttempt(*activeAttempt, outcome);
        } else {
            answer.remainingBody = std::make_unique<BackendBody>(*this, activeAttempt);
        }
        answer.reply = replyOf(*activeAttempt);
        answer.reply.callFailed = outcome == health::AttemptOutcome::CallFailed;
        return answer;
    }

    // No byte is written before the connection is established, so this is the only failure that proves that nothing
    // ran.
    const bool neverSent = exchange.progress() == net::ExchangeProgress::Connecting;
    auto outcome = neverSent ? health::AttemptOutcome::ConnectionRefused : health::AttemptOutcome::Partial;
    auto code = neverSent ? ResultCode::HopBackendServerRefused : ResultCode::AnswerIncomplete;
    if (exchange.failure() == net::ExchangeFailure::InvalidStatus) {
        code = ResultCode::AnswerStatusInvalid;
    }
    if (activeAttempt->timedOut) {
        outcome = health::AttemptOutcome::Timeout;
        code = ResultCode::DeadlineExceeded;
    } else if (activeAttempt->stopped) {
        outcome = health::AttemptOutcome::CancelledByUs;
        code = ResultCode::HopCancelled;
    }
    if (neverSent && !activeAttempt->stopped) {
        if (LocalServer *localServer = findLocalServer(activeAttempt->hop.server)) {
            if (!localServer->admission.isDown()) {
                PAPAYASTEP_LOG(INFO, logPrefix)
                    << "A backend server is down; it gets no attempts until it answers a probe."
                    << base::field("server", activeAttempt->hop.server);
            }
            localServer->admission.recordConnectionFailure();
            // A server that is down loses its open connections too, without a notice if its VM lost power.
            m_context.backendPool.clear();
            m_context.probePool.clear();
        }
    }
    finishAttempt(*activeAttempt, outcome);
    if (neverSent) {
        return refusalOf(*activeAttempt, code, {});
    }
    answer.reply = replyOf(*activeAttempt);
    answer.reply.outcome = static_cast<std::uint8_t>(wire::HopOutcome::Unknown);
    answer.reply.code = number(code);
    answer.reply.serverEnded = activeAttempt->serverEnded;
    PAPAYASTEP_LOG(WARNING, logPrefix) << "Received no complete answer."
                                       << base::field("request", activeAttempt->hop.logId())
                                       << base::field("server", activeAttempt->hop.server)
                                       << base::field("code", number(code))
                                       << base::field("status", exchange.head().result_int())
                                       << base::field("serverEnded", activeAttempt->serverEnded)
                                       << base::field("runningBeside", m_attempts.size());
    return answer;
}

health::AttemptOutcome ServingNode::outcomeOf(const ActiveAttempt &activeAttempt, unsigned status)
{
    const auto outcome = outcomeOfAnswer(activeAttempt.answerKind, status);
    const bool reportsTimeout
        = status == gatewayTimeout && m_context.clock.now() + timeoutReportTolerance >= activeAttempt.deadline;
    if (reportsTimeout) {
        return health::AttemptOutcome::Timeout;
    }
    if (outcome != health::AttemptOutcome::Error || !m_runCalls.explainsFailure(activeAttempt.healthKey())) {
        return outcome;
    }
    PAPAYASTEP_LOG(INFO, logPrefix) << "An attempt failed because a call that it made failed."
                                    << base::field("request", activeAttempt.hop.logId())
                                    << base::field("server", activeAttempt.hop.server);
    return health::AttemptOutcome::CallFailed;
}

/// Returns the refusal for an attempt that the backend server itself reports as not run, which proves it.
ServedAnswer ServingNode::refusedByServer(const ActiveAttemptPtr &activeAttempt)
{
    const bool otherServer = activeAttempt->answerKind == AnswerKind::OtherServer;
    finishAttempt(*activeAttempt,
                  outcomeOfAnswer(activeAttempt->answerKind, activeAttempt->exchange->head().result_int()));
    return refusalOf(
        *activeAttempt, otherServer ? ResultCode::HopBackendServerReplaced : ResultCode::HopBackendServerShed, {});
}

ServedAnswer ServingNode::refusalOf(const ActiveAttempt &activeAttempt, ResultCode code, base::Duration retryAfter)
{
    // A replay proves nothing about the first copy, so it is the only refusal whose outcome is not `not-run`.
    const bool replayed = code == ResultCode::HopReplayed;
    ServedAnswer answer;
    answer.reply = replyOf(activeAttempt);
    answer.reply.outcome = static_cast<std::uint8_t>(replayed ? wire::HopOutcome::Unknown : wire::HopOutcome::NotRun);
    answer.reply.code = number(code);
    answer.reply.retryAfterMs = milliseconds(retryAfter);
    answer.reply.advice = replayed ? base::BackendServerId() : advise(activeAttempt);
    m_context.metrics.countRefusedAttempt(code);
    logRefusal(activeAttempt, answer.reply);
    return answer;
}

/// Logs that an attempt waits beyond the short queue, with the state of the queue.
void ServingNode::logOverflow(const ActiveAttempt &activeAttempt, const limits::SlotQueue &queue) const
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Queued an attempt in the overflow."
                                    << base::field("request", activeAttempt.hop.logId())
                                    << base::field("server", activeAttempt.hop.server)
                                    << base::field("running", queue.running()) << base::field("queued", queue.queued())
                                    << base::field("overflowing", queue.overflowing())
                                    << base::field("priority", int{activeAttempt.hop.priority})
                                    << base::field("leftMs", activeAttempt.hop.remaining / 1'000'000)
                                    << base::field("targetMs", activeAttempt.hop.remainingTarget / 1'000'000);
}

/// Logs a refusal with the inputs of the decision: the queue of the server and the probability of a gray failure.
void ServingNode::logRefusal(const ActiveAttempt &activeAttempt, const wire::HopReply &reply) const
{
    const auto found = m_localServers.find(activeAttempt.hop.server);
    const LocalServer *localServer = found != m_localServers.end() ? found->second.get() : nullptr;
    PAPAYASTEP_LOG(INFO, logPrefix)
        << "Refused an attempt." << base::field("request", activeAttempt.hop.logId())
        << base::field("attempt", activeAttempt.hop.attempt) << base::field("entry", activeAttempt.hop.entry)
        << base::field("server", activeAttempt.hop.server) << base::field("code", reply.code)
        << base::field("running", localServer != nullptr ? localServer->admission.queue().running() : 0)
        << base::field("queued", localServer != nullptr ? localServer->admission.queue().queued() : 0)
        << base::field("grayPercent", int{reply.grayPercent}) << base::field("revision", reply.revision)
        << base::field("retryAfterMs", reply.retryAfterMs) << base::field("advice", reply.advice);
}

wire::HopReply ServingNode::replyOf(const ActiveAttempt &activeAttempt) const
{
    wire::HopReply reply;
    reply.requestHigh = activeAttempt.hop.requestHigh;
    reply.requestLow = activeAttempt.hop.requestLow;
    reply.attempt = activeAttempt.hop.attempt;
    reply.server = activeAttempt.hop.server;
    if (m_context.active.configuration) {
        reply.revision = m_context.active.configuration->revision();
    }
    const auto now = m_context.clock.now();
    if (activeAttempt.started != base::TimePoint()) {
        reply.queueMicros = static_cast<std::uint32_t>(microseconds(activeAttempt.started - activeAttempt.arrived));
        reply.serverMicros = static_cast<std::uint32_t>(microseconds(now - activeAttempt.started));
    }
    const auto localServer = m_localServers.find(activeAttempt.hop.server);
    if (localServer != m_localServers.end()) {
        const routing::ServerAdmission &admission = localServer->second->admission;
        reply.grayPercent = admission.grayPercent();
        reply.hasServerNotice = true;
        reply.serverIncarnation = admission.server().incarnation;
        reply.serverLimit = admission.announced().requestsPerSecond.value_or(-1);
        reply.serverLeaving = admission.announced().isLeaving;
    }
    reply.report = wire::encode(m_context.health.report(activeAttempt.hop.server));
    return reply;
}

// An entry of a large fleet sends too few requests to a service to estimate its servers well, whereas this node
// receives the state of the sibling servers every second. So a refusal names the sibling that should be tried next, and
// the entry need not choose by its own estimates again.
base::BackendServerId ServingNode::advise(const ActiveAttempt &activeAttempt)
{
    const auto &configuration = m_context.active.configuration;
    if (!configuration || activeAttempt.hop.redirected || !m_context.placement->followsAdvice()) {
        return {};
    }
    const config::BackendServer *server = configuration->backendServer(activeAttempt.hop.server);
    if (server == nullptr) {
        return {};
    }
    const auto candidates = candidatesOf(m_context, server->service);
    routing::PlacementRequest request{
        m_context.settings.zone, activeAttempt.hop.idempotent, {activeAttempt.hop.server}};
    request.remaining = base::Duration(activeAttempt.hop.remaining);
    request.remainingTarget = base::Duration(activeAttempt.hop.remainingTarget);
    const auto placement = m_context.placement->place(candidates, request, m_context.random);
    return placement.candidate ? candidates[*placement.candidate].server : base::BackendServerId();
}

}
