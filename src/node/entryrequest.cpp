#include "entryrequest.h"

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
    , m_choice(m_context, handler.m_serving, m_id, m_changed)
    , m_watch(m_context, m_changed)
    , m_inForce(m_context.inForce)
{
    m_handler.m_open[m_id] = this;
}

EntryRequest::~EntryRequest()
{
    if (m_claimed) {
        // Whatever cut this request short, its run may have happened: the key must not become free again.
        m_context.ledgerClient.completeUnknown(m_id);
    }
    m_handler.m_open.erase(m_id);
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
            // With an idempotency key the ledger wants to know how the run ends, though nobody waits here.
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
            co_await passStoredAnswer();
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
    m_choice.slotOffered(offer);
}

void EntryRequest::cancelAnswered(int attempt, routing::CancelAnswer answer, const EntryHandler::Proof &proven)
{
    if (m_watch.attempt() != nullptr && static_cast<int>(m_watch.attempt()->hop().attempt) == attempt) {
        m_watch.attempt()->cancelAnswered(proven(answer, m_watch.attempt()->startedAt()));
    }
}

net::Awaitable<EntryRequest::Step> EntryRequest::prepare()
{
    if (m_context.draining) {
        co_return notRun(ResultCode::NodeDraining);
    }
    Step refused;
    try {
        m_caller = m_context.callers().read(m_exchange.head());
        m_isCall = mayBeCall();
        refused = identify();
    } catch (const base::Error &error) {
        refused = notRun(error.code());
    }
    if (!refused) {
        refused = co_await readBody();
    }
    if (!refused) {
        refused = co_await takeToken();
    }
    co_return refused;
}

/// A backend server of this VM sends its calls here, like any caller, and without a key.
bool EntryRequest::mayBeCall() const
{
    return m_caller.key.empty() && m_caller.patience
        && m_handler.m_serving.runCalls().mayBeNestedCall(m_arrived + *m_caller.patience);
}

void EntryRequest::noteFailedCall()
{
    if (m_isCall) {
        m_handler.m_serving.runCalls().callFailed(m_arrived + *m_caller.patience);
    }
}

EntryRequest::Step EntryRequest::identify()
{
    if (!m_inForce.configuration) {
        return notRun(ResultCode::NodeNotReady);
    }
    const net::RequestHead &head = m_exchange.head();
    const auto match = m_inForce.routes->match(
        net::view(head[net::http::field::host]), net::view(head.method_string()), net::view(head.target()));
    m_workspace = {};
    m_fingerprint.clear();
    if (!match || !match->route->isPublic) {
        if (Step refused = identifyWorkspace()) {
            return refused;
        }
    }
    if (!match) {
        return notRun(ResultCode::RouteUnknown);
    }
    takeRoute(*match);
    return std::nullopt;
}

EntryRequest::Step EntryRequest::identifyWorkspace()
{
    if (m_caller.key.empty()) {
        return notRun(ResultCode::KeyMissing);
    }
    const config::KeyFingerprint fingerprint = config::fingerprintOf(m_caller.key);
    const config::Workspace *workspace = m_inForce.configuration->workspaceOfKey(fingerprint);
    if (workspace == nullptr) {
        return notRun(ResultCode::KeyUnknown);
    }
    m_fingerprint = fingerprint.toString();
    m_workspace = workspace->id;
    return std::nullopt;
}

void EntryRequest::takeRoute(const routing::RouteMatch &match)
{
    m_route = match.route;
    m_progress.service = routing::chooseService(*m_route, m_context.random);
    m_progress.workspace = m_workspace;
    m_progress.idempotent = match.idempotent;
    m_progress.maxAttempts = m_route->maxAttempts;
    m_progress.deadline = m_arrived + std::min(m_route->deadline, m_caller.patience.value_or(m_route->deadline));
    if (match.idempotent) {
        m_caller.idempotencyKey.clear();
    }
    m_progress.hasIdempotencyKey = !m_caller.idempotencyKey.empty();
    const config::Workspace *workspace = m_inForce.configuration->workspace(m_workspace);
    m_priority = workspace != nullptr ? workspace->priority.value_or(m_route->priority) : m_route->priority;
}

net::Awaitable<EntryRequest::Step> EntryRequest::readBody()
{
    try {
        m_body = co_await m_exchange.readBody();
    } catch (const base::Error &error) {
        co_return notRun(error.code());
    }
    // A slow body leaves time for a key to be withdrawn, so the configuration is looked at again.
    if (m_context.inForce.configuration != m_inForce.configuration) {
        m_inForce = m_context.inForce;
        co_return identify();
    }
    co_return std::nullopt;
}

net::Awaitable<EntryRequest::Step> EntryRequest::takeToken()
{
    const config::Workspace *workspace = m_inForce.configuration->workspace(m_workspace);
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
            co_return notRun(ResultCode::RateExceeded);
        }
    }
    if (const auto *refused = std::get_if<limits::Refused>(&admission)) {
        m_tokensRefusedBy = refused->silent ? "nobody-answered" : refused->by.value();
        co_return notRun(refused->code, refused->retryAfter);
    }
    m_token = std::get<limits::Admitted>(admission).token;
    co_return std::nullopt;
}

/// A token pays for one attempt that may reach a backend server; one proved never to have run keeps its token.
net::Awaitable<EntryRequest::Step> EntryRequest::payRepeat()
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
        net::view(m_exchange.head().method_string()), net::view(m_exchange.head().target()), m_body);
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
            co_return notRun(ResultCode::IdempotencyHomeUnreachable);
        }
    }
    const bool claimRefused = m_claim->verdict == routing::ClaimVerdict::Refuse;
    PAPAYASTEP_LOG(INFO, "ledger") << "Decided on an idempotency key." << base::field("request", shownId())
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
    while (m_watch.attempt() != nullptr) {
        const routing::AttemptResult result = co_await m_watch.next(m_progress.deadline, m_callerGone);
        if (result.event == routing::AttemptEvent::AcknowledgedThenSilent && m_context.stopping) {
            // A planned stop must not break off what a server is at work on, and a repeat may find no place.
            continue;
        }
        m_choice.noteResult(m_current, result, m_watch.advice());
        const routing::RetryDecision decision = m_context.retryPolicy.decide(m_progress, result);
        m_context.metrics.countAttempt(m_progress.service, routing::name(result.event));
        m_context.metrics.countRetryDecision(m_progress.service, routing::name(decision.action));
        if (result.event != routing::AttemptEvent::Complete) {
            const wire::HopRequest &hop = m_watch.attempt()->hop();
            PAPAYASTEP_LOG(INFO, logPrefix)
                << "Decided after an attempt." << base::field("request", shownId())
                << base::field("attempt", hop.attempt) << base::field("server", hop.server)
                << base::field("event", routing::name(result.event)) << base::field("code", number(result.code))
                << base::field("action", routing::name(decision.action)) << base::field("reason", decision.reason);
        }
        if (co_await act(decision)) {
            co_return;
        }
    }
}

net::Awaitable<EntryRequest::Step> EntryRequest::place()
{
    const ServerNeed need = serverNeed();
    const auto choice = co_await m_choice.choose(need, m_callerGone);
    if (m_callerGone) {
        // Nothing is sent any more, and nobody is there to be told.
        giveUp("The caller went away while a server was chosen.");
        co_return std::nullopt;
    }
    if (const auto *none = std::get_if<NoServer>(&choice)) {
        m_heard = none->heard;
        co_return m_context.retryPolicy.refuseInstead(m_progress, none->code, none->retryAfter);
    }
    begin(std::get<ChosenServer>(choice));
    co_return std::nullopt;
}

/// Leaves an attempt that hangs for another server, if one has room. It may still end well, so with no place to go the
/// request stays where it is: in an overload 95 of 311 failures were lookups cut off for a repeat that found none.
net::Awaitable<void> EntryRequest::moveOn()
{
    const ServerNeed need = serverNeed();
    const auto choice = co_await m_choice.choose(need, m_callerGone);
    const auto *chosen = std::get_if<ChosenServer>(&choice);
    if (chosen == nullptr) {
        m_heard = std::get<NoServer>(choice).heard;
        logStay("No other server has room.");
        co_return;
    }
    const Step unpaid = co_await payRepeat();
    if (unpaid || m_callerGone || m_watch.attempt()->finished()) {
        logStay(unpaid ? "No token is left for a repeat." : "It ended meanwhile.");
        co_return;
    }
    m_machine.handle(RequestEvent::Retry);
    m_watch.attempt()->requestCancel(true);
    m_watch.abandon();
    begin(*chosen);
}

void EntryRequest::begin(const ChosenServer &chosen)
{
    m_context.retryPolicy.beginAttempt(m_progress);
    auto attempt = makeAttempt(chosen);
    m_current = chosen.candidate.server;
    m_machine.handle(RequestEvent::Place);
    m_context.metrics.countPlacement(m_progress.service, chosen.reason);
    logPlacement(chosen);
    m_watch.begin(
        std::move(attempt), m_context.retryPolicy.timeouts(m_progress, chosen.typicalLatency), forwardedRequest());
}

ServerNeed EntryRequest::serverNeed() const
{
    ServerNeed need;
    need.service = m_progress.service;
    need.workspace = m_workspace;
    need.route = m_route->id;
    need.priority = m_priority;
    need.idempotent = m_progress.idempotent;
    need.deadline = m_progress.deadline;
    need.isCall = m_isCall;
    if (m_route->targetLatency > base::Duration::zero()) {
        need.wanted = m_arrived + m_route->targetLatency;
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
    hop.attempt = static_cast<std::uint32_t>(m_progress.tries);
    hop.entry = m_context.settings.vm;
    hop.entryIncarnation = m_context.incarnation;
    hop.workspace = m_workspace;
    hop.keyFingerprint = m_fingerprint;
    hop.server = server.server;
    hop.route = m_route->id;
    hop.revision = m_inForce.configuration->revision();
    hop.remaining = (m_progress.deadline - now).count();
    hop.sent = now.time_since_epoch().count();
    hop.idempotent = m_progress.idempotent;
    hop.redirected = chosen.byAdvice;
    hop.callerService = m_context.settings.service;
    hop.callerId = m_caller.id;
    hop.priority = static_cast<std::uint8_t>(m_priority);
    if (m_route->targetLatency > base::Duration::zero()) {
        hop.wantedIn = std::max<std::int64_t>(1, (m_arrived + m_route->targetLatency - now).count());
    }
    hop.lastResort = chosen.lastResort;
    hop.isCall = m_isCall;
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
    // The key ends here: no serving node and no backend server needs it.
    m_context.callers().strip(request.head);
    request.head.erase(net::http::field::expect);
    request.head.erase(net::http::field::content_length);
    request.body = m_body;
    return request;
}

net::Awaitable<bool> EntryRequest::act(const routing::RetryDecision &decision)
{
    switch (decision.action) {
    case routing::RetryAction::AnswerCaller:
        co_await passAnswer();
        co_return true;
    case routing::RetryAction::RetryElsewhere:
        co_return co_await retry(decision);
    case routing::RetryAction::CancelFirst:
        m_machine.handle(RequestEvent::Cancel);
        m_watch.beginCancel(m_progress.idempotent);
        co_return false;
    case routing::RetryAction::Wait:
        if (m_watch.attempt()->finished()) {
            // Nothing more will be heard of it, and nothing proves that it did not run.
            m_progress.mayHaveRun = true;
            co_await refuse(m_context.retryPolicy.refuseInstead(m_progress, ResultCode::OutcomeUnknown, {}));
            co_return true;
        }
        m_machine.handle(RequestEvent::CancelFailed);
        co_return false;
    case routing::RetryAction::Refuse:
        co_await refuse(decision.refusal);
        co_return true;
    case routing::RetryAction::BreakOff:
        giveUp(decision.reason);
        m_watch.abandon();
        co_return true;
    }
    co_return true;
}

net::Awaitable<bool> EntryRequest::retry(const routing::RetryDecision &decision)
{
    if (decision.cancelPrevious) {
        co_await moveOn();
        co_return false;
    }
    m_machine.handle(RequestEvent::Retry);
    m_watch.abandon();
    Step refused = co_await payRepeat();
    if (refused) {
        co_await refuse(m_context.retryPolicy.refuseInstead(m_progress, refused->code, refused->retryAfter));
        co_return true;
    }
    refused = co_await place();
    if (refused) {
        co_await refuse(*refused);
        co_return true;
    }
    co_return false;
}

net::Awaitable<void> EntryRequest::passStoredAnswer()
{
    m_machine.handle(RequestEvent::Answer);
    countEnd(EndedRequest::answeredOutcome, ResultCode::Ok);
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

net::Awaitable<void> EntryRequest::passAnswer()
{
    m_machine.handle(RequestEvent::Answer);
    ServedAnswer answer = std::move(m_watch.release()->answer());
    if (m_claimed) {
        reportAnswerToLedger(answer);
        co_await awaitRecord();
    }
    net::ResponseHead head;
    head.result(answer.head.result_int());
    net::copyEndToEnd(answer.head, head);
    m_context.callers().annotate(head, shownId(), answer.reply.server);
    if (net::http::to_status_class(head.result_int()) != net::http::status_class::successful) {
        noteFailedCall();
    }
    logAnswer(answer.head.result_int(), answer.reply.server);
    if (answer.rest) {
        co_await passLargeAnswer(answer, std::move(head));
        co_return;
    }
    countEnd(EndedRequest::answeredOutcome, ResultCode::Ok);
    net::WholeAnswer whole(std::move(head), std::move(answer.body));
    co_await send(std::move(whole));
}

net::Awaitable<void> EntryRequest::passLargeAnswer(ServedAnswer &answer, net::ResponseHead head)
{
    // A named result: GCC 12 destroys an argument by value twice when the co_await stands in a condition.
    const bool whole = co_await passStream(m_exchange, answer, std::move(head));
    countEnd(whole ? EndedRequest::answeredOutcome : EndedRequest::brokenOffOutcome, ResultCode::Ok);
    if (!whole) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Broke an answer off." << base::field("request", shownId())
                                        << base::field("server", answer.reply.server);
    }
}

net::Awaitable<void> EntryRequest::refuse(routing::Refusal refusal)
{
    const bool notRun = refusal.outcome == routing::Outcome::NotRun;
    m_machine.handle(notRun ? RequestEvent::Refuse : RequestEvent::LoseTrack);
    m_watch.abandon();
    noteFailedCall();
    if (notRun && m_token) {
        m_context.tokens.giveBack(*m_token);
    }
    m_token.reset();
    // A refusal doesn't wait for its record as an answer does: what was given up must not be held back by a home that
    // is away. A repeat that overtakes the report is told to come again.
    reportToLedger(refusal);
    m_context.schedulePump();
    countEnd(routing::name(refusal.outcome), refusal.code);
    logRefusal(refusal);
    net::WholeAnswer answer = m_context.callers().refusal(refusal, shownId(), {});
    co_await send(std::move(answer));
}

net::Awaitable<void> EntryRequest::send(net::WholeAnswer answer)
{
    // A named result: GCC 12 destroys an argument by value twice when the co_await stands in a condition.
    const bool sent = co_await m_exchange.answer(std::move(answer));
    if (!sent) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Could not send the caller its answer." << base::field("request", shownId());
    }
}

void EntryRequest::giveUp(std::string_view reason) const
{
    countEnd(EndedRequest::givenUpOutcome, ResultCode::Ok);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Gave a request up." << base::field("request", shownId())
                                    << base::field("reason", reason) << base::field("attempts", m_progress.tries)
                                    << base::field("tookMs", milliseconds(m_context.clock.now() - m_arrived));
}

void EntryRequest::countEnd(std::string_view outcome, ResultCode code) const
{
    const auto took = m_context.clock.now() - m_arrived;
    m_context.metrics.countRequest({m_progress.service, m_progress.idempotent, outcome, code, took});
}

/// With what the choice went by, and how old that is.
void EntryRequest::logPlacement(const ChosenServer &chosen) const
{
    const routing::Candidate &server = chosen.candidate;
    const auto left = m_progress.deadline - m_context.clock.now();
    PAPAYASTEP_LOG(INFO, logPrefix) << "Placed an attempt." << base::field("request", shownId())
                                    << base::field("hop", m_id) << base::field("attempt", m_progress.tries)
                                    << base::field("workspace", m_workspace) << base::field("route", m_route->id)
                                    << base::field("server", server.server) << base::field("vm", server.vm)
                                    << base::field("reason", chosen.reason) << base::field("asked", chosen.asked)
                                    << base::field("quotedMs", milliseconds(server.quoted.value_or(base::Duration(0))))
                                    << base::field("slotsInUse", server.slotsInUse)
                                    << base::field("queued", server.queueLength)
                                    << base::field("grayPercent", std::lround(100 * server.failureRisk))
                                    << base::field("ageMs", milliseconds(server.freshness))
                                    << base::field("revision", m_inForce.configuration->revision())
                                    << base::field("leftMs", milliseconds(left));
    if (chosen.lastResort && chosen.heard.asked > 0) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Every server is full or held back as gray."
                                        << base::field("request", shownId()) << base::field("server", server.server)
                                        << base::field("heard", chosen.heard);
    }
}

void EntryRequest::logAnswer(unsigned status, const base::BackendServerId &server) const
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Answered a request." << base::field("request", shownId())
                                    << base::field("status", status) << base::field("server", server)
                                    << base::field("attempts", m_progress.tries)
                                    << base::field("tookMs", milliseconds(m_context.clock.now() - m_arrived));
}

/// An attempt that is silent was to be repeated elsewhere, and is awaited instead.
void EntryRequest::logStay(std::string_view reason) const
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Stays with a silent attempt." << base::field("request", shownId())
                                    << base::field("attempt", m_progress.tries) << base::field("server", m_current)
                                    << base::field("reason", reason) << base::field("heard", m_heard);
}

/// Refusals that are proved not to have run come by the hundred in an overload and are summed up; one whose outcome is
/// unknown is what users ask about, and always has its line.
void EntryRequest::logRefusal(const routing::Refusal &refusal) const
{
    const bool folds = refusal.outcome == routing::Outcome::NotRun;
    if (folds && !m_context.refusals.note(refusal.code, shownId())) {
        return;
    }
    PAPAYASTEP_LOG(WARNING, logPrefix) << "Refused a request." << base::field("request", shownId())
                                       << base::field("hop", m_id) << base::field("workspace", m_workspace)
                                       << base::field("code", number(refusal.code))
                                       << base::field("outcome", routing::name(refusal.outcome))
                                       << base::field("server", m_current) << base::field("attempts", m_progress.tries)
                                       << base::field("retryAfterMs", milliseconds(refusal.retryAfter))
                                       << base::field("tookMs", milliseconds(m_context.clock.now() - m_arrived))
                                       << inputsOf(refusal);
}

/// What a refusal went by, as fields of its line.
std::string EntryRequest::inputsOf(const routing::Refusal &refusal) const
{
    std::ostringstream fields;
    if (refusal.code == ResultCode::RateExceeded) {
        fields << base::field("tokensRefusedBy", m_tokensRefusedBy);
    } else if (m_heard.asked > 0) {
        fields << base::field("heard", m_heard);
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
    if (answer.rest) {
        // The ledger keeps no large answers, but it must know that the request ran.
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

/// A caller that has its answer may repeat at once through another node. Should the repeat overtake our report, it
/// would be told that the first run has not ended; so the answer waits until the home has the report. A home that is
/// away must not hold the answer back for long: the report is resent meanwhile.
net::Awaitable<void> EntryRequest::awaitRecord()
{
    const auto limit = std::min(m_progress.deadline, m_context.clock.now() + m_context.ledgerClient.recordPatience());
    while (m_context.ledgerClient.isReporting(m_id)) {
        if (m_context.clock.now() >= limit) {
            PAPAYASTEP_LOG(INFO, "ledger")
                << "Answers before the home of the idempotency key has the end." << base::field("request", shownId())
                << base::field("workspace", m_workspace);
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
