#include "papayastep/limits/runtimes.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace papayastep;
using namespace papayastep::limits;
using namespace std::chrono_literals;

namespace {

struct TwoRoutes
{
    void note(const base::RouteId &route, base::Duration run, int count)
    {
        for (int i = 0; i < count; ++i) {
            runTimes.record(route, run);
        }
    }

    RunTimes runTimes{50ms};
    base::RouteId history{"history"};
    base::RouteId yard{"yard"};
};

}

BOOST_FIXTURE_TEST_SUITE(runTimesSuite, TwoRoutes)

BOOST_AUTO_TEST_CASE(runTimes_beforeTheFirstRun_areTheInitialEstimate)
{
    BOOST_TEST((runTimes.mean() == 50ms));
    BOOST_TEST((runTimes.mean(history) == 50ms));
    BOOST_TEST(runTimes.runs() == 0U);
}

BOOST_AUTO_TEST_CASE(runTimes_ofDifferentRoutes_areSeparate)
{
    note(history, 1300ms, 30);
    note(yard, 130ms, 30);
    BOOST_TEST((runTimes.mean(history) > 1200ms));
    BOOST_TEST((runTimes.mean(yard) < 200ms));
    BOOST_TEST(runTimes.runs(yard) == 30U);
    BOOST_TEST(runTimes.runs() == 60U);
}

// Guards against one unusual run that alone determines the estimate of a route.
BOOST_AUTO_TEST_CASE(runTimes_ofARouteWithOneRun_areWeightedTowardsTheMean)
{
    note(history, 1000ms, 10);
    note(yard, 100ms, 1);
    BOOST_TEST((runTimes.mean(yard) > 400ms));
    BOOST_TEST((runTimes.mean(yard) < 600ms));
}

// Guards against memory use that grows with each route that a configuration has ever contained.
BOOST_AUTO_TEST_CASE(runTimes_ofManyRoutes_dropOldRoutes)
{
    for (int i = 0; i < 1000; ++i) {
        note(base::RouteId("route-" + std::to_string(i)), 100ms, 1);
    }
    BOOST_TEST(runTimes.runs(base::RouteId("route-0")) == 0U);
    BOOST_TEST(runTimes.runs(base::RouteId("route-999")) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
