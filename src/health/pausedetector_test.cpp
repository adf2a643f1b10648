#include "papayastep/health/pausedetector.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

// A VM is suspended for some seconds while its backend server goes on answering. When it wakes, all that was at work
// looks as if the server had hung; held back for that, the server refuses its callers for another second or two.
BOOST_AUTO_TEST_CASE(pause_betweenTwoLooks_isSeenForAllThatBeganBefore)
{
    base::ManualClock clock;
    PauseDetector watch(clock);
    clock.advance(500ms);
    watch.check();
    const base::TimePoint before = clock.now();
    clock.advance(3s);
    watch.check();
    BOOST_TEST(watch.pausedSince(before));
    BOOST_TEST(!watch.pausedSince(clock.now()));
    clock.advance(500ms);
    watch.check();
    BOOST_TEST(watch.pausedSince(before));
}

BOOST_AUTO_TEST_CASE(pause_whereLooksComeInTime_isNone)
{
    base::ManualClock clock;
    PauseDetector watch(clock);
    const base::TimePoint start = clock.now();
    for (int i = 0; i < 10; ++i) {
        clock.advance(900ms);
        watch.check();
    }
    BOOST_TEST(!watch.pausedSince(start));
}
