#include "fleetmodel.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::model;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t lookups = 0;
constexpr std::size_t refunds = 1;
constexpr std::uint64_t seeds[] = {21, 22, 23};

/// 22 VMs in four availability zones: a service with lookups and refunds, of whose 14 servers some name a limit or
/// announce their end after four seconds.
struct SmallFleet
{
    SmallFleet()
    {
        shape.zones = 4;
        shape.services = {{14, 5}, {8, 5}};
        TrafficClass lookup;
        lookup.perSecond = 27;
        lookup.idempotent = true;
        lookup.priority = 2;
        lookup.meanRun = 310ms;
        lookup.target = 1200ms;
        lookup.deadline = 4s;
        lookup.call = 2;
        lookup.callShare = 0.5;
        TrafficClass refund;
        refund.perSecond = 57;
        refund.priority = 1;
        refund.meanRun = 410ms;
        refund.target = 1200ms;
        refund.deadline = 4s;
        TrafficClass price;
        price.service = 1;
        price.idempotent = true;
        price.meanRun = 77ms;
        price.target = 300ms;
        price.deadline = 800ms;
        shape.classes = {lookup, refund, price};
        shape.errorShare = 0.02;
        shape.retryLimit = {0.2, 56, 10s};
    }

    FleetResult play(std::uint64_t seed) const
    {
        FleetModel model(shape, seed);
        FleetResult result = model.run(16s);
        BOOST_TEST_MESSAGE("seed " << seed << " lookups served " << result.classes[lookups].served()
                                   << " refunds served " << result.classes[refunds].served() << " limit used "
                                   << result.namedLimitUsed << " requests after the announced end "
                                   << result.requestsAfterAnnouncedEnd);
        return result;
    }

    void checkLimits() const
    {
        for (const std::uint64_t seed : seeds) {
            const FleetResult result = play(seed);
            BOOST_TEST(result.namedLimitUsed > 0);
            BOOST_TEST(result.namedLimitUsed <= 1);
            BOOST_TEST(result.classes[lookups].served() >= 0.95);
            BOOST_TEST(result.classes[refunds].served() >= 0.95);
        }
    }

    FleetShape shape;
};

}

BOOST_FIXTURE_TEST_SUITE(announcements, SmallFleet)

// Guards against a server that gets as many requests as it has free slots although it named a limit.
BOOST_AUTO_TEST_CASE(requests_atServersThatNamedALimit_stayWithinIt)
{
    shape.namedLimits = NamedLimits{0, 0.3, 1, 4s, 30s};
    checkLimits();
    shape.namedLimits->requestsPerSecond = 3.4;
    checkLimits();
}

// Guards against a limit that is forgotten when the node beside the server is restarted.
BOOST_AUTO_TEST_CASE(requests_atLimitedServersWhoseNodeIsRestarted_stayWithinTheLimit)
{
    shape.services[0] = {6, 20};
    shape.namedLimits = NamedLimits{0, 0.5, 0.5, 4s, 30s};
    shape.nodeRestart = 9s;
    checkLimits();
}

// Guards against a server that gets requests until the directory reports its end, which it announced long before.
BOOST_AUTO_TEST_CASE(requests_toServersThatAnnouncedTheirEnd_goElsewhere)
{
    shape.announcedEnds = AnnouncedEnds{0, 0.3, 4s};
    for (const std::uint64_t seed : seeds) {
        const FleetResult result = play(seed);
        BOOST_TEST(result.requestsAfterAnnouncedEnd == 0U);
        BOOST_TEST(result.classes[refunds].served() >= 0.95);
    }
}

// Guards against an announced end that is forgotten when the node beside the server is restarted.
BOOST_AUTO_TEST_CASE(requests_toLeavingServersWhoseNodeIsRestarted_goElsewhere)
{
    shape.announcedEnds = AnnouncedEnds{0, 0.3, 4s};
    shape.nodeRestart = 9s;
    for (const std::uint64_t seed : seeds) {
        const FleetResult result = play(seed);
        BOOST_TEST(result.requestsAfterAnnouncedEnd == 0U);
        BOOST_TEST(result.classes[refunds].served() >= 0.95);
    }
}

BOOST_AUTO_TEST_SUITE_END()
