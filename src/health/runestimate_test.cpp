#include "papayastep/health/runestimate.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

// A few answers of a server took twice as long as those of its siblings. It gets no more requests while others are
// free, so there are no new samples. Guards against overloading the others while the server is idle.
BOOST_AUTO_TEST_CASE(latency_measuredLongAgo_decaysToThatOfSiblings)
{
    BOOST_TEST((decayedLatency(600ms, 300ms, 0ms) == 600ms));
    BOOST_TEST((decayedLatency(600ms, 300ms, 1s) < 450ms));
    BOOST_TEST((decayedLatency(600ms, 300ms, 5s) < 310ms));
    BOOST_TEST((decayedLatency(100ms, 300ms, 5s) > 290ms));
}

BOOST_AUTO_TEST_CASE(latency_withoutSiblingsOrAnswers_isTheKnownOne)
{
    BOOST_TEST((decayedLatency(600ms, 0ms, 5s) == 600ms));
    BOOST_TEST((decayedLatency(0ms, 300ms, 0ms) == 300ms));
}

// A server has just joined, or the node beside it has restarted, and its run times are not known. Guards against an
// assumed run time that is too short: its first ordinary runs would look like hangs, the server would be held, and the
// others would be overloaded.
BOOST_AUTO_TEST_CASE(run_atANewServer_isComparedWithTheSiblings)
{
    BOOST_TEST((overdueAfter(50ms, 0, 270ms) == 810ms));
    BOOST_TEST((overdueAfter(50ms, 0, 0ms) == 600ms));
    BOOST_TEST((overdueAfter(100ms, 3, 270ms) == 810ms));
}

BOOST_AUTO_TEST_CASE(run_atAServerWithManyRuns_isComparedWithThem)
{
    BOOST_TEST((overdueAfter(100ms, 8, 270ms) == 300ms));
    BOOST_TEST((overdueAfter(10ms, 8, 270ms) == 200ms));
}
