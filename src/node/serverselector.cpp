#include "serverselector.h"

#include "papayastep/base/log.h"
#include "papayastep/node/candidates.h"

#include <algorithm>

namespace papayastep::node {

namespace {

/// Number of refusals by ejected servers after which the next server must accept the attempt. If a third of the servers
/// have a gray failure, four random choices in a row hit such a server in 1 of 81 requests; more often it means that
/// nearly all servers are ejected.
constexpr int ejectedBeforeLastResort = 4;

/// Share of the requests that offer themselves as trials to servers whose recovery has to be confirmed. All entries of
/// a service together must offer about one a second to each such server. If all requests did, the first questions of
/// nearly each would be wasted on these servers, and it would be served in another availability zone.
constexpr double trialShare = 0.125;
/// Number of servers asked first where holds last until they are confirmed. With a third of the servers held, a first
/// wave of two often finds none that is free, and the second wave leaves the zone.
constexpr std::size_t firstWaveWithHolds = 4;

using base::ResultCode;
using routing::SurveyStep;

routing::SlotQuote quoteOf(const wire::SlotOffer &offer)
{
    routing::SlotQuote quote;
    quote.code = static_cast<ResultCode>(offer.code);
    quote.wait = std::chrono::microseconds(offer.waitMicros);
    quote.run = std::chrono::microseconds(offer.runMicros);
    quote.failureRisk = std::min<int>(offer.grayPercent, 100) / 100.0;
    quote.idle = std::chrono::milliseconds(offer.idleMs);
    quote.held = offer.heldAsGray;
    return quote;
}

}

ServerSelector::ServerSelector(NodeContext &context,
                               ServingNode &serving,
                               const base::RequestId &request,
                               net::Signal &changed)
    : m_context(context)
    , m_serving(serving)
    , m_request(request)
    , m_changed(changed)
{
}

net::Awaitable<ServerSelector::Result> ServerSelector::choose(const ServerRequirements &need, const bool &callerGone)
{
    if (m_context.settings.asksForFreeSlots) {
        co_return co_await chooseBySurvey(need, callerGone);
    }
    co_return chooseByEstimates(need);
}

void ServerSelector::slotOffered(const wire::SlotOffer &offer)
{
    m_context.gray.update(offer.server, quoteOf(offer).failureRisk);
    m_context.idle.record(offer.server, quoteOf(offer).idle);
    if (m_survey) {
        m_survey->recordQuote(offer.server, quoteOf(offer));
        m_changed.notify();
    }
}

void ServerSelector::recordResult(const base::BackendServerId &server,
                                  const routing::AttemptResult &result,
                                  const base::BackendServerId &advice)
{
    if (!wasTried(server)) {
        m_tried.push_back(server);
    }
    m_advice = advice;
    m_ejectedRefusals += result.code == ResultCode::HopBackendServerEjected ? 1 : 0;
}

routing::PlacementRequest ServerSelector::placementRequest(const ServerRequirements &need) const
{
    const auto now = m_context.clock.now();
    routing::PlacementRequest request{m_context.settings.zone, need.idempotent, m_tried};
    request.remaining = need.deadline - now;
    request.isRepeat = need.isRepeat;
    request.mayBeTrial
        = !m_context.settings.confirmsRecovery || std::bernoulli_distribution(trialShare)(m_context.random);
    request.zoneCost = m_context.transferCost.zoneCost(need.route);
    if (need.targetTime) {
        request.remainingTarget = *need.targetTime - now;
    }
    return request;
}

ServerSelector::Result ServerSelector::chooseByEstimates(const ServerRequirements &need)
{
    const auto candidates = sampledCandidates(m_context, need.service);
    routing::PlacementRequest request = placementRequest(need);
    auto placement = m_context.placement->place(candidates, request, m_context.random);
    const auto advised = std::find_if(candidates.begin(), candidates.end(), [&](const routing::Candidate &candidate) {
        return !m_advice.empty() && candidate.server == m_advice && !candidate.drained && candidate.pathUsable;
    });
    const bool followAdvice
        = advised != candidates.end() && !wasTried(m_advice) && m_context.placement->followsAdvice();
    if (followAdvice) {
        placement.candidate = static_cast<std::size_t>(advised - candidates.begin());
    }
    if (!placement.candidate && m_ejectedRefusals > 0) {
        // Every remaining server was found to be ejected; a server that may fail is better than none.
        request.tried.clear();
        placement = m_context.placement->place(candidates, request, m_context.random);
    }
    if (!placement.candidate) {
        return NoServer();
    }
    ChosenServer chosen;
    chosen.candidate = candidates[*placement.candidate];
    chosen.reason = followAdvice ? "advice" : routing::name(placement.reason);
    chosen.lastResort = m_ejectedRefusals >= ejectedBeforeLastResort || wasTried(chosen.candidate.server);
    chosen.followsAdvice = chosen.candidate.server == m_advice;
    chosen.medianLatency = medianLatency(candidates);
    return chosen;
}

net::Awaitable<ServerSelector::Result> ServerSelector::chooseBySurvey(const ServerRequirements &need,
                                                                      const bool &callerGone)
{
    auto candidates = sampledCandidates(m_context, need.service);
    const base::Duration typical = medianLatency(candidates);
    routing::SlotSurveySettings settings;
    settings.riskyLastResort = !m_context.settings.confirmsRecovery;
    settings.ownZoneFirst = m_context.settings.zoneTransfer.has_value();
    if (m_context.settings.confirmsRecovery) {
        settings.firstWave = firstWaveWithHolds;
    }
    m_survey = std::make_unique<routing::SlotSurvey>(
        *m_context.placement, std::move(candidates), placementRequest(need), settings);
    SurveyStep step = m_survey->next(m_context.clock.now(), m_context.random);
    while (!callerGone && (step.kind == SurveyStep::Kind::Ask || step.kind == SurveyStep::Kind::Wait)) {
        for (const std::size_t index : step.ask) {
            ask(need, m_survey->candidate(index));
        }
        if (step.kind == SurveyStep::Kind::Wait) {
            co_await m_changed.waitUntil(step.until);
        }
        step = m_survey->next(m_context.clock.now(), m_context.random);
    }
    recordSilentNodes();
    const auto survey = std::move(m_survey);
    if (step.kind != SurveyStep::Kind::Take) {
        const NoServer none{step.code, step.retryAfter, survey->tally()};
        co_return none;
    }
    ChosenServer chosen;
    chosen.candidate = survey->candidate(step.candidate);
    chosen.reason = step.lastResort ? "all-gray" : "survey";
    chosen.lastResort = step.lastResort;
    chosen.nodesAsked = survey->asked();
    chosen.surveyTally = survey->tally();
    chosen.medianLatency = typical;
    co_return chosen;
}

void ServerSelector::ask(const ServerRequirements &need, const routing::Candidate &candidate)
{
    const auto now = m_context.clock.now();
    wire::SlotQuery question;
    question.requestHigh = m_request.high;
    question.requestLow = m_request.low;
    question.server = candidate.server;
    question.workspace = need.workspace;
    question.route = need.route;
    question.priority = static_cast<std::uint8_t>(need.priority);
    question.idempotent = need.idempotent;
    question.isNestedCall = need.isCall;
    question.isRepeat = need.isRepeat;
    question.remaining = (need.deadline - now).count();
    if (need.targetTime) {
        question.remainingTarget = std::max<std::int64_t>(1, (*need.targetTime - now).count());
    }
    if (candidate.vm == m_context.settings.vm) {
        slotOffered(m_serving.offerFor(question));
        return;
    }
    m_context.send(wire::outgoing(candidate.vm, wire::MessageKind::SlotQuery, question));
}

void ServerSelector::recordSilentNodes() const
{
    for (const std::size_t index : m_survey->silent(m_context.clock.now())) {
        const base::VmId &vm = m_survey->candidate(index).vm;
        if (m_context.silence.markSilent(vm)) {
            PAPAYASTEP_LOG(INFO, "health") << "A node does not answer." << base::field("vm", vm);
        }
    }
}

bool ServerSelector::wasTried(const base::BackendServerId &server) const
{
    return std::find(m_tried.begin(), m_tried.end(), server) != m_tried.end();
}

}
