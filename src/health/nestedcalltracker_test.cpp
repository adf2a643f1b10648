#include "papayastep/health/grayfailureestimator.h"
#include "papayastep/health/nestedcalltracker.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

namespace {

AttemptKey run(std::uint64_t number)
{
    return {base::RequestId{1, number}, 1};
}

/// A backend server with three runs at work, which end at different deadlines.
struct ThreeRuns
{
    ThreeRuns()
    {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            calls.runStarted(run(number), start + number * 700ms);
        }
    }

    base::ManualClock clock;
    base::TimePoint start = clock.now();
    NestedCallTracker calls{clock};
};

/// A backend server whose runs make calls, with the filter that holds it back.
struct CallingServer
{
    void endRun(bool callFails, bool fails)
    {
        const AttemptKey key = run(++number);
        calls.runStarted(key, clock.now() + 2s);
        clock.advance(100ms);
        if (callFails) {
            calls.callFailed(clock.now() + 1s);
        }
        clock.advance(1ms);
        const bool explained = (fails || callFails) && calls.explainsFailure(key);
        if (!explained) {
            filter.recordEnd(fails ? RunEnd::Broken : RunEnd::Answered, clock.now());
        }
        calls.runEnded(key);
    }

    base::ManualClock clock;
    NestedCallTracker calls{clock};
    GrayFailureEstimator filter{clock.now()};
    std::uint64_t number = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(runCalls, ThreeRuns)

BOOST_AUTO_TEST_CASE(request_endingWithARun_mayBeItsCall)
{
    BOOST_TEST(calls.mayBeNestedCall(start + 500ms));
    BOOST_TEST(calls.mayBeNestedCall(start + 2102ms));
}

// Guards against taking the failed request of a caller on the VM for the reason why a run failed.
BOOST_AUTO_TEST_CASE(request_outlastingAllRuns_isNoCall)
{
    BOOST_TEST(!calls.mayBeNestedCall(start + 3s));
    calls.callFailed(start + 3s);
    BOOST_TEST(!calls.explainsFailure(run(3)));
}

BOOST_AUTO_TEST_CASE(request_afterAllRunsEnded_isNoCall)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        calls.runEnded(run(number));
    }
    BOOST_TEST(!calls.mayBeNestedCall(start + 500ms));
}

// Guards against holding a well server back because the calls of its runs found no room elsewhere.
BOOST_AUTO_TEST_CASE(failedCall_explainsTheEndOfOneRun)
{
    calls.callFailed(start + 1400ms);
    clock.advance(1ms);
    BOOST_TEST(!calls.explainsFailure(run(1)));
    BOOST_TEST(calls.explainsFailure(run(2)));
    BOOST_TEST(!calls.explainsFailure(run(3)));
}

// Guards against a gray server that is never found because some call failed before each of its failures.
BOOST_AUTO_TEST_CASE(failedCall_longBeforeTheEndOfARun_doesNotExplainIt)
{
    calls.callFailed(start + 700ms);
    clock.advance(100ms);
    BOOST_TEST(!calls.explainsFailure(run(2)));
}

BOOST_AUTO_TEST_CASE(failedCall_beforeTheStartOfARun_doesNotExplainItsEnd)
{
    calls.callFailed(start + 700ms);
    clock.advance(1ms);
    calls.runStarted(run(4), start + 2s);
    BOOST_TEST(!calls.explainsFailure(run(4)));
}

BOOST_AUTO_TEST_SUITE_END()

// The service that the runs call is overloaded, and half of the calls are refused. Guards against holding the calling
// server back, and against not finding it any more when it turns gray itself.
BOOST_FIXTURE_TEST_CASE(server_whoseCallsAreRefused_isHeldForFailuresOfItsOwn, CallingServer)
{
    for (int i = 0; i < 50; ++i) {
        endRun(i % 2 == 0, i % 2 == 0);
        BOOST_REQUIRE(!filter.isHeld(clock.now()));
    }
    endRun(false, true);
    endRun(true, true);
    endRun(false, true);
    BOOST_TEST(filter.isHeld(clock.now()));
}
