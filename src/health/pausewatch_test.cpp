#include "papayastep/health/pausewatch.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

// A VM is suspended for some seconds while its backend server goes on answering. When it wakes, all that was at work
// looks as if the server had hung; held back for that, the server refuses its callers for another second or two.
BOOST_AUTO_TEST_CASE(pause_betweenTwoLooks_isSeenForAllThatBeganBefore)
{
    base::ManualClock clock;
    PauseWatch watch(clock);
    clock.advance(500ms);
    watch.look();
    const base::TimePoint before = clock.now();
    clock.advance(3s);
    watch.look();
    BOOST_TEST(watch.stoodStillSince(before));
    BOOST_TEST(!watch.stoodStillSince(clock.now()));
    clock.advance(500ms);
    watch.look();
    BOOST_TEST(watch.stoodStillSince(before));
}

BOOST_AUTO_TEST_CASE(pause_whereLooksComeInTime_isNone)
{
    base::ManualClock clock;
    PauseWatch watch(clock);
    const base::TimePoint start = clock.now();
    for (int i = 0; i < 10; ++i) {
        clock.advance(900ms);
        watch.look();
    }
    BOOST_TEST(!watch.stoodStillSince(start));
}
