#include "papayastep/health/grayfailureestimator.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

namespace {

struct FilterFixture
{
    base::ManualClock clock;
    GrayFailureEstimator filter{clock.now()};

    void answer(bool failed, base::Duration later = 200ms)
    {
        clock.advance(later);
        filter.recordEnd(failed ? RunEnd::Broken : RunEnd::Answered, clock.now());
    }
    bool admitsScout() const
    {
        return filter.isHeld(clock.now()) && filter.admits(true, false, clock.now());
    }
    bool admitsAll() const
    {
        return filter.admits(false, false, clock.now());
    }
};

}

// A server that answered well begins to fail most of its requests. Each refund that is sent there meanwhile is lost, so
// the first failure must be enough.
BOOST_FIXTURE_TEST_CASE(filter_atTheFirstFailure_holds, FilterFixture)
{
    for (int i = 0; i < 10; ++i) {
        answer(false);
    }
    BOOST_TEST(!filter.isHeld(clock.now()));
    answer(true);
    BOOST_TEST(filter.isHeld(clock.now()));
}

// The spell is over after some seconds, and nothing is sent that could show it. A hold without an end would take the
// server out of use for good.
BOOST_FIXTURE_TEST_CASE(filter_withoutNews_comesToATrialWithinTwoSeconds, FilterFixture)
{
    for (int i = 0; i < 5; ++i) {
        answer(true);
    }
    BOOST_TEST(filter.isHeld(clock.now()));
    clock.advance(1500ms);
    BOOST_TEST(admitsScout());
    BOOST_TEST(!filter.admits(true, true, clock.now()));
    answer(false, 300ms);
    BOOST_TEST(!filter.isHeld(clock.now()));
    BOOST_TEST(admitsAll());
}

// The trial request fails as well: the server must not get more.
BOOST_FIXTURE_TEST_CASE(filter_afterAFailedTrial_holdsAgain, FilterFixture)
{
    answer(true);
    answer(true);
    clock.advance(1500ms);
    answer(true, 1ms);
    BOOST_TEST(filter.isHeld(clock.now()));
}

// Requests that run for three times the usual and more are rare at a well server; two of them are hardly an accident.
BOOST_FIXTURE_TEST_CASE(filter_withTwoOverdueRequests_holds, FilterFixture)
{
    answer(false);
    filter.recordOverdue(clock.now());
    filter.recordOverdue(clock.now());
    BOOST_TEST(filter.isHeld(clock.now()));
}

BOOST_FIXTURE_TEST_CASE(filter_atOrdinaryFailureShare_mostlyLetsWorkThrough, FilterFixture)
{
    int held = 0;
    for (int i = 0; i < 2000; ++i) {
        answer(i % 80 == 0);
        held += filter.isHeld(clock.now()) ? 1 : 0;
    }
    BOOST_TEST(held < 200);
}

// Some errors are the ordinary answers of a well server. Guards against taking it out of use for one of them when it is
// needed most; two in a row are hardly an accident.
BOOST_FIXTURE_TEST_CASE(filter_atOneError_letsWorkThroughUntilTheNext, FilterFixture)
{
    for (int i = 0; i < 10; ++i) {
        answer(false);
    }
    filter.recordEnd(RunEnd::Error, clock.now());
    BOOST_TEST(admitsAll());
    clock.advance(100ms);
    filter.recordEnd(RunEnd::Error, clock.now());
    BOOST_TEST(filter.isHeld(clock.now()));
}

// A spell of nine seconds, met by a booking whenever one is let through and by a lookup a second. Guards against losing
// a booking every two seconds because time alone ended the hold.
BOOST_FIXTURE_TEST_CASE(filter_inALongSpell_isProbedByScoutsOnly, FilterFixture)
{
    for (int i = 0; i < 10; ++i) {
        answer(false);
    }
    int lostBookings = 0;
    int scouts = 0;
    for (int step = 0; step < 90; ++step) {
        clock.advance(100ms);
        if (admitsAll()) {
            ++lostBookings;
            filter.recordEnd(RunEnd::Broken, clock.now());
        } else if (filter.admits(true, false, clock.now())) {
            ++scouts;
            filter.recordEnd(RunEnd::Broken, clock.now());
        }
    }
    BOOST_TEST(lostBookings == 1);
    BOOST_TEST(scouts >= 5);
    BOOST_TEST(scouts <= 9);
    for (int answers = 0; answers < 2; ++answers) {
        clock.advance(1s);
        BOOST_TEST(filter.admits(true, false, clock.now()));
        filter.recordEnd(RunEnd::Answered, clock.now());
    }
    BOOST_TEST(admitsAll());
}
