#include "testfleet.h"

#include "papayastep/base/log.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using papayastep::membership::testing::TestFleet;
using namespace std::chrono_literals;

namespace {

/// One availability zone of 40 nodes, so that a tree of fan-out 3 has inner nodes that must forward.
struct ZoneFixture
{
    TestFleet fleet{40, 1, 23};

    ZoneFixture()
    {
        FLAGS_minloglevel = google::GLOG_FATAL;
        fleet.publishRate(1);
        fleet.run(10s);
    }
};

}

// A key is withdrawn. Nodes that learn of the revision only from notices need several rounds of requests; the tree must
// deliver it to the whole zone in the time of its few levels, each of which takes one step of the test's clock.
BOOST_FIXTURE_TEST_CASE(tree_ofOneZone_deliversAChangeToAllInTheTimeOfItsLevels, ZoneFixture)
{
    BOOST_REQUIRE(fleet.nodesAt(1) == 40);
    fleet.publishRate(2);
    fleet.run(140ms);
    BOOST_TEST(fleet.nodesAt(2) == 40);
}

// Every third node is down, so the tree has lost branches. The other nodes must receive the change nevertheless.
BOOST_FIXTURE_TEST_CASE(tree_withDeadNodes_isRepairedByNotices, ZoneFixture)
{
    for (std::size_t node = 0; node < 40; node += 3) {
        fleet.paused[node] = true;
    }
    fleet.publishRate(2);
    fleet.run(10s);
    BOOST_TEST(fleet.nodesAt(2) == 26);
    fleet.paused.assign(40, false);
    fleet.run(10s);
    BOOST_TEST(fleet.nodesAt(2) == 40);
}
