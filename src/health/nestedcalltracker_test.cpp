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

/// A backend server with three current runs with different deadlines.
struct ThreeRuns
{
    ThreeRuns()
    {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            tracker.runStarted(run(number), start + number * 700ms);
        }
    }

    base::ManualClock clock;
    base::TimePoint start = clock.now();
    NestedCallTracker tracker{clock};
};

/// A backend server whose runs make nested calls, with its gray failure estimator.
struct CallingServer
{
    void endRun(bool callFails, bool fails)
    {
        const AttemptKey key = run(++number);
        tracker.runStarted(key, clock.now() + 2s);
        clock.advance(100ms);
        if (callFails) {
            tracker.callFailed(clock.now() + 1s);
        }
        clock.advance(1ms);
        const bool explained = (fails || callFails) && tracker.explainsFailure(key);
        if (!explained) {
            estimator.recordEnd(fails ? RunEnd::Broken : RunEnd::Answered, 1, clock.now());
        }
        tracker.runEnded(key);
    }

    base::ManualClock clock;
    NestedCallTracker tracker{clock};
    GrayFailureEstimator estimator{clock.now()};
    std::uint64_t number = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(nestedCallTracker, ThreeRuns)

BOOST_AUTO_TEST_CASE(request_endingWithARun_mayBeItsCall)
{
    BOOST_TEST(tracker.mayBeNestedCall(start + 500ms));
    BOOST_TEST(tracker.mayBeNestedCall(start + 2102ms));
}

// Guards against calls of repeated runs that are not counted as repeats at the service that they call.
BOOST_AUTO_TEST_CASE(call_duringARepeatedRun_isOneOfARepeatWithItsShareOfTheRuns)
{
    BOOST_TEST(tracker.repeatShare(start + 500ms) == 0);
    tracker.runStarted(run(8), start + 600ms, RunKind::Once);
    tracker.runStarted(run(9), start + 600ms, RunKind::Repeat);
    BOOST_TEST(tracker.repeatShare(start + 500ms) == 0.25);
    BOOST_TEST(tracker.repeatShare(start + 650ms) == 0);
    BOOST_TEST(tracker.repeatShare(start + 10s) == 0);
    tracker.runEnded(run(9));
    BOOST_TEST(tracker.repeatShare(start + 500ms) == 0);
}

// Guards against regarding the failed request of a caller on the VM as the cause of a failed run.
BOOST_AUTO_TEST_CASE(request_outlastingAllRuns_isNoCall)
{
    BOOST_TEST(!tracker.mayBeNestedCall(start + 3s));
    tracker.callFailed(start + 3s);
    BOOST_TEST(!tracker.explainsFailure(run(3)));
}

BOOST_AUTO_TEST_CASE(request_afterAllRunsEnded_isNoCall)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        tracker.runEnded(run(number));
    }
    BOOST_TEST(!tracker.mayBeNestedCall(start + 500ms));
}

// Guards against holding a healthy server because nested calls of its runs were refused elsewhere.
BOOST_AUTO_TEST_CASE(failedCall_explainsTheEndOfOneRun)
{
    tracker.callFailed(start + 1400ms);
    clock.advance(1ms);
    BOOST_TEST(!tracker.explainsFailure(run(1)));
    BOOST_TEST(tracker.explainsFailure(run(2)));
    BOOST_TEST(!tracker.explainsFailure(run(3)));
}

// Guards against a gray failure that is never detected because some call failed before each failure of the server.
BOOST_AUTO_TEST_CASE(failedCall_longBeforeTheEndOfARun_doesNotExplainIt)
{
    tracker.callFailed(start + 700ms);
    clock.advance(100ms);
    BOOST_TEST(!tracker.explainsFailure(run(2)));
}

BOOST_AUTO_TEST_CASE(failedCall_beforeTheStartOfARun_doesNotExplainItsEnd)
{
    tracker.callFailed(start + 700ms);
    clock.advance(1ms);
    tracker.runStarted(run(4), start + 2s);
    BOOST_TEST(!tracker.explainsFailure(run(4)));
}

BOOST_AUTO_TEST_SUITE_END()

// The service that the runs call is overloaded, and half of the calls are refused. Guards against holding the calling
// server, and against missing a later gray failure of its own.
BOOST_FIXTURE_TEST_CASE(server_whoseCallsAreRefused_isHeldForFailuresOfItsOwn, CallingServer)
{
    for (int i = 0; i < 50; ++i) {
        endRun(i % 2 == 0, i % 2 == 0);
        BOOST_REQUIRE(!estimator.isHeld(clock.now()));
    }
    endRun(false, true);
    endRun(true, true);
    endRun(false, true);
    BOOST_TEST(estimator.isHeld(clock.now()));
}
