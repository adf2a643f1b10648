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
constexpr double coldFactor = 2; ///< Slowdown of the runs at a cold server.
/// Multiple of the published rate at which a cold server goes down.
constexpr double crashFactor = 2;
constexpr base::Duration restartTime = std::chrono::seconds(1); ///< Time until a server that went down is back.
constexpr base::Duration probeTime = std::chrono::milliseconds(25);
/// All requests belong to one workspace; the fair turns between workspaces are not modelled.
const base::WorkspaceId workspace("all");

base::ServiceId serviceId(std::size_t service)
{
    return base::ServiceId("service-" + std::to_string(service));
}

routing::ServerAdmissionSettings admissionSettings(const FleetShape &shape)
{
    routing::ServerAdmissionSettings settings;
    settings.recovery.isRequired = shape.confirmsRecovery;
    settings.queue.overflow = shape.overflow;
    return settings;
}

config::BackendServer serverOf(const FleetShape &shape, std::size_t service)
{
    config::BackendServer server;
    server.service = serviceId(service);
    server.slots = shape.services[service].slots;
    return server;
}

base::Duration scaled(base::Duration duration, double factor)
{
    return std::chrono::duration_cast<base::Duration>(duration * factor);
}

}

ModelServer::ModelServer(const FleetShape &shape,
                         std::size_t service,
                         int zone,
                         const base::Clock &clock,
                         EventQueue &events,
                         std::uint64_t seed)
    : m_shape(shape)
    , m_service(service)
    , m_clock(clock)
    , m_events(events)
    , m_random(seed)
    , m_server(serverOf(shape, service))
    , m_admission(std::in_place, clock, m_server, admissionSettings(shape))
    , m_begin(clock.now())
    , m_lastStart(clock.now())
    , m_zone(zone)
{
    configureNode();
    m_hasSpells = draw() < shape.spells.serverShare;
    if (m_hasSpells) {
        // Servers start at any point of a cycle of one spell and one gap.
        const base::Duration cycle = shape.spells.length + shape.spells.meanGap;
        m_spellBegin = m_begin - shape.spells.length + scaled(cycle, draw());
        m_spellEnd = m_spellBegin + shape.spells.length;
    }
    m_namesLimit
        = shape.namedLimits && shape.namedLimits->service == service && draw() < shape.namedLimits->serverShare;
    m_announcesEnd
        = shape.announcedEnds && shape.announcedEnds->service == service && draw() < shape.announcedEnds->serverShare;
    scheduleFaults();
}

void ModelServer::configureNode()
{
    const ServiceShape &service = m_shape.services[m_service];
    m_admission->configure(&m_server, service.coldStart, true);
    m_admission->recordProbe(true, base::Duration::zero());
    m_admission->retryBudget().setSettings(
        routing::serverRetryBudget(m_shape.retryLimit, static_cast<std::size_t>(service.servers)));
}

void ModelServer::setCaller(Caller caller)
{
    m_caller = std::move(caller);
}

void ModelServer::onArrival(Arrived arrived)
{
    m_arrived = std::move(arrived);
}

const ModelCounts &ModelServer::counts() const
{
    return m_counts;
}

routing::SlotQuote ModelServer::quote(const ModelAttempt &attempt)
{
    const bool idempotent = m_shape.classes[attempt.trafficClass].idempotent;
    const auto now = m_clock.now();
    routing::SlotQuote quote;
    quote.failureRisk = m_admission->hold().grayProbability(now);
    quote.run = usualRun(attempt.trafficClass);
    quote.idle = now - m_lastStart;
    if (attempt.isRepeat && !m_admission->retryBudget().canSpend(serviceId(m_service), workspace)) {
        quote.code = ResultCode::RetryBudgetSpent;
        return quote;
    }
    if (const auto closed = m_admission->refusalCode()) {
        quote.code = *closed;
        return quote;
    }
    const limits::OfferResult result = m_admission->queue().quote(offerOf(attempt));
    quote.code = result.code;
    quote.wait = result.retryAfter;
    quote.held = !m_admission->hold().admits(idempotent, now);
    return quote;
}

void ModelServer::serve(const ModelAttempt &attempt, Done done)
{
    const Waiting waiting{attempt, std::move(done)};
    const bool idempotent = m_shape.classes[attempt.trafficClass].idempotent;
    if (attempt.knownLimit) {
        m_admission->adopt({m_server.incarnation, *attempt.knownLimit, false});
    }
    if (const auto closed = m_admission->refusalCode()) {
        refuse(waiting, *closed, {});
        return;
    }
    if (!attempt.lastResort && !m_admission->hold().admits(idempotent, m_clock.now())) {
        refuse(waiting, ResultCode::HopBackendServerEjected, {});
        return;
    }
    if (attempt.isRepeat && !m_admission->retryBudget().spend(serviceId(m_service), workspace)) {
        refuse(waiting, ResultCode::RetryBudgetSpent, {});
        return;
    }
    const limits::OfferResult result = m_admission->queue().offer(offerOf(attempt));
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
    offer.priority = attempt.priority.value_or(m_shape.classes[attempt.trafficClass].priority);
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
    return m_admission->queue().runTimes().runs() > 0 ? m_admission->queue().runTimes().mean(routeOf(trafficClass))
                                                      : m_shape.classes[trafficClass].meanRun;
}

void ModelServer::poll()
{
    for (const limits::QueueDecision &decision : m_admission->queue().poll()) {
        const auto found = m_waiting.find(decision.attempt);
        const Waiting waiting = std::move(found->second);
        m_waiting.erase(found);
        const bool idempotent = m_shape.classes[waiting.attempt.trafficClass].idempotent;
        // As at a node, the hold is checked again, because the server may have been held while the attempt waited.
        const bool isHeld = !waiting.attempt.lastResort && !m_admission->hold().admits(idempotent, m_clock.now());
        if (decision.start && isHeld) {
            m_admission->queue().finished(decision.attempt, false);
            refuse(waiting, ResultCode::HopBackendServerEjected, {});
        } else if (decision.start) {
            start(waiting);
        } else {
            refuse(waiting, decision.code, decision.retryAfter);
        }
    }
    if (const auto next = m_admission->queue().nextTick()) {
        m_events.at(*next, [this, due = *next] {
            if (m_admission->queue().nextTick() && *m_admission->queue().nextTick() <= due) {
                poll();
            }
        });
    }
}

void ModelServer::start(const Waiting &waiting)
{
    const auto now = m_clock.now();
    const health::AttemptKey key{waiting.attempt.id.request, static_cast<std::uint32_t>(waiting.attempt.id.attempt)};
    m_admission->hold().started(key, now);
    m_lastStart = now;
    ++m_counts.runs;
    if (m_arrived) {
        m_arrived(waiting.attempt);
    }
    recordArrival();
    if (isDown()) {
        m_events.after({}, [this, waiting, key] {
            m_admission->queue().finished(waiting.attempt.id, false);
            m_admission->recordConnectionFailure();
            waiting.done({{AttemptEvent::ConnectionRefused, ResultCode::HopBackendServerRefused, {}},
                          m_admission->hold().grayProbability(m_clock.now())});
            probe();
            poll();
        });
        return;
    }
    if (waiting.attempt.isRepeat) {
        ++m_counts.repeats;
    } else {
        m_admission->retryBudget().countRequest(serviceId(m_service), workspace);
    }
    if (isShedding()) {
        m_admission->queue().finished(waiting.attempt.id, false);
        m_admission->hold().ended(key, AttemptOutcome::Shed, 0, now);
        recordAnnouncement(now);
        waiting.done({{AttemptEvent::RefusedNotRun, ResultCode::HopBackendServerShed, {}},
                      m_admission->hold().grayProbability(now),
                      announcement()});
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
    const base::Duration run = scaled(kind.meanRun, isCold() ? coldFactor * factor : factor);
    if (kind.call && draw() < kind.callShare) {
        m_events.after(run / 2, [this, waiting, now, left = run - run / 2] { makeCalls(waiting, left, now); });
        return;
    }
    const auto outcome = draw() < m_shape.errorShare ? AttemptOutcome::Error : AttemptOutcome::Success;
    const bool isInTime = now + run < waiting.attempt.deadline;
    m_events.at(std::min(now + run, waiting.attempt.deadline), [this, waiting, now, outcome, isInTime] {
        finish(waiting, now, isInTime ? outcome : AttemptOutcome::Timeout);
    });
}

/// Makes the calls of a run, all at once. The run goes on for `remaining` after the last answer, or fails with the
/// first call that does.
void ModelServer::makeCalls(const Waiting &waiting, base::Duration remaining, base::TimePoint startedAt)
{
    struct OpenCalls
    {
        int unanswered;
        bool haveFailed = false;
    };
    const TrafficClass &kind = m_shape.classes[waiting.attempt.trafficClass];
    const auto open = std::make_shared<OpenCalls>(OpenCalls{kind.calls});
    const auto ended = [this, waiting, remaining, startedAt, open](bool answered) {
        if (open->haveFailed) {
            return;
        }
        open->haveFailed = !answered;
        open->unanswered -= 1;
        if (!answered || open->unanswered == 0) {
            callDone(waiting, remaining, startedAt, answered);
        }
    };
    for (int number = 0; number < kind.calls; ++number) {
        m_caller(*kind.call, kind.priority, waiting.attempt.deadline, ended);
    }
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
    const bool answered = startedAt >= m_aliveSince;
    if (!answered) {
        outcome = AttemptOutcome::Partial;
    }
    const health::AttemptKey key{waiting.attempt.id.request, static_cast<std::uint32_t>(waiting.attempt.id.attempt)};
    const std::chrono::duration<double> run = now - startedAt;
    const double relativeTime = run / usualRun(waiting.attempt.trafficClass);
    m_admission->queue().finished(waiting.attempt.id,
                                  outcome == AttemptOutcome::Success || outcome == AttemptOutcome::Timeout);
    m_admission->hold().ended(key, outcome, relativeTime, now);
    m_admission->recordEnd(outcome, answered);
    const bool hasHead = answered && outcome != AttemptOutcome::Timeout;
    if (hasHead) {
        recordAnnouncement(startedAt);
    }
    countFailure(waiting.attempt, outcome);
    const AttemptEvent event = outcome == AttemptOutcome::Success ? AttemptEvent::Complete
        : outcome == AttemptOutcome::Partial                      ? AttemptEvent::Partial
        : outcome == AttemptOutcome::Timeout                      ? AttemptEvent::DeadlinePassed
                                                                  : AttemptEvent::ServerError;
    waiting.done({{event, ResultCode::Ok, {}},
                  m_admission->hold().grayProbability(now),
                  hasHead ? std::optional(announcement()) : std::nullopt});
    poll();
}

void ModelServer::countFailure(const ModelAttempt &attempt, AttemptOutcome outcome)
{
    constexpr int knownToFail = 6;
    if (outcome == AttemptOutcome::Success) {
        m_failuresInARow = 0;
    } else if (outcome == AttemptOutcome::Error) {
        const bool isLost = !m_shape.classes[attempt.trafficClass].idempotent && m_failuresInARow >= knownToFail;
        m_counts.lostAtFailingServer += isLost ? 1 : 0;
        ++m_failuresInARow;
    }
}

void ModelServer::refuse(const Waiting &waiting, ResultCode code, base::Duration retryAfter)
{
    if (waiting.attempt.isRepeat && code != ResultCode::RetryBudgetSpent
        && code != ResultCode::HopBackendServerEjected) {
        m_admission->retryBudget().giveBack(serviceId(m_service), workspace);
    }
    waiting.done({{AttemptEvent::RefusedNotRun, code, retryAfter}, m_admission->hold().grayProbability(m_clock.now())});
}

void ModelServer::scheduleFaults()
{
    if (const auto &fault = m_shape.coldReturn; fault && fault->zone == m_zone) {
        m_events.at(m_begin + fault->begin, [this, length = fault->end - fault->begin] { goDown(length); });
    }
    if (m_shape.nodeRestart && (m_namesLimit || m_announcesEnd)) {
        m_events.at(m_begin + *m_shape.nodeRestart, [this] { restartNode(); });
    }
    if (const auto &evacuation = m_shape.evacuation; evacuation && evacuation->zone == m_zone) {
        const auto delay = [&] { return scaled(evacuation->maxDelay, draw()); };
        m_events.at(m_begin + evacuation->begin + delay(), [this] { setEvacuated(true); });
        m_events.at(m_begin + evacuation->end + delay(), [this] { setEvacuated(false); });
        // The servers were restarted during the evacuation.
        m_events.at(m_begin + evacuation->end, [this] { comeBack(); });
    }
}

/// Replaces the decisions of the node, which remember nothing. Running attempts are not interrupted.
void ModelServer::restartNode()
{
    m_admission.emplace(m_clock, m_server, admissionSettings(m_shape));
    configureNode();
    for (const auto &[id, waiting] : std::exchange(m_waiting, {})) {
        refuse(waiting, ResultCode::HopCancelled, {});
    }
}

/// Passes what the server announces in an answer to a request that was sent at `sentAt` to the node.
void ModelServer::recordAnnouncement(base::TimePoint sentAt)
{
    using Kind = routing::AnnouncementSource::Kind;
    m_admission->recordAnnouncement(announcement(), {Kind::Request, m_server.incarnation, sentAt});
}

routing::ServerAnnouncement ModelServer::announcement() const
{
    const base::Duration passed = m_clock.now() - m_begin;
    routing::ServerAnnouncement result;
    if (const auto &limits = m_shape.namedLimits; m_namesLimit && passed >= limits->begin && passed < limits->end) {
        result.limit.requestsPerSecond = limits->requestsPerSecond;
    }
    result.isLeaving = m_announcesEnd && passed >= m_shape.announcedEnds->begin;
    return result;
}

void ModelServer::setEvacuated(bool evacuated)
{
    m_server.evacuated = evacuated;
    m_admission->configure(&m_server, m_shape.services[m_service].coldStart, true);
    probe();
    poll();
}

void ModelServer::goDown(base::Duration length)
{
    m_downUntil = m_clock.now() + length;
    m_aliveSince = m_downUntil;
    m_events.at(m_downUntil, [this] { comeBack(); });
}

void ModelServer::comeBack()
{
    m_coldUntil = m_clock.now() + m_shape.services[m_service].coldStart.duration;
    m_arrivals.clear();
}

bool ModelServer::isDown() const
{
    return m_clock.now() < m_downUntil;
}

bool ModelServer::isCold() const
{
    return m_clock.now() < m_coldUntil;
}

/// Counts the attempts that arrive within a second at a cold server, which goes down if there are far too many.
void ModelServer::recordArrival()
{
    const auto now = m_clock.now();
    if (isInEvacuation()) {
        m_counts.lastStart = now;
    }
    if (!isCold() || isDown()) {
        return;
    }
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() >= std::chrono::seconds(1)) {
        m_arrivals.pop_front();
    }
    m_counts.mostColdStarts = std::max<std::uint64_t>(m_counts.mostColdStarts, m_arrivals.size());
    const double rate = m_shape.services[m_service].coldStart.requestsPerSecond;
    if (rate > 0 && static_cast<double>(m_arrivals.size()) > crashFactor * rate) {
        ++m_counts.crashes;
        goDown(restartTime);
    }
}

bool ModelServer::isInEvacuation() const
{
    const auto &evacuation = m_shape.evacuation;
    const base::Duration passed = m_clock.now() - m_begin;
    return evacuation && evacuation->zone == m_zone && passed >= evacuation->begin && passed < evacuation->end;
}

void ModelServer::probe()
{
    if (!m_admission->takeProbeDue()) {
        if (const auto next = m_admission->nextProbe()) {
            m_events.at(*next, [this] { probe(); });
        }
        return;
    }
    m_events.after(probeTime, [this] {
        const base::Duration cold = std::max(base::Duration::zero(), m_coldUntil - m_clock.now());
        m_admission->recordProbe(!isDown(), isDown() ? std::nullopt : std::optional(cold));
        probe();
        poll();
    });
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
