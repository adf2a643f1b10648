#include "papayastep/limits/callorder.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep::limits;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(callOrder, CallOrder)

// Guards against lookups that fail by the dozen because their short calls wait behind long bookings.
BOOST_AUTO_TEST_CASE(call_muchShorterThanMoreUrgentRequests_goesBeforeThem)
{
    recordRun(1, 510ms);
    BOOST_TEST(goesBefore(2, 130ms) == 1);
}

// Guards against urgent requests that are displaced by a great many calls of less urgent runs.
BOOST_AUTO_TEST_CASE(call_ofLessValuePerSecondOfASlot_goesBehindMoreUrgentRequests)
{
    recordRun(0, 94ms);
    BOOST_TEST(goesBefore(2, 33ms) == 2);
}

BOOST_AUTO_TEST_CASE(call_withPriorityInBetween_goesBeforeNoPriorityBeyondAMoreValuableOne)
{
    recordRun(0, 2s);
    recordRun(1, 50ms);
    BOOST_TEST(goesBefore(2, 100ms) == 2);
}

BOOST_AUTO_TEST_CASE(call_withoutRunsOfMoreUrgentRequests_goesBeforeItsOwnPriorityOnly)
{
    BOOST_TEST(goesBefore(2, 1ms) == 2);
    BOOST_TEST(goesBefore(100, 1ms) == priorities - 1);
}

BOOST_AUTO_TEST_CASE(meanRun_afterRunsThatBecameLonger_followsThem)
{
    recordRun(1, 50ms);
    for (int run = 0; run < 300; ++run) {
        recordRun(1, 800ms);
    }
    BOOST_TEST(goesBefore(2, 130ms) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
