#include "entryrequest.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/node/candidates.h"
#include "papayastep/node/refusals.h"
#include "papayastep/node/streamedanswer.h"

#include <algorithm>

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "routing";
constexpr base::Duration cancelResendEvery = std::chrono::milliseconds(50);
constexpr std::string_view bearer = "Bearer ";

using base::ResultCode;
using routing::AttemptEvent;
using routing::RequestEvent;

net::beast::string_view boostView(std::string_view text)
{
    return {text.data(), text.size()};
}

/// The key of a caller, from the one header that carries it.
std::string_view keyOf(const net::RequestHead &head)
{
    const auto authorization = net::view(head[net::http::field::authorization]);
    if (authorization.size() > bearer.size()
        && net::beast::iequals(boostView(authorization.substr(0, bearer.size())), boostView(bearer))) {
        return authorization.substr(bearer.size());
    }
    return net::view(head["X-Api-Key"]);
}

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

bool hasReservedHeader(const net::RequestHead &head)
{
    return std::any_of(
        head.begin(), head.end(), [](const auto &field) { return net::isReserved(net::view(field.name_string())); });
}

}

EntryRequest::EntryRequest(EntryHandler &handler, net::ServerExchange &exchange)
    : m_handler(handler)
    , m_context(handler.m_context)
    , m_exchange(exchange)
    , m_id(m_context.newRequestId())
    , m_arrived(m_context.clock.now())
    , m_changed(m_context.io)
    , m_inForce(m_context.inForce)
{
    m_handler.m_open[m_id] = this;
}

EntryRequest::~EntryRequest()
{
    dropAttempt();
    if (m_claimed) {
        // Whatever cut this request short, its run may have happened: the key must not become free again.
        m_context.ledgerClient.completeUnknown(m_id);
    }
    m_handler.m_open.erase(m_id);
}

net::Awaitable<void> EntryRequest::run()
{
    Step refused = identify();
    if (!refused) {
        refused = findRoute();
    }
    if (!refused) {
        refused = co_await readBody();
    }
    if (!refused) {
        refused = co_await takeToken();
    }
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    m_machine.handle(RequestEvent::Admit);
    m_exchange.watchClient([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            m_callerGone = true;
            m_changed.notify();
        }
    });
    if (!m_idempotencyKey.empty()) {
        refused = co_await claimKey();
        if (refused) {
            co_await refuse(*refused);
            co_return;
        }
        if (m_claim && m_claim->verdict == routing::ClaimVerdict::Answer) {
            co_await passAnswer();
            co_return;
        }
    }
    co_await runAttempts();
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

void EntryRequest::cancelAnswered(int attempt, routing::CancelAnswer answer)
{
    if (m_attempt && static_cast<int>(m_attempt->hop().attempt) == attempt) {
        m_attempt->cancelAnswered(answer);
    }
}

EntryRequest::Step EntryRequest::identify()
{
    if (m_context.draining) {
        return notRun(ResultCode::NodeDraining);
    }
    if (!m_inForce.configuration) {
        return notRun(ResultCode::NodeNotReady);
    }
    const net::RequestHead &head = m_exchange.head();
    if (hasReservedHeader(head)) {
        return notRun(ResultCode::RequestReservedHeader);
    }
    const std::string_view key = keyOf(head);
    if (key.empty()) {
        return notRun(ResultCode::KeyMissing);
    }
    const config::KeyFingerprint fingerprint = config::fingerprintOf(std::string(key));
    const config::Workspace *workspace = m_inForce.configuration->workspaceOfKey(fingerprint);
    if (workspace == nullptr) {
        return notRun(ResultCode::KeyUnknown);
    }
    m_fingerprint = fingerprint.toString();
    m_workspace = workspace->id;
    return std::nullopt;
}

EntryRequest::Step EntryRequest::findRoute()
{
    const net::RequestHead &head = m_exchange.head();
    const auto match = m_inForce.routes->match(
        net::view(head[net::http::field::host]), net::view(head.method_string()), net::view(head.target()));
    if (!match) {
        return notRun(ResultCode::RouteUnknown);
    }
    m_route = match->route;
    m_progress.service = m_route->service;
    m_progress.workspace = m_workspace;
    m_progress.idempotent = match->idempotent;
    m_progress.deadline = m_arrived + m_route->deadline;
    if (!match->idempotent) {
        m_idempotencyKey = std::string(net::view(head["Idempotency-Key"]));
        m_progress.hasIdempotencyKey = !m_idempotencyKey.empty();
    }
    return std::nullopt;
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
        Step refused = identify();
        if (!refused) {
            refused = findRoute();
        }
        co_return refused;
    }
    co_return std::nullopt;
}

net::Awaitable<EntryRequest::Step> EntryRequest::takeToken()
{
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
        co_return notRun(refused->code, refused->retryAfter);
    }
    m_token = std::get<limits::Admitted>(admission).token;
    co_return std::nullopt;
}

net::Awaitable<EntryRequest::Step> EntryRequest::claimKey()
{
    routing::ClaimRequest claim;
    claim.request = m_id;
    claim.workspace = m_workspace;
    claim.key = m_idempotencyKey;
    claim.digest = routing::bodyDigest(
        net::view(m_exchange.head().method_string()), net::view(m_exchange.head().target()), m_body);
    claim.service = m_route->service;
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
    PAPAYASTEP_LOG(INFO, "ledger") << "Decided on an idempotency key." << base::field("request", m_id)
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
    Step refused = place();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    for (;;) {
        const routing::AttemptResult result = co_await waitForAttempt();
        const routing::RetryDecision decision = m_context.retryPolicy.decide(m_progress, result);
        m_context.metrics.countAttempt(m_progress.service, routing::name(result.event));
        if (decision.action != routing::RetryAction::AnswerCaller) {
            PAPAYASTEP_LOG(INFO, logPrefix)
                << "Decided after an attempt." << base::field("request", m_id)
                << base::field("attempt", m_attempt->hop().attempt) << base::field("server", m_attempt->hop().server)
                << base::field("event", routing::name(result.event)) << base::field("code", number(result.code))
                << base::field("action", routing::name(decision.action)) << base::field("reason", decision.reason);
        }
        if (co_await act(decision)) {
            co_return;
        }
    }
}

EntryRequest::Step EntryRequest::place()
{
    // Between two attempts the configuration may have moved on; the placement follows it, the route stays.
    const auto candidates = candidatesOf(m_context, m_route->service);
    const routing::PlacementRequest request{m_context.settings.zone, m_progress.idempotent, m_tried};
    auto placement = m_context.placement->place(candidates, request, m_context.random);
    const auto advised = std::find_if(candidates.begin(), candidates.end(), [&](const routing::Candidate &candidate) {
        return !m_advice.empty() && candidate.server == m_advice && !candidate.drained && candidate.pathUsable;
    });
    const bool untried = std::find(m_tried.begin(), m_tried.end(), m_advice) == m_tried.end();
    const bool followAdvice = advised != candidates.end() && untried;
    if (followAdvice) {
        placement.candidate = static_cast<std::size_t>(advised - candidates.begin());
    }
    if (!placement.candidate) {
        return m_context.retryPolicy.refuseInstead(m_progress, ResultCode::NoBackendServer, {});
    }
    const routing::Candidate &chosen = candidates[*placement.candidate];
    m_context.retryPolicy.beginAttempt(m_progress);
    m_timeouts = m_context.retryPolicy.timeouts(m_progress, typicalLatency(candidates));
    m_tried.push_back(chosen.server);
    m_reported.clear();
    m_resultTaken = false;
    m_cancelling = false;
    m_machine.handle(RequestEvent::Place);
    m_attempt = makeAttempt(*m_context.inForce.configuration->backendServer(chosen.server), chosen.trial);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Placed an attempt." << base::field("request", m_id)
                                    << base::field("attempt", m_progress.attempts)
                                    << base::field("workspace", m_workspace) << base::field("route", m_route->id)
                                    << base::field("server", chosen.server) << base::field("vm", chosen.vm)
                                    << base::field("reason", followAdvice ? "advice" : routing::name(placement.reason));
    m_attempt->start(forwardedRequest(), [this] { m_changed.notify(); });
    return std::nullopt;
}

AttemptPtr EntryRequest::makeAttempt(const config::BackendServer &server, bool trial)
{
    const auto now = m_context.clock.now();
    wire::HopRequest hop;
    hop.requestHigh = m_id.high;
    hop.requestLow = m_id.low;
    hop.attempt = static_cast<std::uint32_t>(m_progress.attempts);
    hop.entry = m_context.settings.vm;
    hop.entryIncarnation = m_context.incarnation;
    hop.workspace = m_workspace;
    hop.keyFingerprint = m_fingerprint;
    hop.server = server.id;
    hop.route = m_route->id;
    hop.revision = m_inForce.configuration->revision();
    hop.remaining = (m_progress.deadline - now).count();
    hop.sent = now.time_since_epoch().count();
    hop.idempotent = m_progress.idempotent;
    hop.trial = trial;
    hop.redirected = server.id == m_advice;
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
    request.head.erase(net::http::field::authorization);
    request.head.erase("X-Api-Key");
    request.head.erase(net::http::field::expect);
    request.head.erase(net::http::field::content_length);
    request.body = m_body;
    return request;
}

net::Awaitable<routing::AttemptResult> EntryRequest::waitForAttempt()
{
    for (;;) {
        // Taken once: an attempt that ended without proof goes on to a cancel, and stays ended while that is asked for.
        if (m_attempt->finished() && !m_resultTaken) {
            m_resultTaken = true;
            co_return resultOfAttempt();
        }
        const auto now = m_context.clock.now();
        if (const auto result = timeoutReached(now)) {
            co_return *result;
        }
        if (m_attempt->acknowledged() && m_machine.state() == routing::RequestState::Placed) {
            m_machine.handle(RequestEvent::Acknowledge);
        }
        if (m_cancelling && now - m_cancelSent >= cancelResendEvery) {
            m_cancelSent = now;
            m_attempt->requestCancel(m_progress.idempotent);
            continue;
        }
        if (m_callerGone && m_progress.idempotent) {
            const routing::AttemptResult callerGone{AttemptEvent::DeadlinePassed, ResultCode::DeadlineExceeded, {}};
            co_return callerGone;
        }
        co_await m_changed.waitUntil(nextTimeout());
    }
}

routing::AttemptResult EntryRequest::resultOfAttempt()
{
    if (m_attempt->linkFailed()) {
        const auto event = m_attempt->neverSent() ? AttemptEvent::ConnectionRefused
            : m_attempt->acknowledged()           ? AttemptEvent::Partial
                                                  : AttemptEvent::NotAcknowledged;
        return {event, ResultCode::HopUnacknowledged, {}};
    }
    const ServedAnswer &answer = m_attempt->answer();
    const auto code = static_cast<ResultCode>(answer.reply.code);
    m_advice = answer.reply.advice;
    switch (answer.outcome()) {
    case wire::HopOutcome::NotRun:
        return {AttemptEvent::RefusedNotRun, code, std::chrono::milliseconds(answer.reply.retryAfterMs)};
    case wire::HopOutcome::Answered: {
        const unsigned status = answer.head.result_int();
        if (status == 503 || status == 429) {
            return {AttemptEvent::ShedByServer, ResultCode::HopBackendServerShed, {}};
        }
        return {status >= 500 ? AttemptEvent::ServerError : AttemptEvent::Complete, ResultCode::Ok, {}};
    }
    default:
        return {code == ResultCode::DeadlineExceeded ? AttemptEvent::DeadlinePassed : AttemptEvent::Partial, code, {}};
    }
}

std::optional<routing::AttemptResult> EntryRequest::timeoutReached(base::TimePoint now)
{
    const auto once = [&](AttemptEvent event, ResultCode code) -> std::optional<routing::AttemptResult> {
        if (!m_reported.insert(event).second) {
            return std::nullopt;
        }
        return routing::AttemptResult{event, code, {}};
    };
    if (m_cancelling && m_attempt->cancelAnswer()) {
        m_cancelling = false;
        switch (*m_attempt->cancelAnswer()) {
        case routing::CancelAnswer::NeverStarted:
            return routing::AttemptResult{AttemptEvent::CancelNeverStarted, ResultCode::HopCancelled, {}};
        case routing::CancelAnswer::Started:
        case routing::CancelAnswer::Done:
            // It has run or is running. Its answer is awaited, but over a broken hop none will ever come.
            if (m_attempt->finished()) {
                return routing::AttemptResult{AttemptEvent::Partial, ResultCode::AnswerIncomplete, {}};
            }
            return routing::AttemptResult{AttemptEvent::CancelStarted, ResultCode::Ok, {}};
        case routing::CancelAnswer::HandedOver:
        case routing::CancelAnswer::NoPromise:
            return routing::AttemptResult{AttemptEvent::CancelUnanswered, ResultCode::OutcomeUnknown, {}};
        }
    }
    if (now >= m_progress.deadline) {
        return once(AttemptEvent::DeadlinePassed, ResultCode::DeadlineExceeded);
    }
    if (m_cancelling && now >= m_cancelSince + m_timeouts.cancel) {
        m_cancelling = false;
        return routing::AttemptResult{AttemptEvent::CancelUnanswered, ResultCode::OutcomeUnknown, {}};
    }
    const auto age = now - m_attempt->startedAt();
    if (!m_cancelling && !m_attempt->acknowledged() && age >= m_timeouts.acknowledge) {
        if (auto result = once(AttemptEvent::NotAcknowledged, ResultCode::HopUnacknowledged)) {
            return result;
        }
    }
    if (!m_cancelling && m_attempt->acknowledged() && age >= m_timeouts.answer) {
        return once(AttemptEvent::AcknowledgedThenSilent, ResultCode::DeadlineExceeded);
    }
    return std::nullopt;
}

base::TimePoint EntryRequest::nextTimeout() const
{
    base::TimePoint next = m_progress.deadline;
    const auto now = m_context.clock.now();
    const auto consider = [&](base::TimePoint due) {
        if (due > now) {
            next = std::min(next, due);
        }
    };
    consider(m_attempt->startedAt() + m_timeouts.acknowledge);
    consider(m_attempt->startedAt() + m_timeouts.answer);
    if (m_cancelling) {
        consider(m_cancelSince + m_timeouts.cancel);
        consider(m_cancelSent + cancelResendEvery);
    }
    return std::max(next, now + std::chrono::microseconds(100));
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
        m_cancelling = true;
        m_cancelSince = m_context.clock.now();
        m_cancelSent = m_cancelSince;
        m_attempt->requestCancel(m_progress.idempotent);
        co_return false;
    case routing::RetryAction::Wait:
        if (m_attempt->finished()) {
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
        co_return true;
    }
    co_return true;
}

net::Awaitable<bool> EntryRequest::retry(const routing::RetryDecision &decision)
{
    m_machine.handle(RequestEvent::Retry);
    if (decision.cancelPrevious) {
        m_attempt->requestCancel(true);
    }
    dropAttempt();
    // A token pays for one attempt that may reach a backend server; one proved never to have run keeps its token.
    const bool spent = m_progress.mayHaveRun || m_context.clock.now() >= m_token->usableUntil;
    if (spent) {
        Step refused = co_await takeToken();
        if (refused) {
            co_await refuse(m_context.retryPolicy.refuseInstead(m_progress, refused->code, refused->retryAfter));
            co_return true;
        }
    }
    Step refused = place();
    if (refused) {
        co_await refuse(*refused);
        co_return true;
    }
    co_return false;
}

net::Awaitable<void> EntryRequest::passAnswer()
{
    m_machine.handle(RequestEvent::Answer);
    net::ResponseHead head;
    head.set("Papayastep-Request-Id", toString(m_id));
    m_context.metrics.countRequest(m_progress.service, ResultCode::Ok, m_context.clock.now() - m_arrived);
    if (m_claim && m_claim->verdict == routing::ClaimVerdict::Answer) {
        head.result(static_cast<unsigned>(m_claim->answer.status));
        for (const auto &[name, value] : m_claim->answer.headers) {
            head.insert(name, value);
        }
        head.set("Papayastep-Repeated", "answer of the first request with this Idempotency-Key");
        if (m_token) {
            m_context.tokens.giveBack(*m_token);
        }
        net::WholeAnswer repeated(std::move(head), m_claim->answer.body);
        co_await m_exchange.answer(std::move(repeated));
        co_return;
    }
    ServedAnswer answer = std::move(m_attempt->answer());
    m_attempt.reset();
    head.result(answer.head.result_int());
    net::copyEndToEnd(answer.head, head);
    head.set("Papayastep-Server", answer.reply.server.value());
    if (answer.rest) {
        co_await passLargeAnswer(answer, std::move(head));
        co_return;
    }
    reportAnswerToLedger(answer);
    net::WholeAnswer whole(std::move(head), std::move(answer.body));
    co_await m_exchange.answer(std::move(whole));
}

net::Awaitable<void> EntryRequest::passLargeAnswer(ServedAnswer &answer, net::ResponseHead head)
{
    // The ledger keeps no large answers, but it must know that the request ran.
    if (m_claimed) {
        m_context.ledgerClient.completeUnknown(m_id);
        m_claimed = false;
    }
    // A named result: GCC 12 destroys an argument by value twice when the co_await stands in a condition.
    const bool whole = co_await passStream(m_exchange, answer, std::move(head));
    if (!whole) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Broke an answer off." << base::field("request", m_id)
                                        << base::field("server", answer.reply.server);
    }
}

net::Awaitable<void> EntryRequest::refuse(routing::Refusal refusal)
{
    const bool notRun = refusal.outcome == routing::Outcome::NotRun;
    m_machine.handle(notRun ? RequestEvent::Refuse : RequestEvent::LoseTrack);
    dropAttempt();
    if (notRun && m_token) {
        m_context.tokens.giveBack(*m_token);
    }
    m_token.reset();
    reportToLedger(refusal);
    m_context.schedulePump();
    m_context.metrics.countRequest(m_progress.service, refusal.code, m_context.clock.now() - m_arrived);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Refused a request." << base::field("request", m_id)
                                    << base::field("workspace", m_workspace)
                                    << base::field("code", number(refusal.code))
                                    << base::field("outcome", routing::name(refusal.outcome));
    co_await m_exchange.answer(refusalAnswer(refusal, toString(m_id)));
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
    if (!m_claimed) {
        return;
    }
    m_claimed = false;
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
    m_context.schedulePump();
}

void EntryRequest::dropAttempt()
{
    if (m_attempt) {
        m_attempt->abandon();
        m_attempt.reset();
    }
}

}
