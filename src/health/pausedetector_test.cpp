#include "papayastep/health/pausedetector.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

// A VM is suspended for some seconds while its backend server continues to answer. After the pause all requests in
// flight look as if the server had hung. Guards against holding the server for that, so that it refuses its callers for
// another second or two.
BOOST_AUTO_TEST_CASE(pause_betweenTwoChecks_isDetectedForAllThatBeganBefore)
{
    base::ManualClock clock;
    PauseDetector detector(clock);
    clock.advance(500ms);
    detector.check();
    const base::TimePoint before = clock.now();
    clock.advance(3s);
    detector.check();
    BOOST_TEST(detector.pausedSince(before));
    BOOST_TEST(!detector.pausedSince(clock.now()));
    clock.advance(500ms);
    detector.check();
    BOOST_TEST(detector.pausedSince(before));
}

BOOST_AUTO_TEST_CASE(pause_withFrequentChecks_isNotDetected)
{
    base::ManualClock clock;
    PauseDetector detector(clock);
    const base::TimePoint start = clock.now();
    for (int i = 0; i < 10; ++i) {
        clock.advance(900ms);
        detector.check();
    }
    BOOST_TEST(!detector.pausedSince(start));
}
