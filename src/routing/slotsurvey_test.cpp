#include "papayastep/routing/leastcostplacement.h"
#include "papayastep/routing/slotsurvey.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

using Kind = SurveyStep::Kind;

/// Six servers, of which the first two are in the zone of the entry.
struct SurveyFixture
{
    SurveyFixture()
    {
        for (int i = 0; i < 6; ++i) {
            Candidate candidate;
            candidate.server = base::BackendServerId("s" + std::to_string(i));
            candidate.vm = base::VmId("vm-" + std::to_string(i));
            candidate.zone = base::ZoneId(i < 2 ? "near" : "far");
            candidate.slots = 5;
            candidate.latency = 300ms;
            candidates.push_back(candidate);
        }
        request.zone = base::ZoneId("near");
        request.remainingTarget = 1200ms;
        request.remaining = 2s;
    }

    SlotSurvey survey(std::size_t servers = 6) const
    {
        return SlotSurvey(
            policy, {candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(servers)}, request);
    }
    /// A survey of three servers that sends no request that can't be repeated to a server that is held back.
    SlotSurvey carefulSurvey() const
    {
        SlotSurveySettings settings;
        settings.riskyLastResort = false;
        return SlotSurvey(policy, {candidates.begin(), candidates.begin() + 3}, request, settings);
    }
    /// Asks all three servers: `full` of them are full and the others are held back.
    void askAll(SlotSurvey &survey, std::size_t full)
    {
        for (int wave = 0; wave < 2; ++wave) {
            next(survey);
            for (std::size_t index = 0; index < 3; ++index) {
                if (index < full) {
                    refuse(survey, index, base::ResultCode::HopQueueTimeout, 700ms);
                } else {
                    hold(survey, index, 0.4);
                }
            }
        }
    }
    SurveyStep next(SlotSurvey &survey)
    {
        return survey.next(clock.now(), random);
    }
    void answer(SlotSurvey &survey, std::size_t index, base::Duration wait, double risk = 0.13)
    {
        survey.recordQuote(candidates[index].server, {base::ResultCode::Ok, wait, 300ms, risk});
    }
    void refuse(SlotSurvey &survey, std::size_t index, base::ResultCode code, base::Duration wait, double risk = 0.13)
    {
        survey.recordQuote(candidates[index].server, {code, wait, 300ms, risk});
    }
    void hold(SlotSurvey &survey,
              std::size_t index,
              double risk,
              base::Duration wait = 0ms,
              base::ResultCode code = base::ResultCode::Ok)
    {
        survey.recordQuote(candidates[index].server, {code, wait, 300ms, risk, 0ms, true});
    }

    base::ManualClock clock;
    std::mt19937_64 random{7};
    LeastCostPlacement policy{base::VmId("entry")};
    std::vector<Candidate> candidates;
    PlacementRequest request;
};

}

BOOST_FIXTURE_TEST_SUITE(slotSurvey, SurveyFixture)

BOOST_AUTO_TEST_CASE(survey_freeServerInOwnZone_isChosenAtOnce)
{
    SlotSurvey asked = survey();
    const SurveyStep first = next(asked);
    BOOST_REQUIRE((first.kind == Kind::Ask));
    BOOST_TEST((first.ask == std::vector<std::size_t>{0, 1} || first.ask == std::vector<std::size_t>{1, 0}));
    answer(asked, 1, 0ms);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.candidate == 1U);
}

// All servers of the own zone are full. Without another wave the request would be queued there although servers of the
// other zone are idle, and its caller would wait without need.
BOOST_AUTO_TEST_CASE(survey_ownZoneFull_findsFreeSlotElsewhere)
{
    SlotSurvey asked = survey();
    next(asked);
    answer(asked, 0, 400ms);
    answer(asked, 1, 500ms);
    const SurveyStep second = next(asked);
    BOOST_REQUIRE((second.kind == Kind::Ask));
    BOOST_TEST(second.ask.size() == 4U);
    answer(asked, 4, 0ms);
    BOOST_TEST((next(asked).kind == Kind::Take));
    BOOST_TEST(next(asked).candidate == 4U);
}

BOOST_AUTO_TEST_CASE(survey_noServerFree_choosesShortestQueue)
{
    SlotSurvey asked = survey();
    next(asked);
    answer(asked, 0, 400ms);
    answer(asked, 1, 700ms);
    next(asked);
    answer(asked, 2, 600ms);
    answer(asked, 3, 100ms);
    answer(asked, 4, 700ms);
    answer(asked, 5, 500ms);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.candidate == 3U);
}

// In an overload no server could answer in time. The caller is refused at once, with the shortest wait as the time for
// a retry; otherwise the request would be sent from one full server to the next until half of its time is gone.
BOOST_AUTO_TEST_CASE(survey_allTooLate_refusesAtOnceWithTheShortestWait)
{
    SlotSurvey asked = survey();
    next(asked);
    refuse(asked, 0, base::ResultCode::HopQueueTimeout, 900ms);
    refuse(asked, 1, base::ResultCode::HopQueueTimeout, 800ms);
    next(asked);
    for (std::size_t index = 2; index < 6; ++index) {
        refuse(asked, index, base::ResultCode::HopQueueTimeout, 850ms);
    }
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Refuse));
    BOOST_TEST((step.code == base::ResultCode::HopQueueTimeout));
    BOOST_TEST((step.retryAfter == 800ms));
}

// The network path of a node fails in one direction: it receives all messages, but its answers are lost. A refund sent
// to it would run, and its caller would get no answer. So a node that does not answer the survey gets no request.
BOOST_AUTO_TEST_CASE(survey_silentNode_getsNoRequest)
{
    SlotSurvey asked = survey(3);
    next(asked);
    refuse(asked, 0, base::ResultCode::HopBackendServerGone, 0ms);
    BOOST_TEST((next(asked).kind == Kind::Wait));
    clock.advance(30ms);
    const SurveyStep second = next(asked);
    BOOST_REQUIRE((second.kind == Kind::Ask));
    BOOST_TEST((second.ask == std::vector<std::size_t>{2}));
    BOOST_TEST((asked.silent(clock.now()) == std::vector<std::size_t>{1}));
    answer(asked, 2, 0ms);
    BOOST_TEST(next(asked).candidate == 2U);
}

BOOST_AUTO_TEST_CASE(survey_withoutAnswers_refusesAsUnacknowledged)
{
    SlotSurvey asked = survey(2);
    next(asked);
    clock.advance(30ms);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Refuse));
    BOOST_TEST((step.code == base::ResultCode::HopUnacknowledged));
}

BOOST_AUTO_TEST_CASE(survey_allGray_choosesTheLeastGrayAsLastResort)
{
    SlotSurvey asked = survey(2);
    next(asked);
    hold(asked, 0, 0.9);
    hold(asked, 1, 0.6);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.candidate == 1U);
    BOOST_TEST(step.lastResort);
}

// Guards against all entries sending all work to the least gray server, which is full, while others that are held back
// are idle.
BOOST_AUTO_TEST_CASE(survey_allGrayAndTheLeastGrayFull_choosesOneWithRoom)
{
    request.idempotent = true;
    SlotSurvey asked = survey(2);
    next(asked);
    hold(asked, 0, 0.9);
    hold(asked, 1, 0.6, 900ms, base::ResultCode::HopQueueTimeout);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.candidate == 0U);
    BOOST_TEST(step.lastResort);
}

// Guards against sending a booking to a server that will most likely fail it, as its outcome would be unknown.
BOOST_AUTO_TEST_CASE(survey_allVeryLikelyGray_acceptsOnlyIdempotentRequests)
{
    for (const bool idempotent : {true, false}) {
        request.idempotent = idempotent;
        SlotSurvey asked = survey(2);
        next(asked);
        hold(asked, 0, 0.95);
        hold(asked, 1, 0.9);
        const SurveyStep step = next(asked);
        BOOST_TEST((step.kind == (idempotent ? Kind::Take : Kind::Refuse)));
    }
}

// One server of the zone is a little slower than the others. If it were always asked after them, it would get no work
// at light load, and its state would be unknown when it is needed.
BOOST_AUTO_TEST_CASE(survey_slowerServerOfTheZone_isAskedSometimes)
{
    for (std::size_t index = 2; index < 6; ++index) {
        candidates[index].zone = request.zone;
    }
    candidates[5].latency = 400ms;
    int asked = 0;
    for (int round = 0; round < 100; ++round) {
        SlotSurvey one = survey();
        const auto wave = next(one).ask;
        asked += std::count(wave.begin(), wave.end(), 5U) > 0 ? 1 : 0;
    }
    BOOST_TEST(asked > 5);
    BOOST_TEST(asked < 50);
}

// One server is held back although it is more likely healthy than not, and all others are full. A refusal would
// certainly have no value for the caller.
BOOST_AUTO_TEST_CASE(survey_othersFullAndOnePossiblyGray_choosesThatServer)
{
    SlotSurvey asked = survey(2);
    next(asked);
    refuse(asked, 0, base::ResultCode::HopQueueTimeout, 800ms);
    hold(asked, 1, 0.45);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.candidate == 1U);
    BOOST_TEST(step.lastResort);
}

// A lookup is refused in an overload. One log line must show the users' engineer whether the servers were full, held
// back as gray or unreachable, and by how much the earliest slot was too late.
BOOST_AUTO_TEST_CASE(survey_refused_countsTheAnswersOfTheNodes)
{
    SlotSurvey asked = survey(4);
    const std::vector<std::size_t> first = next(asked).ask;
    refuse(asked, first[0], base::ResultCode::HopQueueTimeout, 800ms);
    refuse(asked, first[1], base::ResultCode::HopQueueTimeout, 700ms);
    const std::vector<std::size_t> second = next(asked).ask;
    BOOST_REQUIRE_EQUAL(second.size(), 2U);
    hold(asked, second[0], 0.9);
    clock.advance(28ms);
    BOOST_TEST((next(asked).kind == Kind::Refuse));
    BOOST_TEST((asked.tally() == SurveyTally{4, 0, 2, 1, 1, 700ms}));
    std::ostringstream text;
    text << asked.tally();
    BOOST_TEST(text.str() == "asked:4,full:2,held:1,silent:1,soonestMs:700");
}

// Both servers have a free slot, and the slower one has had no request for a second. If it were never chosen, its
// capacity would stay unused and its state unknown.
BOOST_AUTO_TEST_CASE(survey_slowerServerWithoutWork_isChosen)
{
    SlotSurvey asked = survey(2);
    next(asked);
    asked.recordQuote(candidates[0].server, {base::ResultCode::Ok, 0ms, 500ms, 0.13, 1s});
    asked.recordQuote(candidates[1].server, {base::ResultCode::Ok, 0ms, 300ms, 0.13, 100ms});
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.candidate == 0U);
}

BOOST_AUTO_TEST_CASE(idleTime_afterASecond_isOutdated)
{
    ServerIdleTimes records(clock);
    const base::BackendServerId server("s1");
    BOOST_TEST((records.idle(server) == 0ms));
    records.record(server, 2s);
    BOOST_TEST((records.idle(server) == 2s));
    clock.advance(1s);
    BOOST_TEST((records.idle(server) == 0ms));
}

BOOST_AUTO_TEST_CASE(survey_noCandidate_refuses)
{
    SlotSurvey asked = survey(0);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Refuse));
    BOOST_TEST((step.code == base::ResultCode::NoBackendServer));
}

BOOST_AUTO_TEST_CASE(silence_afterASecond_isOutdated)
{
    SilentNodes records(clock);
    BOOST_TEST(records.markSilent(base::VmId("vm-1")));
    BOOST_TEST(!records.markSilent(base::VmId("vm-1")));
    BOOST_TEST(records.isSilent(base::VmId("vm-1")));
    clock.advance(1s);
    BOOST_TEST(!records.isSilent(base::VmId("vm-1")));
    BOOST_TEST(records.markResponsive(base::VmId("vm-1")));
    BOOST_TEST(!records.markResponsive(base::VmId("vm-1")));
}

// Guards against requests that leave their zone although it has free slots, because the servers of another one seem to
// be a little faster.
BOOST_AUTO_TEST_CASE(survey_withFasterServersInAnotherZone_asksTheOwnZoneFirst)
{
    for (std::size_t index = 2; index < candidates.size(); ++index) {
        candidates[index].latency = 1ms;
    }
    SlotSurveySettings settings;
    settings.ownZoneFirst = true;
    SlotSurvey asked(policy, candidates, request, settings);
    const SurveyStep first = next(asked);
    BOOST_TEST((first.ask == std::vector<std::size_t>{0, 1} || first.ask == std::vector<std::size_t>{1, 0}));
    refuse(asked, 0, base::ResultCode::HopQueueTimeout, 700ms);
    refuse(asked, 1, base::ResultCode::HopQueueTimeout, 700ms);
    BOOST_TEST(next(asked).ask.size() == 4U);
}

// Guards against requests that can't be repeated at a failing server, which always has free slots, while all healthy
// servers are full.
BOOST_AUTO_TEST_CASE(survey_ofFullServersAndAHeldOne_refusesARequestThatCantBeRepeated)
{
    SlotSurvey asked = carefulSurvey();
    askAll(asked, 2);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Refuse));
    BOOST_TEST((step.retryAfter == 700ms));
}

BOOST_AUTO_TEST_CASE(survey_ofFullServersAndAHeldOne_sendsARequestThatCanBeRepeatedToTheHeldOne)
{
    request.idempotent = true;
    SlotSurvey asked = carefulSurvey();
    askAll(asked, 2);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.lastResort);
}

// Guards against a service that serves nothing, because nearly all of its servers are held back at once.
BOOST_AUTO_TEST_CASE(survey_ofHeldServersOnly_sendsARequestThatCantBeRepeatedToOneOfThem)
{
    SlotSurvey asked = carefulSurvey();
    askAll(asked, 0);
    const SurveyStep step = next(asked);
    BOOST_TEST((step.kind == Kind::Take));
    BOOST_TEST(step.lastResort);
}

BOOST_AUTO_TEST_SUITE_END()
