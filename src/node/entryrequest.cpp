#include "entryrequest.h"
#include "serverends.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/node/refusals.h"
#include "papayastep/node/streamedanswer.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "routing";

std::int64_t milliseconds(base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

using base::ResultCode;
using routing::RequestEvent;

std::string_view verdictName(routing::ClaimVerdict verdict)
{
    switch (verdict) {
    case routing::ClaimVerdict::Run:
        return "run";
    case routing::ClaimVerdict::Answer:
        return "answer";
    case routing::ClaimVerdict::Refuse:
        return "refuse";
    }
    return "unknown";
}

}

EntryRequest::EntryRequest(EntryHandler &handler, net::ServerExchange &exchange)
    : m_handler(handler)
    , m_context(handler.m_context)
    , m_exchange(exchange)
    , m_id(m_context.newRequestId())
    , m_arrived(m_context.clock.now())
    , m_changed(m_context.io)
    , m_serverSelector(m_context, handler.m_serving, m_id, m_changed)
    , m_attemptMonitor(m_context, m_changed)
    , m_active(m_context.active)
{
    m_handler.m_openRequests[m_id] = this;
}

EntryRequest::~EntryRequest()
{
    if (m_claimed) {
        // The request ended early and may have run, so its idempotency key must not become free again.
        m_context.ledgerClient.completeUnknown(m_id);
    }
    m_handler.m_openRequests.erase(m_id);
}

net::Awaitable<void> EntryRequest::run()
{
    Step refused = co_await prepare();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    m_machine.handle(RequestEvent::Admit);
    m_exchange.watchClient([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            // With an idempotency key the attempt continues although the caller has disconnected, because the ledger
            // needs its outcome.
            m_callerGone = m_caller.idempotencyKey.empty();
            m_changed.notify();
        }
    });
    if (!m_caller.idempotencyKey.empty()) {
        refused = co_await claimKey();
        if (refused) {
            co_await refuse(*refused);
            co_return;
        }
        if (m_claim && m_claim->verdict == routing::ClaimVerdict::Answer) {
            co_await sendStoredAnswer();
            co_return;
        }
    }
    co_await runAttempts();
}

void EntryRequest::expire()
{
    m_progress.deadline = std::min(m_progress.deadline, m_context.clock.now());
    m_changed.notify();
}

void EntryRequest::admissionDecided(const limits::Admission &admission)
{
    m_admission = admission;
    m_changed.notify();
}

void EntryRequest::ledgerDecided(const routing::ClaimAnswer &answer)
{
    m_claim = answer;
    m_changed.notify();
}

void EntryRequest::ledgerRecorded()
{
    m_changed.notify();
}

void EntryRequest::slotOffered(const wire::SlotOffer &offer)
{
    m_serverSelector.slotOffered(offer);
}

void EntryRequest::cancelAnswered(int attempt,
                                  routing::CancelAnswer answer,
                                  const EntryHandler::CancelAnswerVerifier &proven)
{
    if (m_attemptMonitor.attempt() != nullptr
        && static_cast<int>(m_attemptMonitor.attempt()->hop().attempt) == attempt) {
        m_attemptMonitor.attempt()->cancelAnswered(proven(answer, m_attemptMonitor.attempt()->startedAt()));
    }
}

net::Awaitable<EntryRequest::Step> EntryRequest::prepare()
{
    Step refused;
    try {
        // Comes first, because each answer must have the caller's own id of the request.
        m_caller = m_context.callers().read(m_exchange.head());
        if (m_context.draining) {
            co_return notRunRefusal(ResultCode::NodeDraining);
        }
        m_isCall = mayBeCall();
        m_isCallOfRepeat = m_isCall && drawIsCallOfRepeat();
        refused = identify();
    } catch (const base::Error &error) {
        refused = notRunRefusal(error.code());
    }
    if (!refused) {
        refused = co_await readBody();
    }
    if (!refused) {
        refused = checkServerEnds();
    }
    if (!refused) {
        refused = co_await takeToken();
    }
    co_return refused;
}

/// Whether the request may be a call of a backend server of this VM. Backend servers send their calls to their own node
/// like any caller, but without a key.
bool EntryRequest::mayBeCall() const
{
    return m_caller.key.empty() && m_caller.timeout
        && m_handler.m_serving.runCalls().mayBeNestedCall(m_arrived + *m_caller.timeout);
}

/// Whether to count the call as one of a repeated run. Nothing identifies the run that made it, so it is drawn among
/// those that may have; on average the counts are right.
bool EntryRequest::drawIsCallOfRepeat()
{
    const double share = m_handler.m_serving.runCalls().repeatShare(m_arrived + *m_caller.timeout);
    return std::bernoulli_distribution(share)(m_context.random);
}

void EntryRequest::reportFailedCall()
{
    if (m_isCall) {
        m_handler.m_serving.runCalls().callFailed(m_arrived + *m_caller.timeout);
    }
}

EntryRequest::Step EntryRequest::identify()
{
    if (!m_active.configuration) {
        return notRunRefusal(ResultCode::NodeNotReady);
    }
    const net::RequestHead &head = m_exchange.head();
    const auto match = m_active.routes->match(
        net::view(head[net::http::field::host]), net::view(head.method_string()), net::view(head.target()));
    m_workspace = {};
    m_fingerprint.clear();
    if (!match || !match->route->isPublic) {
        if (Step refused = identifyWorkspace()) {
            return refused;
        }
    }
    if (!match) {
        return notRunRefusal(ResultCode::RouteUnknown);
    }
    applyRoute(*match);
    return std::nullopt;
}

EntryRequest::Step EntryRequest::identifyWorkspace()
{
    if (m_caller.key.empty()) {
        return notRunRefusal(ResultCode::KeyMissing);
    }
    const config::KeyFingerprint fingerprint = config::fingerprintOf(m_caller.key);
    const config::Workspace *workspace = m_active.configuration->workspaceOfKey(fingerprint);
    if (workspace == nullptr) {
        return notRunRefusal(ResultCode::KeyUnknown);
    }
    m_fingerprint = fingerprint.toString();
    m_workspace = workspace->id;
    return std::nullopt;
}

void EntryRequest::applyRoute(const routing::RouteMatch &match)
{
    m_route = match.route;
    m_progress.service = routing::chooseService(*m_route, m_context.random);
    m_progress.workspace = m_workspace;
    m_progress.idempotent = match.idempotent;
    m_progress.maxAttempts = m_route->maxAttempts;
    m_progress.deadline = m_arrived + std::min(m_route->deadline, m_caller.timeout.value_or(m_route->deadline));
    if (match.idempotent) {
        m_caller.idempotencyKey.clear();
    }
    m_progress.hasIdempotencyKey = !m_caller.idempotencyKey.empty();
    const config::Workspace *workspace = m_active.configuration->workspace(m_workspace);
    m_priority = workspace != nullptr ? workspace->priority.value_or(m_route->priority) : m_route->priority;
    if (m_isCall) {
        // The work of the run is lost if the call fails, so the call is as urgent as the run, whatever its route
        // states.
        const auto priority = m_handler.m_serving.runCalls().leastUrgentPriority(m_arrived + *m_caller.timeout);
        m_priority = priority.value_or(m_priority);
    }
}

net::Awaitable<EntryRequest::Step> EntryRequest::readBody()
{
    try {
        std::string body = co_await m_exchange.readBody();
        m_body = net::SharedBody(std::move(body));
    } catch (const base::Error &error) {
        co_return notRunRefusal(error.code());
    }
    // A key may be withdrawn while a slow body is received, so the request is checked against the new configuration.
    if (m_context.active.configuration != m_active.configuration) {
        m_active = m_context.active;
        co_return identify();
    }
    co_return std::nullopt;
}

routing::RequestDigest EntryRequest::digest() const
{
    const net::RequestHead &head = m_exchange.head();
    return routing::requestDigest(
        m_workspace, net::view(head.method_string()), net::view(head.target()), m_body.view());
}

EntryRequest::Step EntryRequest::checkServerEnds() const
{
    if (m_context.serverEnds.isEmpty() || m_context.serverEnds.admit(digest())) {
        return std::nullopt;
    }
    return m_context.retryPolicy.refusalFor(m_progress, ResultCode::RequestEndsServers, {});
}

/// Records that the server of the present attempt ended under it, if the node beside the server has reported that.
void EntryRequest::recordServerEnd()
{
    Attempt &attempt = *m_attemptMonitor.attempt();
    if (!attempt.finished() || attempt.hopFailed() || !attempt.answer().reply.serverEnded) {
        return;
    }
    routing::ServerEnd end{digest(), {m_id, static_cast<int>(attempt.hop().attempt)}, attempt.startedAt(), false};
    const routing::ServerEndCount count = m_context.serverEnds.record(end);
    end.followsEnd = count.followsEnd;
    m_serverEnds.push_back(end);
    PAPAYASTEP_LOG(WARNING, logPrefix) << "A backend server ended while it ran a request."
                                       << base::field("request", shownId())
                                       << base::field("attempt", end.attempt.attempt)
                                       << base::field("server", attempt.hop().server)
                                       << base::field("ends", count.ends);
}

/// Notifies other nodes of the ends under this request, unless there is only one and the caller may not repeat the
/// request. When a rack fails, that is nearly always so, and each notice would cost a message for each server.
void EntryRequest::notifyServerEnds()
{
    const bool isRepeated = std::any_of(
        m_serverEnds.begin(), m_serverEnds.end(), [](const routing::ServerEnd &end) { return end.followsEnd; });
    if (m_progress.idempotent || isRepeated) {
        node::notifyServerEnds(m_context, m_progress.service, m_serverEnds);
    }
    m_serverEnds.clear();
}

net::Awaitable<EntryRequest::Step> EntryRequest::takeToken()
{
    const config::Workspace *workspace = m_active.configuration->workspace(m_workspace);
    if (workspace == nullptr || !workspace->isLimited()) {
        co_return std::nullopt;
    }
    m_admission.reset();
    limits::Admission admission = m_context.tokens.acquire(m_workspace, m_id, m_progress.deadline);
    m_context.schedulePump();
    while (std::holds_alternative<limits::Waiting>(admission)) {
        co_await m_changed.waitUntil(m_progress.deadline);
        if (m_admission) {
            admission = *m_admission;
        } else if (m_context.clock.now() >= m_progress.deadline) {
            m_context.tokens.cancelWaiting(m_id);
            co_return notRunRefusal(ResultCode::RateExceeded);
        }
    }
    if (const auto *refused = std::get_if<limits::Refused>(&admission)) {
        m_tokensRefusedBy = refused->unanswered ? "nobody-answered" : refused->decidedBy.value();
        co_return notRunRefusal(refused->code, refused->retryAfter);
    }
    m_token = std::get<limits::Admitted>(admission).token;
    co_return std::nullopt;
}

/// Acquires a token for a retry if needed. A token covers one attempt that may reach a backend server; an attempt that
/// provably never ran leaves the token for the next one.
net::Awaitable<EntryRequest::Step> EntryRequest::takeRetryToken()
{
    const bool spent = m_token && m_context.tokens.chargesRepeats()
        && (m_progress.mayHaveRun || m_context.clock.now() >= m_token->usableUntil);
    if (!spent) {
        co_return std::nullopt;
    }
    co_return co_await takeToken();
}

net::Awaitable<EntryRequest::Step> EntryRequest::claimKey()
{
    routing::ClaimRequest claim;
    claim.request = m_id;
    claim.workspace = m_workspace;
    claim.key = m_caller.idempotencyKey;
    claim.digest = routing::bodyDigest(
        net::view(m_exchange.head().method_string()), net::view(m_exchange.head().target()), m_body.view());
    claim.service = m_progress.service;
    claim.retention = m_route->retention;
    claim.deadline = m_progress.deadline;
    m_machine.handle(RequestEvent::Claim);
    m_context.ledgerClient.claim(claim);
    m_context.schedulePump();
    while (!m_claim) {
        co_await m_changed.waitUntil(m_progress.deadline + std::chrono::seconds(1));
        if (!m_claim && m_context.clock.now() >= m_progress.deadline) {
            m_context.ledgerClient.abandon(m_id);
            co_return notRunRefusal(ResultCode::IdempotencyHomeUnreachable);
        }
    }
    const bool claimRefused = m_claim->verdict == routing::ClaimVerdict::Refuse;
    PAPAYASTEP_LOG(INFO, "ledger") << "Checked an idempotency key." << base::field("request", shownId())
                                   << base::field("workspace", m_workspace)
                                   << base::field("verdict", verdictName(m_claim->verdict))
                                   << base::field("code", claimRefused ? number(m_claim->refusal.code) : 0);
    if (m_claim->verdict == routing::ClaimVerdict::Refuse) {
        co_return m_claim->refusal;
    }
    if (m_claim->verdict == routing::ClaimVerdict::Run) {
        m_claimed = true;
        m_machine.handle(RequestEvent::ClaimGranted);
    }
    co_return std::nullopt;
}

net::Awaitable<void> EntryRequest::runAttempts()
{
    Step refused = co_await place();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    while (m_attemptMonitor.attempt() != nullptr) {
        const routing::AttemptResult result = co_await m_attemptMonitor.next(m_progress.deadline, m_callerGone);
        if (result.event == routing::AttemptEvent::AcknowledgedThenSilent && m_context.stopping) {
            // A planned stop must not abort an attempt that a server is processing, because a retry may find no free
            // server.
            continue;
        }
        recordServerEnd();
        m_serverSelector.recordResult(m_currentServer, result, m_attemptMonitor.advice());
        const routing::RetryDecision decision = m_context.retryPolicy.decide(m_progress, result);
        m_context.metrics.countAttempt(m_progress.service, routing::name(result.event));
        m_context.metrics.countRetryDecision(m_progress.service, routing::name(decision.action));
        if (result.event != routing::AttemptEvent::Complete) {
            const wire::HopRequest &hop = m_attemptMonitor.attempt()->hop();
            PAPAYASTEP_LOG(INFO, logPrefix)
                << "Decided after an attempt." << base::field("request", shownId())
                << base::field("attempt", hop.attempt) << base::field("server", hop.server)
                << base::field("event", routing::name(result.event)) << base::field("code", number(result.code))
                << base::field("action", routing::name(decision.action)) << base::field("reason", decision.reason);
        }
        if (co_await applyDecision(decision)) {
            co_return;
        }
    }
}

net::Awaitable<EntryRequest::Step> EntryRequest::place()
{
    const ServerRequirements need = serverRequirements();
    const auto choice = co_await m_serverSelector.choose(need, m_callerGone);
    if (m_callerGone) {
        // Nothing has been sent, and there is no caller left to answer.
        abandon("The caller disconnected while a server was chosen.");
        co_return std::nullopt;
    }
    if (const auto *none = std::get_if<NoServer>(&choice)) {
        m_surveyTally = none->surveyTally;
        co_return m_context.retryPolicy.refusalFor(m_progress, none->code, none->retryAfter);
    }
    begin(std::get<ChosenServer>(choice));
    co_return std::nullopt;
}

/// Replaces an attempt that hangs by an attempt at another server that has a free slot. Without such a server the
/// request continues to wait, because the attempt may still succeed: otherwise, in an overload, 95 of 311 failures were
/// lookups aborted for a retry that found no server.
net::Awaitable<void> EntryRequest::moveToOtherServer()
{
    const ServerRequirements need = serverRequirements();
    const auto choice = co_await m_serverSelector.choose(need, m_callerGone);
    const auto *chosen = std::get_if<ChosenServer>(&choice);
    if (chosen == nullptr) {
        m_surveyTally = std::get<NoServer>(choice).surveyTally;
        logContinuedWait("No other server has a free slot.");
        co_return;
    }
    const Step unpaid = co_await takeRetryToken();
    if (unpaid || m_callerGone || m_attemptMonitor.attempt()->finished()) {
        logContinuedWait(unpaid ? "No token is available for a retry." : "The attempt ended meanwhile.");
        co_return;
    }
    m_machine.handle(RequestEvent::Retry);
    m_attemptMonitor.attempt()->requestCancel(true);
    m_attemptMonitor.abandon();
    begin(*chosen);
}

void EntryRequest::begin(const ChosenServer &chosen)
{
    m_context.retryPolicy.beginAttempt(m_progress);
    auto attempt = makeAttempt(chosen);
    m_currentServer = chosen.candidate.server;
    m_machine.handle(RequestEvent::Place);
    m_context.metrics.countPlacement(m_progress.service, chosen.reason);
    logPlacement(chosen);
    m_attemptMonitor.begin(
        std::move(attempt), m_context.retryPolicy.timeouts(m_progress, chosen.medianLatency), forwardedRequest());
}

ServerRequirements EntryRequest::serverRequirements() const
{
    ServerRequirements need;
    need.service = m_progress.service;
    need.workspace = m_workspace;
    need.route = m_route->id;
    need.priority = m_priority;
    need.idempotent = m_progress.idempotent;
    need.isRepeat = m_progress.serverAttempts > 0 || m_isCallOfRepeat;
    need.deadline = m_progress.deadline;
    need.isCall = m_isCall;
    if (m_route->targetLatency > base::Duration::zero()) {
        need.targetTime = m_arrived + m_route->targetLatency;
    }
    return need;
}

AttemptPtr EntryRequest::makeAttempt(const ChosenServer &chosen)
{
    const routing::Candidate &server = chosen.candidate;
    const auto now = m_context.clock.now();
    wire::HopRequest hop;
    hop.requestHigh = m_id.high;
    hop.requestLow = m_id.low;
    hop.attempt = static_cast<std::uint32_t>(m_progress.nodeAttempts);
    hop.entry = m_context.settings.vm;
    hop.entryIncarnation = m_context.incarnation;
    hop.workspace = m_workspace;
    hop.keyFingerprint = m_fingerprint;
    hop.server = server.server;
    hop.route = m_route->id;
    hop.revision = m_active.configuration->revision();
    hop.remaining = (m_progress.deadline - now).count();
    hop.sent = now.time_since_epoch().count();
    hop.idempotent = m_progress.idempotent;
    hop.redirected = chosen.followsAdvice;
    hop.callerService = m_context.settings.service;
    hop.callerId = m_caller.id;
    hop.priority = static_cast<std::uint8_t>(m_priority);
    if (m_route->targetLatency > base::Duration::zero()) {
        hop.remainingTarget = std::max<std::int64_t>(1, (m_arrived + m_route->targetLatency - now).count());
    }
    hop.lastResort = chosen.lastResort;
    hop.isNestedCall = m_isCall;
    hop.isRepeat = m_progress.serverAttempts > 1 || m_isCallOfRepeat;
    hop.serverEnds = static_cast<std::uint8_t>(m_serverEnds.size());
    if (const config::BackendServer *listed = m_context.active.configuration->backendServer(server.server)) {
        hop.serverIncarnation = listed->incarnation;
        hop.serverLimit
            = m_context.announcements.requestsPerSecond(server.server, listed->incarnation).value_or(hop.serverLimit);
    }
    const config::VmEntry *vm = m_context.vms.find(server.vm);
    if (server.vm == m_context.settings.vm || vm == nullptr) {
        return std::make_shared<LocalAttempt>(m_context, std::move(hop), m_handler.m_serving);
    }
    return std::make_shared<RemoteAttempt>(
        m_context, std::move(hop), server.vm, net::Endpoint{vm->address, vm->hopPort});
}

net::ClientRequest EntryRequest::forwardedRequest() const
{
    const net::RequestHead &head = m_exchange.head();
    net::ClientRequest request;
    request.head.method_string(head.method_string());
    request.head.target(head.target());
    net::copyEndToEnd(head, request.head);
    // The key is not forwarded, because no serving node and no backend server needs it.
    m_context.callers().strip(request.head);
    request.head.erase(net::http::field::expect);
    request.head.erase(net::http::field::content_length);
    request.body = m_body;
    return request;
}

net::Awaitable<bool> EntryRequest::applyDecision(const routing::RetryDecision &decision)
{
    switch (decision.action) {
    case routing::RetryAction::AnswerCaller:
        co_await forwardAnswer(std::move(m_attemptMonitor.release()->answer()));
        co_return true;
    case routing::RetryAction::RetryElsewhere:
        co_return co_await retry(decision);
    case routing::RetryAction::CancelFirst:
        m_machine.handle(RequestEvent::Cancel);
        m_attemptMonitor.beginCancel(m_progress.idempotent);
        co_return false;
    case routing::RetryAction::Wait:
        if (m_attemptMonitor.attempt()->finished()) {
            // No more events of this attempt will follow, and nothing proves that it did not run.
            m_progress.mayHaveRun = true;
            co_await refuse(m_context.retryPolicy.refusalFor(m_progress, ResultCode::OutcomeUnknown, {}));
            co_return true;
        }
        m_machine.handle(RequestEvent::CancelFailed);
        co_return false;
    case routing::RetryAction::Refuse: {
        const Step endsServers = checkServerEnds();
        co_await refuse(endsServers.value_or(decision.refusal));
        co_return true;
    }
    case routing::RetryAction::BreakOff:
        notifyServerEnds();
        abandon(decision.reason);
        m_attemptMonitor.abandon();
        co_return true;
    }
    co_return true;
}

net::Awaitable<bool> EntryRequest::retry(const routing::RetryDecision &decision)
{
    if (decision.cancelPrevious) {
        if (!m_attemptMonitor.attempt()->finished()) {
            co_await moveToOtherServer();
            co_return false;
        }
        // The connection has ended, so no answer can be awaited. The serving node may not have detected that yet.
        m_attemptMonitor.attempt()->requestCancel(true);
    }
    m_machine.handle(RequestEvent::Retry);
    keepFailure();
    Step refused = checkServerEnds();
    if (refused) {
        co_await refuse(*refused);
        co_return true;
    }
    refused = co_await takeRetryToken();
    if (refused) {
        co_await refuse(m_context.retryPolicy.refusalFor(m_progress, refused->code, refused->retryAfter));
        co_return true;
    }
    refused = co_await place();
    if (refused) {
        co_await refuse(*refused);
        co_return true;
    }
    co_return false;
}

/// Keeps the answer of an attempt that failed and is to be repeated, for the case that no server accepts the repeat.
void EntryRequest::keepFailure()
{
    const bool isAnswer = m_attemptMonitor.attempt()->finished() && !m_attemptMonitor.attempt()->hopFailed()
        && m_attemptMonitor.attempt()->answer().outcome() == wire::HopOutcome::Answered;
    if (isAnswer && !m_attemptMonitor.attempt()->answer().remainingBody) {
        m_failure = std::move(m_attemptMonitor.release()->answer());
    }
    m_attemptMonitor.abandon();
}

net::Awaitable<void> EntryRequest::sendStoredAnswer()
{
    m_machine.handle(RequestEvent::Answer);
    countOutcome(EndedRequest::answeredOutcome, ResultCode::Ok);
    net::ResponseHead head;
    head.result(static_cast<unsigned>(m_claim->answer.status));
    for (const auto &[name, value] : m_claim->answer.headers) {
        head.insert(name, value);
    }
    m_context.callers().annotate(head, shownId(), {});
    head.set("Papayastep-Repeated", "answer of the first request with this Idempotency-Key");
    if (m_token) {
        m_context.tokens.giveBack(*m_token);
    }
    net::WholeAnswer repeated(std::move(head), m_claim->answer.body);
    co_await send(std::move(repeated));
}

net::Awaitable<void> EntryRequest::forwardAnswer(ServedAnswer answer)
{
    m_machine.handle(RequestEvent::Answer);
    if (m_claimed) {
        reportAnswerToLedger(answer);
        co_await waitForLedgerRecord();
    }
    net::ResponseHead head;
    head.result(answer.head.result_int());
    net::copyEndToEnd(answer.head, head);
    m_context.callers().annotate(head, shownId(), answer.reply.server);
    if (net::http::to_status_class(head.result_int()) != net::http::status_class::successful) {
        reportFailedCall();
    }
    const bool isShed = head.result() == net::http::status::service_unavailable
        || head.result() == net::http::status::too_many_requests;
    if (!m_context.serverEnds.isEmpty() && !answer.remainingBody && !isShed) {
        recordCompleteRun(m_context, m_progress.service, digest());
    }
    m_context.transferCost.record(m_route->id, m_body.size(), answer.bodyBytes());
    logAnswer(answer.head.result_int(), answer.reply.server);
    if (answer.remainingBody) {
        co_await forwardLargeAnswer(answer, std::move(head));
        co_return;
    }
    countOutcome(EndedRequest::answeredOutcome, ResultCode::Ok);
    net::WholeAnswer whole(std::move(head), std::move(answer.body));
    co_await send(std::move(whole));
}

net::Awaitable<void> EntryRequest::forwardLargeAnswer(ServedAnswer &answer, net::ResponseHead head)
{
    // A named result: GCC 12 destroys an argument by value twice when the co_await stands in a condition.
    const bool whole = co_await forwardStream(m_context.io, m_context.clock, m_exchange, answer, std::move(head));
    countOutcome(whole ? EndedRequest::answeredOutcome : EndedRequest::brokenOffOutcome, ResultCode::Ok);
    if (!whole) {
        const bool isLate = m_context.clock.now() >= answer.remainingBody->deadline();
        PAPAYASTEP_LOG(INFO, logPrefix) << "Broke an answer off." << base::field("request", shownId())
                                        << base::field("server", answer.reply.server)
                                        << base::field("reason", isLate ? "deadline" : "incomplete");
    }
}

net::Awaitable<void> EntryRequest::refuse(routing::Refusal refusal)
{
    if (m_failure) {
        m_attemptMonitor.abandon();
        co_await forwardAnswer(std::move(*m_failure));
        co_return;
    }
    notifyServerEnds();
    const bool notRun = refusal.outcome == routing::Outcome::NotRun;
    m_machine.handle(notRun ? RequestEvent::Refuse : RequestEvent::LoseTrack);
    m_attemptMonitor.abandon();
    reportFailedCall();
    if (notRun && m_token) {
        m_context.tokens.giveBack(*m_token);
    }
    m_token.reset();
    // Unlike an answer, a refusal does not wait until the ledger has recorded it: an unreachable home must not delay
    // the refusal. A repeated request that arrives before the report is asked to retry later.
    reportToLedger(refusal);
    m_context.schedulePump();
    countOutcome(routing::name(refusal.outcome), refusal.code);
    logRefusal(refusal);
    net::WholeAnswer answer = m_context.callers().refusal(refusal, shownId(), {});
    co_await send(std::move(answer));
}

net::Awaitable<void> EntryRequest::send(net::WholeAnswer answer)
{
    // A named result: GCC 12 destroys an argument by value twice when the co_await stands in a condition.
    const bool sent = co_await m_exchange.answer(std::move(answer));
    if (!sent) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Failed to send the answer to the caller."
                                        << base::field("request", shownId());
    }
}

void EntryRequest::abandon(std::string_view reason) const
{
    countOutcome(EndedRequest::givenUpOutcome, ResultCode::Ok);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Gave a request up." << base::field("request", shownId())
                                    << base::field("reason", reason) << base::field("attempts", m_progress.nodeAttempts)
                                    << base::field("tookMs", milliseconds(m_context.clock.now() - m_arrived));
}

void EntryRequest::countOutcome(std::string_view outcome, ResultCode code) const
{
    const auto took = m_context.clock.now() - m_arrived;
    m_context.metrics.countRequest({m_progress.service, m_progress.idempotent, outcome, code, took});
}

/// Logs a placement with the estimates on which it is based and their age.
void EntryRequest::logPlacement(const ChosenServer &chosen) const
{
    const routing::Candidate &server = chosen.candidate;
    const auto left = m_progress.deadline - m_context.clock.now();
    PAPAYASTEP_LOG(INFO, logPrefix) << "Placed an attempt." << base::field("request", shownId())
                                    << base::field("hop", m_id) << base::field("attempt", m_progress.nodeAttempts)
                                    << base::field("workspace", m_workspace) << base::field("route", m_route->id)
                                    << base::field("server", server.server) << base::field("vm", server.vm)
                                    << base::field("reason", chosen.reason) << base::field("asked", chosen.nodesAsked)
                                    << base::field("quotedMs",
                                                   milliseconds(server.quotedTime.value_or(base::Duration(0))))
                                    << base::field("slotsInUse", server.slotsInUse)
                                    << base::field("queued", server.queueLength)
                                    << base::field("grayPercent", std::lround(100 * server.failureRisk))
                                    << base::field("ageMs", milliseconds(server.loadAge))
                                    << base::field("revision", m_active.configuration->revision())
                                    << base::field("leftMs", milliseconds(left));
    if (chosen.lastResort && chosen.surveyTally.asked > 0) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "All servers are full or held back as gray."
                                        << base::field("request", shownId()) << base::field("server", server.server)
                                        << base::field("heard", chosen.surveyTally);
    }
}

void EntryRequest::logAnswer(unsigned status, const base::BackendServerId &server) const
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Answered a request." << base::field("request", shownId())
                                    << base::field("status", status) << base::field("server", server)
                                    << base::field("attempts", m_progress.nodeAttempts)
                                    << base::field("tookMs", milliseconds(m_context.clock.now() - m_arrived));
}

/// Logs that a silent attempt, which was to be retried at another server, is still awaited.
void EntryRequest::logContinuedWait(std::string_view reason) const
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Continued to wait for a silent attempt." << base::field("request", shownId())
                                    << base::field("attempt", m_progress.nodeAttempts)
                                    << base::field("server", m_currentServer) << base::field("reason", reason)
                                    << base::field("heard", m_surveyTally);
}

/// Logs a refusal. Refusals of requests that provably did not run occur by the hundred in an overload and are
/// summarised; a refusal with an unknown outcome is always logged on its own line, because users ask about it.
void EntryRequest::logRefusal(const routing::Refusal &refusal) const
{
    const bool isSummarised = refusal.outcome == routing::Outcome::NotRun;
    if (isSummarised && !m_context.refusalLog.record(refusal.code, shownId())) {
        return;
    }
    PAPAYASTEP_LOG(WARNING, logPrefix) << "Refused a request." << base::field("request", shownId())
                                       << base::field("hop", m_id) << base::field("workspace", m_workspace)
                                       << base::field("code", number(refusal.code))
                                       << base::field("outcome", routing::name(refusal.outcome))
                                       << base::field("server", m_currentServer)
                                       << base::field("attempts", m_progress.nodeAttempts)
                                       << base::field("retryAfterMs", milliseconds(refusal.retryAfter))
                                       << base::field("tookMs", milliseconds(m_context.clock.now() - m_arrived))
                                       << refusalDetails(refusal);
}

/// Returns the inputs of the decision to refuse, as log fields.
std::string EntryRequest::refusalDetails(const routing::Refusal &refusal) const
{
    std::ostringstream fields;
    if (refusal.code == ResultCode::RateExceeded) {
        fields << base::field("tokensRefusedBy", m_tokensRefusedBy);
    } else if (m_surveyTally.asked > 0) {
        fields << base::field("heard", m_surveyTally);
    }
    return fields.str();
}

void EntryRequest::reportToLedger(const routing::Refusal &refusal)
{
    if (!m_claimed) {
        return;
    }
    m_claimed = false;
    if (refusal.outcome == routing::Outcome::NotRun) {
        m_context.ledgerClient.completeNotRun(m_id);
    } else {
        m_context.ledgerClient.completeUnknown(m_id);
    }
}

void EntryRequest::reportAnswerToLedger(const ServedAnswer &answer)
{
    m_claimed = false;
    m_context.schedulePump();
    if (answer.remainingBody) {
        // The ledger stores no large answers, but it must record that the request ran.
        m_context.ledgerClient.completeUnknown(m_id);
        return;
    }
    routing::StoredAnswer stored;
    stored.status = static_cast<int>(answer.head.result_int());
    net::http::fields kept;
    net::copyEndToEnd(answer.head, kept);
    for (const auto &field : kept) {
        if (field.name() != net::http::field::content_length) {
            stored.headers.emplace_back(field.name_string(), field.value());
        }
    }
    stored.body = answer.body;
    m_context.ledgerClient.completeWithAnswer(m_id, std::move(stored));
}

/// Waits until the home of the idempotency key has recorded the end of the request. A caller that has its answer may
/// immediately repeat the request through another node; if the repeated request arrived before the report, it would be
/// refused because the first run had not ended. The wait is short, so that an unreachable home does not delay the
/// answer for long; the report is resent meanwhile.
net::Awaitable<void> EntryRequest::waitForLedgerRecord()
{
    const auto limit = std::min(m_progress.deadline, m_context.clock.now() + m_context.ledgerClient.recordTimeout());
    while (m_context.ledgerClient.isReporting(m_id)) {
        if (m_context.clock.now() >= limit) {
            PAPAYASTEP_LOG(INFO, "ledger")
                << "Stopped waiting for the home of the idempotency key to record the end."
                << base::field("request", shownId()) << base::field("workspace", m_workspace);
            co_return;
        }
        co_await m_changed.waitUntil(limit);
    }
}

std::string EntryRequest::shownId() const
{
    return m_caller.id.empty() ? toString(m_id) : m_caller.id;
}

}
