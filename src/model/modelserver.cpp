#include "modelserver.h"

#include <algorithm>
#include <cmath>

namespace papayastep::model {

namespace {

using base::ResultCode;
using health::AttemptOutcome;
using routing::AttemptEvent;

/// Time after which a server in a gray failure answers with an error.
constexpr base::Duration immediately = std::chrono::milliseconds(2);
/// All requests belong to one workspace; the fair turns between workspaces are not modelled.
const base::WorkspaceId workspace("all");

base::ServiceId serviceId(std::size_t service)
{
    return base::ServiceId("service-" + std::to_string(service));
}

base::Duration scaled(base::Duration duration, double factor)
{
    return std::chrono::duration_cast<base::Duration>(duration * factor);
}

}

ModelServer::ModelServer(
    const FleetShape &shape, std::size_t service, const base::Clock &clock, EventQueue &events, std::uint64_t seed)
    : m_shape(shape)
    , m_service(service)
    , m_clock(clock)
    , m_events(events)
    , m_random(seed)
    , m_queue(clock, shape.services[service].slots, limits::backendServerQueueSettings())
    , m_hold(clock.now())
    , m_budget(clock)
    , m_begin(clock.now())
    , m_lastStart(clock.now())
{
    m_budget.setSettings(
        routing::serverRetryBudget(shape.retryLimit, static_cast<std::size_t>(shape.services[service].servers)));
    m_hasSpells = draw() < shape.spells.serverShare;
    if (m_hasSpells) {
        // Servers start at any point of a cycle of one spell and one gap.
        const base::Duration cycle = shape.spells.length + shape.spells.meanGap;
        m_spellBegin = m_begin - shape.spells.length + scaled(cycle, draw());
        m_spellEnd = m_spellBegin + shape.spells.length;
    }
}

void ModelServer::setCaller(Caller caller)
{
    m_caller = std::move(caller);
}

std::uint64_t ModelServer::runs() const
{
    return m_runs;
}

std::uint64_t ModelServer::repeats() const
{
    return m_repeats;
}

routing::SlotQuote ModelServer::quote(const ModelAttempt &attempt)
{
    const bool idempotent = m_shape.classes[attempt.trafficClass].idempotent;
    const auto now = m_clock.now();
    routing::SlotQuote quote;
    quote.failureRisk = m_hold.grayProbability(now);
    quote.run = usualRun(attempt.trafficClass);
    quote.idle = now - m_lastStart;
    if (attempt.isRepeat && !m_budget.canSpend(serviceId(m_service), workspace)) {
        quote.code = ResultCode::RetryBudgetSpent;
        return quote;
    }
    const limits::OfferResult result = m_queue.quote(offerOf(attempt));
    quote.code = result.code;
    quote.wait = result.retryAfter;
    quote.held = !m_hold.admits(idempotent, now);
    return quote;
}

void ModelServer::serve(const ModelAttempt &attempt, Done done)
{
    const Waiting waiting{attempt, std::move(done)};
    const bool idempotent = m_shape.classes[attempt.trafficClass].idempotent;
    if (!attempt.lastResort && !m_hold.admits(idempotent, m_clock.now())) {
        refuse(waiting, ResultCode::HopBackendServerEjected, {});
        return;
    }
    if (attempt.isRepeat && !m_budget.spend(serviceId(m_service), workspace)) {
        refuse(waiting, ResultCode::RetryBudgetSpent, {});
        return;
    }
    const limits::OfferResult result = m_queue.offer(offerOf(attempt));
    if (!result.accepted) {
        refuse(waiting, result.code, result.retryAfter);
        return;
    }
    m_waiting.emplace(attempt.id, waiting);
    poll();
}

limits::QueueOffer ModelServer::offerOf(const ModelAttempt &attempt) const
{
    limits::QueueOffer offer;
    offer.attempt = attempt.id;
    offer.workspace = workspace;
    offer.deadline = attempt.deadline;
    offer.priority = m_shape.classes[attempt.trafficClass].priority;
    offer.wantedBy = attempt.wantedBy;
    offer.route = routeOf(attempt.trafficClass);
    offer.isCall = attempt.isCall;
    return offer;
}

base::RouteId ModelServer::routeOf(std::size_t trafficClass) const
{
    return base::RouteId("route-" + std::to_string(trafficClass));
}

base::Duration ModelServer::usualRun(std::size_t trafficClass) const
{
    return m_queue.runTimes().runs() > 0 ? m_queue.runTimes().mean(routeOf(trafficClass))
                                         : m_shape.classes[trafficClass].meanRun;
}

void ModelServer::poll()
{
    for (const limits::QueueDecision &decision : m_queue.poll()) {
        const auto found = m_waiting.find(decision.attempt);
        const Waiting waiting = std::move(found->second);
        m_waiting.erase(found);
        if (decision.start) {
            start(waiting);
        } else {
            refuse(waiting, decision.code, decision.retryAfter);
        }
    }
    if (const auto next = m_queue.nextTick()) {
        m_events.at(*next, [this, due = *next] {
            if (m_queue.nextTick() && *m_queue.nextTick() <= due) {
                poll();
            }
        });
    }
}

void ModelServer::start(const Waiting &waiting)
{
    const auto now = m_clock.now();
    const health::AttemptKey key{waiting.attempt.id.request, static_cast<std::uint32_t>(waiting.attempt.id.attempt)};
    m_hold.started(key, now);
    m_lastStart = now;
    ++m_runs;
    if (waiting.attempt.isRepeat) {
        ++m_repeats;
    } else {
        m_budget.countRequest(serviceId(m_service), workspace);
    }
    if (isShedding()) {
        m_queue.finished(waiting.attempt.id, false);
        m_hold.ended(key, AttemptOutcome::Shed, 0, now);
        waiting.done(
            {{AttemptEvent::RefusedNotRun, ResultCode::HopBackendServerShed, {}}, m_hold.grayProbability(now)});
        m_events.after({}, [this] { poll(); });
        return;
    }
    if (isGray() && draw() < m_shape.spells.failureShare) {
        m_events.after(immediately, [this, waiting, now] { finish(waiting, now, AttemptOutcome::Error); });
        return;
    }
    runOn(waiting);
}

void ModelServer::runOn(const Waiting &waiting)
{
    const auto now = m_clock.now();
    const TrafficClass &kind = m_shape.classes[waiting.attempt.trafficClass];
    const double sigma = kind.runSpread;
    const double factor = std::exp(std::normal_distribution<double>(-sigma * sigma / 2, sigma)(m_random));
    const base::Duration run = scaled(kind.meanRun, factor);
    if (kind.call && draw() < kind.callShare) {
        m_events.after(run / 2, [this, waiting, run, now, call = *kind.call] {
            m_caller(call, waiting.attempt.deadline, [this, waiting, run, now](bool answered) {
                callDone(waiting, run - run / 2, now, answered);
            });
        });
        return;
    }
    const auto outcome = draw() < m_shape.errorShare ? AttemptOutcome::Error : AttemptOutcome::Success;
    const bool isInTime = now + run < waiting.attempt.deadline;
    m_events.at(std::min(now + run, waiting.attempt.deadline), [this, waiting, now, outcome, isInTime] {
        finish(waiting, now, isInTime ? outcome : AttemptOutcome::Timeout);
    });
}

void ModelServer::callDone(const Waiting &waiting, base::Duration remaining, base::TimePoint startedAt, bool answered)
{
    if (!answered) {
        finish(waiting, startedAt, AttemptOutcome::CallFailed);
        return;
    }
    const base::TimePoint end = m_clock.now() + remaining;
    const bool isInTime = end < waiting.attempt.deadline;
    m_events.at(std::min(end, waiting.attempt.deadline), [this, waiting, startedAt, isInTime] {
        finish(waiting, startedAt, isInTime ? AttemptOutcome::Success : AttemptOutcome::Timeout);
    });
}

void ModelServer::finish(const Waiting &waiting, base::TimePoint startedAt, AttemptOutcome outcome)
{
    const auto now = m_clock.now();
    const health::AttemptKey key{waiting.attempt.id.request, static_cast<std::uint32_t>(waiting.attempt.id.attempt)};
    const std::chrono::duration<double> run = now - startedAt;
    const double relativeTime = run / usualRun(waiting.attempt.trafficClass);
    m_queue.finished(waiting.attempt.id, outcome == AttemptOutcome::Success || outcome == AttemptOutcome::Timeout);
    m_hold.ended(key, outcome, relativeTime, now);
    const AttemptEvent event = outcome == AttemptOutcome::Success ? AttemptEvent::Complete
        : outcome == AttemptOutcome::Timeout                      ? AttemptEvent::DeadlinePassed
                                                                  : AttemptEvent::ServerError;
    waiting.done({{event, ResultCode::Ok, {}}, m_hold.grayProbability(now)});
    poll();
}

void ModelServer::refuse(const Waiting &waiting, ResultCode code, base::Duration retryAfter)
{
    if (waiting.attempt.isRepeat && code != ResultCode::RetryBudgetSpent
        && code != ResultCode::HopBackendServerEjected) {
        m_budget.giveBack(serviceId(m_service), workspace);
    }
    waiting.done({{AttemptEvent::RefusedNotRun, code, retryAfter}, m_hold.grayProbability(m_clock.now())});
}

bool ModelServer::isGray()
{
    const auto now = m_clock.now();
    while (m_hasSpells && now >= m_spellEnd) {
        const double gap = std::exponential_distribution<double>(1)(m_random);
        m_spellBegin = m_spellEnd + scaled(m_shape.spells.meanGap, gap);
        m_spellEnd = m_spellBegin + m_shape.spells.length;
    }
    return now >= m_spellBegin;
}

bool ModelServer::isShedding()
{
    const auto &shedding = m_shape.shedding;
    const base::Duration passed = m_clock.now() - m_begin;
    const bool isNow
        = shedding && shedding->service == m_service && passed >= shedding->begin && passed < shedding->end;
    return isNow && draw() < shedding->share;
}

double ModelServer::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

}
