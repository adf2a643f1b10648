#include "papayastep/health/runestimate.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

// A few answers of a server took twice as long as those of its siblings. It gets no more requests while others are
// free, so nothing can show that it is as quick as they are: callers then crowd at the others, though one stands idle.
BOOST_AUTO_TEST_CASE(latency_measuredLongAgo_driftsToWhatSiblingsTake)
{
    BOOST_TEST((decayedLatency(600ms, 300ms, 0ms) == 600ms));
    BOOST_TEST((decayedLatency(600ms, 300ms, 1s) < 450ms));
    BOOST_TEST((decayedLatency(600ms, 300ms, 5s) < 310ms));
    BOOST_TEST((decayedLatency(100ms, 300ms, 5s) > 290ms));
}

BOOST_AUTO_TEST_CASE(latency_withoutSiblingsOrAnswers_isWhatIsKnown)
{
    BOOST_TEST((decayedLatency(600ms, 0ms, 5s) == 600ms));
    BOOST_TEST((decayedLatency(0ms, 300ms, 0ms) == 300ms));
}

// A server has just joined, or the node beside it has restarted, and nobody knows its run times. Judged by a guess that
// is too short, its first ordinary runs look like hangs: it is held back, and its callers find the others full.
BOOST_AUTO_TEST_CASE(run_atANewServer_isJudgedByTheSiblings)
{
    BOOST_TEST((overdueAfter(50ms, 0, 270ms) == 810ms));
    BOOST_TEST((overdueAfter(50ms, 0, 0ms) == 600ms));
    BOOST_TEST((overdueAfter(100ms, 3, 270ms) == 810ms));
}

BOOST_AUTO_TEST_CASE(run_atAServerWithManyRuns_isJudgedByThem)
{
    BOOST_TEST((overdueAfter(100ms, 8, 270ms) == 300ms));
    BOOST_TEST((overdueAfter(10ms, 8, 270ms) == 200ms));
}
