#include "papayastep/health/grayfailureestimator.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

namespace {

struct EstimatorFixture
{
    base::ManualClock clock;
    GrayFailureEstimator estimator{clock.now()};

    void answer(bool failed, base::Duration later = 200ms)
    {
        clock.advance(later);
        estimator.recordEnd(failed ? RunEnd::Broken : RunEnd::Answered, 1, clock.now());
    }
    bool admitsTrialRequest() const
    {
        return estimator.isHeld(clock.now()) && estimator.admits(true, false, clock.now());
    }
    bool admitsAll() const
    {
        return estimator.admits(false, false, clock.now());
    }
};

}

// A healthy server begins to fail most of its requests. Guards against further requests to it after the first failure,
// as each refund that is sent there is lost.
BOOST_FIXTURE_TEST_CASE(estimator_atTheFirstFailure_holds, EstimatorFixture)
{
    for (int i = 0; i < 10; ++i) {
        answer(false);
    }
    BOOST_TEST(!estimator.isHeld(clock.now()));
    answer(true);
    BOOST_TEST(estimator.isHeld(clock.now()));
}

// A gray failure ends after some seconds, while no request is sent that could detect the end. Guards against holding
// the server without a limit.
BOOST_FIXTURE_TEST_CASE(estimator_withoutEvidence_admitsATrialWithinTwoSeconds, EstimatorFixture)
{
    for (int i = 0; i < 5; ++i) {
        answer(true);
    }
    BOOST_TEST(estimator.isHeld(clock.now()));
    clock.advance(1500ms);
    BOOST_TEST(admitsTrialRequest());
    BOOST_TEST(!estimator.admits(true, true, clock.now()));
    answer(false, 300ms);
    BOOST_TEST(!estimator.isHeld(clock.now()));
    BOOST_TEST(admitsAll());
}

// The trial request fails, too. Guards against further requests to the server.
BOOST_FIXTURE_TEST_CASE(estimator_afterAFailedTrial_holdsAgain, EstimatorFixture)
{
    answer(true);
    answer(true);
    clock.advance(1500ms);
    answer(true, 1ms);
    BOOST_TEST(estimator.isHeld(clock.now()));
}

// Two requests at a server run for three times the usual time and more, which is rare at a healthy server. Guards
// against waiting for their ends.
BOOST_FIXTURE_TEST_CASE(estimator_withTwoOverdueRequests_holds, EstimatorFixture)
{
    answer(false);
    estimator.recordOverdue(clock.now());
    estimator.recordOverdue(clock.now());
    BOOST_TEST(estimator.isHeld(clock.now()));
}

BOOST_FIXTURE_TEST_CASE(estimator_atOrdinaryFailureShare_mostlyAdmitsWork, EstimatorFixture)
{
    int held = 0;
    for (int i = 0; i < 2000; ++i) {
        answer(i % 80 == 0);
        held += estimator.isHeld(clock.now()) ? 1 : 0;
    }
    BOOST_TEST(held < 200);
}

// A healthy server answers some requests with an error. Guards against holding it for one error under high load; two
// consecutive errors are improbable at a healthy server.
BOOST_FIXTURE_TEST_CASE(estimator_atOneError_admitsWorkUntilTheNext, EstimatorFixture)
{
    for (int i = 0; i < 10; ++i) {
        answer(false);
    }
    estimator.recordEnd(RunEnd::Error, 1, clock.now());
    BOOST_TEST(admitsAll());
    clock.advance(100ms);
    estimator.recordEnd(RunEnd::Error, 1, clock.now());
    BOOST_TEST(estimator.isHeld(clock.now()));
}

// A gray failure lasts nine seconds, while a booking is sent whenever one is admitted and a lookup every second. Guards
// against losing a booking every two seconds because the hold ended by time alone.
BOOST_FIXTURE_TEST_CASE(estimator_inALongGrayFailure_admitsTrialRequestsOnly, EstimatorFixture)
{
    for (int i = 0; i < 10; ++i) {
        answer(false);
    }
    int lostBookings = 0;
    int trialRequests = 0;
    for (int step = 0; step < 90; ++step) {
        clock.advance(100ms);
        if (admitsAll()) {
            ++lostBookings;
            estimator.recordEnd(RunEnd::Broken, 1, clock.now());
        } else if (estimator.admits(true, false, clock.now())) {
            ++trialRequests;
            estimator.recordEnd(RunEnd::Broken, 1, clock.now());
        }
    }
    BOOST_TEST(lostBookings == 1);
    BOOST_TEST(trialRequests >= 5);
    BOOST_TEST(trialRequests <= 9);
    for (int answers = 0; answers < 2; ++answers) {
        clock.advance(1s);
        BOOST_TEST(estimator.admits(true, false, clock.now()));
        estimator.recordEnd(RunEnd::Answered, 1, clock.now());
    }
    BOOST_TEST(admitsAll());
}

// Guards against further refunds to a server that fails at once, whereas one ordinary error says little.
BOOST_FIXTURE_TEST_CASE(estimator_atOneImmediateError_holds, EstimatorFixture)
{
    for (int i = 0; i < 10; ++i) {
        answer(false);
    }
    estimator.recordEnd(RunEnd::Error, 0.01, clock.now());
    BOOST_TEST(estimator.isHeld(clock.now()));
}

// Guards against holding a healthy server because a request left it less than twice the usual run time.
BOOST_FIXTURE_TEST_CASE(estimator_atTimeoutsOfShortDeadlines_admitsWork, EstimatorFixture)
{
    answer(false);
    for (int i = 0; i < 3; ++i) {
        clock.advance(200ms);
        estimator.recordEnd(RunEnd::TimedOut, 1.2, clock.now());
        answer(false);
    }
    BOOST_TEST(admitsAll());
}
