#include "announcementcheck.h"
#include "fleetmodel.h"
#include "modelserver.h"

#include "papayastep/health/grayfailuretable.h"
#include "papayastep/routing/announcementtable.h"
#include "papayastep/routing/leastcostplacement.h"
#include "papayastep/routing/retrypolicy.h"

#include <algorithm>
#include <map>

namespace papayastep::model {

namespace {

using base::ResultCode;
using routing::AttemptEvent;
using routing::RetryAction;
using routing::SurveyStep;

/// Time before the measurement, in which nodes learn the run times of their servers.
constexpr base::Duration warmUp = std::chrono::seconds(1);
/// Share of the requests that may be trials, as at a node.
constexpr double trialShare = 0.125;

base::ZoneId zoneId(int zone)
{
    return base::ZoneId("zone-" + std::to_string(zone));
}

/// Slots in which repeats are counted for the sliding window of the retry limit.
constexpr base::Duration countingStep = std::chrono::milliseconds(500);

}

/// One play of the model. Everything runs in the events of one queue.
class FleetModel::Play
{
public:
    Play(FleetShape shape, std::uint64_t seed);

    FleetResult run(base::Duration duration);

private:
    /// A VM with its backend server and what its node has received about other servers.
    struct Vm
    {
        base::VmId id;
        base::ZoneId zone;
        std::size_t service = 0;
        std::unique_ptr<ModelServer> server;
        base::BackendServerId serverId;
        health::GrayFailureTable gray;
        routing::ServerIdleTimes idle;
        routing::AnnouncementTable announcements;
        routing::LeastCostPlacement placement;
        base::TimePoint evacuationFrom; ///< Time at which this node receives the evacuation of a zone, if there is one.
        base::TimePoint evacuationUntil;
    };

    /// A request at its entry.
    struct Request
    {
        std::size_t entry = 0; ///< Index of its VM.
        std::size_t trafficClass = 0;
        base::RequestId id;
        base::TimePoint arrivedAt;
        bool isCall = false;
        std::optional<int> priority; ///< For a call: the priority of its run.
        routing::RequestProgress progress;
        std::vector<base::BackendServerId> tried;
        std::unique_ptr<routing::SlotSurvey> survey;
        std::function<void(bool answered)> done; ///< For a call.
    };
    using RequestPtr = std::shared_ptr<Request>;

    base::TimePoint receiptTime(base::Duration change);
    void scheduleArrivals(std::size_t trafficClass);
    void arrive(std::size_t trafficClass);
    RequestPtr makeRequest(std::size_t entry, std::size_t trafficClass);
    void call(std::size_t entry,
              std::size_t trafficClass,
              int priority,
              base::TimePoint deadline,
              const std::function<void(bool)> &done);
    void place(const RequestPtr &request);
    void step(const RequestPtr &request);
    void ask(const RequestPtr &request, std::size_t candidate);
    void begin(const RequestPtr &request, std::size_t candidate, bool lastResort);
    void attemptEnded(const RequestPtr &request, std::size_t vm, const ModelEnd &end);
    void finish(const RequestPtr &request, bool answered, bool refused);
    ModelAttempt attemptOf(const Request &request) const;
    bool isEvacuated(const Vm &entry, const Vm &vm) const;
    base::Duration delay(std::size_t from, std::size_t to) const;
    void countRepeats();
    double busiestToMean() const;
    void collectServerCounts();

    const FleetShape m_shape;
    base::ManualClock m_clock;
    EventQueue m_events{m_clock};
    std::mt19937_64 m_random;
    routing::RetryPolicy m_policy{m_clock};
    std::vector<Vm> m_vms;
    std::vector<std::vector<std::size_t>> m_serversOf; ///< VMs by service.
    base::TimePoint m_begin;
    base::TimePoint m_end;
    /// Requests and repeats of each service up to the ends of the counting steps.
    std::vector<std::vector<std::pair<std::uint64_t, std::uint64_t>>> m_counts;
    std::vector<std::uint64_t> m_requestsOf;
    AnnouncementCheck m_announcements;
    FleetResult m_result;
};

FleetModel::Play::Play(FleetShape shape, std::uint64_t seed)
    : m_shape(std::move(shape))
    , m_random(seed)
    , m_serversOf(m_shape.services.size())
    , m_begin(m_clock.now())
    , m_counts(m_shape.services.size())
    , m_requestsOf(m_shape.services.size())
{
    for (std::size_t service = 0; service < m_shape.services.size(); ++service) {
        for (int server = 0; server < m_shape.services[service].servers; ++server) {
            const std::string name = std::to_string(service) + "-" + std::to_string(server);
            const base::VmId id("vm-" + name);
            m_serversOf[service].push_back(m_vms.size());
            m_vms.push_back(Vm{
                id,
                zoneId(server % m_shape.zones),
                service,
                std::make_unique<ModelServer>(m_shape, service, server % m_shape.zones, m_clock, m_events, m_random()),
                base::BackendServerId("server-" + name),
                health::GrayFailureTable(m_clock),
                routing::ServerIdleTimes(m_clock),
                routing::AnnouncementTable(m_clock),
                routing::LeastCostPlacement(id),
                receiptTime(m_shape.evacuation ? m_shape.evacuation->begin : base::Duration()),
                receiptTime(m_shape.evacuation ? m_shape.evacuation->end : base::Duration())});
        }
    }
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        m_vms[vm].server->setCaller(
            [this, vm](std::size_t trafficClass,
                       int priority,
                       base::TimePoint deadline,
                       const std::function<void(bool)> &done) { call(vm, trafficClass, priority, deadline, done); });
        m_vms[vm].server->onArrival([this, vm](const ModelAttempt &attempt) {
            m_announcements.recordArrival(vm, attempt.entry, attempt.sentAt, m_clock.now());
        });
    }
    m_result.classes.resize(m_shape.classes.size());
}

/// Draws the time at which a node receives a change that is published `change` after the begin.
base::TimePoint FleetModel::Play::receiptTime(base::Duration change)
{
    const double longest = m_shape.evacuation ? std::chrono::duration<double>(m_shape.evacuation->maxDelay).count() : 0;
    const std::chrono::duration<double> delay(std::uniform_real_distribution<double>(0, 1)(m_random) * longest);
    return m_begin + change + std::chrono::duration_cast<base::Duration>(delay);
}

FleetResult FleetModel::Play::run(base::Duration duration)
{
    m_end = m_begin + warmUp + duration;
    for (std::size_t trafficClass = 0; trafficClass < m_shape.classes.size(); ++trafficClass) {
        if (m_shape.classes[trafficClass].perSecond > 0) {
            scheduleArrivals(trafficClass);
        }
    }
    countRepeats();
    m_events.runUntil(m_end + std::chrono::seconds(10));
    m_result.busiestToMean = busiestToMean();
    m_result.namedLimitUsed = m_announcements.limitUsed();
    m_result.requestsAfterAnnouncedEnd = m_announcements.requestsAfterEnd();
    collectServerCounts();
    return m_result;
}

/// Requests arrive independently of one another, with exponential gaps.
void FleetModel::Play::scheduleArrivals(std::size_t trafficClass)
{
    const auto &burst = m_shape.burst;
    const base::Duration passed = m_clock.now() - m_begin;
    const bool isBurst = burst && burst->trafficClass.value_or(trafficClass) == trafficClass && passed >= burst->begin
        && passed < burst->end;
    const double perSecond = m_shape.classes[trafficClass].perSecond * (isBurst ? burst->factor : 1);
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(perSecond)(m_random));
    const base::TimePoint next = m_clock.now() + std::chrono::duration_cast<base::Duration>(gap);
    if (next < m_end) {
        m_events.at(next, [this, trafficClass] {
            arrive(trafficClass);
            scheduleArrivals(trafficClass);
        });
    }
}

void FleetModel::Play::arrive(std::size_t trafficClass)
{
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
    place(makeRequest(entry, trafficClass));
}

FleetModel::Play::RequestPtr FleetModel::Play::makeRequest(std::size_t entry, std::size_t trafficClass)
{
    const TrafficClass &kind = m_shape.classes[trafficClass];
    auto request = std::make_shared<Request>();
    request->entry = entry;
    request->trafficClass = trafficClass;
    request->id = {m_random(), m_random()};
    request->arrivedAt = m_clock.now();
    request->progress.idempotent = kind.idempotent;
    request->progress.maxAttempts = kind.maxAttempts;
    request->progress.deadline = m_clock.now() + kind.deadline;
    ++m_requestsOf[kind.service];
    return request;
}

void FleetModel::Play::call(std::size_t entry,
                            std::size_t trafficClass,
                            int priority,
                            base::TimePoint deadline,
                            const std::function<void(bool)> &done)
{
    const RequestPtr request = makeRequest(entry, trafficClass);
    request->isCall = true;
    request->priority = priority;
    request->progress.deadline = std::min(request->progress.deadline, deadline);
    request->done = done;
    place(request);
}

void FleetModel::Play::place(const RequestPtr &request)
{
    const auto now = m_clock.now();
    const TrafficClass &kind = m_shape.classes[request->trafficClass];
    const Vm &entry = m_vms[request->entry];
    std::vector<routing::Candidate> candidates;
    candidates.reserve(m_serversOf[kind.service].size());
    for (const std::size_t index : m_serversOf[kind.service]) {
        const Vm &vm = m_vms[index];
        routing::Candidate candidate;
        candidate.server = vm.serverId;
        candidate.vm = vm.id;
        candidate.zone = vm.zone;
        candidate.slots = m_shape.services[kind.service].slots;
        candidate.loadAge = std::chrono::seconds(10);
        candidate.latency = kind.meanRun;
        candidate.failureRisk = entry.gray.probability(vm.serverId);
        candidate.idle = entry.idle.idle(vm.serverId);
        candidate.drained = isEvacuated(entry, vm) || entry.announcements.isLeaving(vm.serverId, 0);
        candidates.push_back(candidate);
    }
    routing::PlacementRequest wanted{entry.zone, kind.idempotent, request->tried};
    wanted.remaining = request->progress.deadline - now;
    wanted.remainingTarget = request->arrivedAt + kind.target - now;
    wanted.mayBeTrial = !m_shape.confirmsRecovery || std::bernoulli_distribution(trialShare)(m_random);
    wanted.isRepeat = request->progress.serverAttempts > 0;
    routing::SlotSurveySettings settings;
    settings.riskyLastResort = !m_shape.confirmsRecovery;
    request->survey = std::make_unique<routing::SlotSurvey>(entry.placement, std::move(candidates), wanted, settings);
    step(request);
}

void FleetModel::Play::step(const RequestPtr &request)
{
    if (!request->survey) {
        return;
    }
    const SurveyStep next = request->survey->next(m_clock.now(), m_random);
    switch (next.kind) {
    case SurveyStep::Kind::Ask:
        for (const std::size_t candidate : next.ask) {
            ask(request, candidate);
        }
        step(request);
        return;
    case SurveyStep::Kind::Wait:
        m_events.at(next.until, [this, request] { step(request); });
        return;
    case SurveyStep::Kind::Take:
        begin(request, next.candidate, next.lastResort);
        return;
    case SurveyStep::Kind::Refuse:
        m_result.repeatsRefused += next.code == ResultCode::RetryBudgetSpent ? 1 : 0;
        finish(request, false, !request->progress.mayHaveRun);
        return;
    }
}

void FleetModel::Play::ask(const RequestPtr &request, std::size_t candidate)
{
    const std::size_t vm = m_serversOf[m_shape.classes[request->trafficClass].service][candidate];
    const base::Duration way = delay(request->entry, vm);
    ++m_result.questions;
    m_events.after(way, [this, request, vm, way, attempt = attemptOf(*request)] {
        const routing::SlotQuote quote = m_vms[vm].server->quote(attempt);
        m_events.after(way, [this, request, vm, quote] {
            Vm &entry = m_vms[request->entry];
            entry.gray.update(m_vms[vm].serverId, quote.failureRisk);
            entry.idle.record(m_vms[vm].serverId, quote.idle);
            if (request->survey) {
                request->survey->recordQuote(m_vms[vm].serverId, quote);
                step(request);
            }
        });
    });
}

void FleetModel::Play::begin(const RequestPtr &request, std::size_t candidate, bool lastResort)
{
    const std::size_t vm = m_serversOf[m_shape.classes[request->trafficClass].service][candidate];
    request->survey.reset();
    ModelAttempt attempt = attemptOf(*request);
    routing::RetryPolicy::beginAttempt(request->progress);
    attempt.id.attempt = request->progress.nodeAttempts;
    attempt.lastResort = lastResort;
    attempt.knownLimit = m_vms[request->entry].announcements.requestsPerSecond(m_vms[vm].serverId, 0);
    request->tried.push_back(m_vms[vm].serverId);
    const base::Duration way = delay(request->entry, vm);
    m_events.after(way, [this, request, vm, way, attempt] {
        m_vms[vm].server->serve(attempt, [this, request, vm, way](const ModelEnd &end) {
            m_events.after(way, [this, request, vm, end] { attemptEnded(request, vm, end); });
        });
    });
}

void FleetModel::Play::attemptEnded(const RequestPtr &request, std::size_t vm, const ModelEnd &end)
{
    m_vms[request->entry].gray.update(m_vms[vm].serverId, end.grayProbability);
    if (end.announcement) {
        m_announcements.recordAnswer(vm, request->entry, *end.announcement, m_clock.now());
        const routing::ServerNotice notice{0, end.announcement->limit.requestsPerSecond, end.announcement->isLeaving};
        m_vms[request->entry].announcements.record(m_vms[vm].serverId, notice);
    }
    const routing::RetryDecision decision = m_policy.decide(request->progress, end.result);
    if (decision.action == RetryAction::RetryElsewhere) {
        place(request);
        return;
    }
    const bool refused = decision.action == RetryAction::Refuse && decision.refusal.outcome == routing::Outcome::NotRun;
    finish(request, end.result.event == AttemptEvent::Complete, refused);
}

void FleetModel::Play::finish(const RequestPtr &request, bool answered, bool refused)
{
    request->survey.reset();
    if (request->done) {
        request->done(answered);
        return;
    }
    if (request->arrivedAt < m_begin + warmUp) {
        return;
    }
    ClassResult &result = m_result.classes[request->trafficClass];
    const base::Duration took = m_clock.now() - request->arrivedAt;
    const bool inTarget = took <= m_shape.classes[request->trafficClass].target;
    ++result.asked;
    if (answered) {
        ++(inTarget ? result.inTarget : result.late);
    } else {
        ++(refused ? result.refused : result.failed);
    }
}

ModelAttempt FleetModel::Play::attemptOf(const Request &request) const
{
    ModelAttempt attempt;
    attempt.id.request = request.id;
    attempt.trafficClass = request.trafficClass;
    attempt.deadline = request.progress.deadline;
    attempt.wantedBy = request.arrivedAt + m_shape.classes[request.trafficClass].target;
    attempt.isCall = request.isCall;
    attempt.priority = request.priority;
    attempt.isRepeat = request.progress.serverAttempts > 0;
    attempt.entry = request.entry;
    attempt.sentAt = request.arrivedAt;
    return attempt;
}

/// Whether the node of `entry` has received that the zone of `vm` is evacuated.
bool FleetModel::Play::isEvacuated(const Vm &entry, const Vm &vm) const
{
    const auto now = m_clock.now();
    return m_shape.evacuation && vm.zone == zoneId(m_shape.evacuation->zone) && now >= entry.evacuationFrom
        && now < entry.evacuationUntil;
}

base::Duration FleetModel::Play::delay(std::size_t from, std::size_t to) const
{
    if (from == to) {
        return {};
    }
    return m_vms[from].zone == m_vms[to].zone ? m_shape.zoneDelay : m_shape.crossZoneDelay;
}

/// Compares the repeats of each service within the last window with the limit.
void FleetModel::Play::countRepeats()
{
    const auto window = static_cast<std::size_t>(m_shape.retryLimit.window / countingStep);
    for (std::size_t service = 0; service < m_shape.services.size(); ++service) {
        std::uint64_t repeats = 0;
        for (const std::size_t vm : m_serversOf[service]) {
            repeats += m_vms[vm].server->counts().repeats;
        }
        auto &counts = m_counts[service];
        counts.emplace_back(m_requestsOf[service], repeats);
        const auto &first = counts[counts.size() > window ? counts.size() - 1 - window : 0];
        const double allowed = m_shape.retryLimit.ratio * static_cast<double>(counts.back().first - first.first)
            + m_shape.retryLimit.slack;
        const auto used = static_cast<double>(repeats - first.second);
        m_result.retryLimitUsed = std::max(m_result.retryLimitUsed, allowed > 0 ? used / allowed : 0);
    }
    if (m_clock.now() < m_end) {
        m_events.after(countingStep, [this] { countRepeats(); });
    }
}

void FleetModel::Play::collectServerCounts()
{
    for (const Vm &vm : m_vms) {
        const ModelCounts &counts = vm.server->counts();
        m_result.crashes += counts.crashes;
        m_result.lostAtFailingServers += counts.lostAtFailingServer;
        m_result.mostColdStarts = std::max(m_result.mostColdStarts, counts.mostColdStarts);
        if (m_shape.evacuation && counts.lastStart > base::TimePoint()) {
            const base::Duration after = counts.lastStart - (m_begin + m_shape.evacuation->begin);
            m_result.lastStartInEvacuation = std::max(m_result.lastStartInEvacuation, after);
        }
    }
}

double FleetModel::Play::busiestToMean() const
{
    double result = 0;
    for (const auto &servers : m_serversOf) {
        std::uint64_t most = 0;
        std::uint64_t sum = 0;
        for (const std::size_t vm : servers) {
            most = std::max(most, m_vms[vm].server->counts().runs);
            sum += m_vms[vm].server->counts().runs;
        }
        if (sum > 0) {
            result = std::max(result, static_cast<double>(most * servers.size()) / static_cast<double>(sum));
        }
    }
    return result;
}

FleetModel::FleetModel(FleetShape shape, std::uint64_t seed)
    : m_play(std::make_unique<Play>(std::move(shape), seed))
{
}

FleetModel::~FleetModel() = default;

FleetResult FleetModel::run(base::Duration duration)
{
    return m_play->run(duration);
}

}
