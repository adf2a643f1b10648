#include "papayastep/routing/leastcostplacement.h"
#include "papayastep/routing/transfercost.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct LargeAnswers
{
    LargeAnswers()
    {
        for (int answer = 0; answer < 100; ++answer) {
            transfer.record(download, 0, 90'000);
            transfer.record(lookup, 0, 400);
        }
        near.server = base::BackendServerId("near");
        near.zone = base::ZoneId("a");
        near.quotedTime = 700ms;
        far.server = base::BackendServerId("far");
        far.zone = base::ZoneId("b");
        far.quotedTime = 300ms;
    }
    double cost(const Candidate &candidate, const base::RouteId &route, base::Duration target) const
    {
        PlacementRequest request;
        request.zone = base::ZoneId("a");
        request.remainingTarget = target;
        request.remaining = 10s;
        request.zoneCost = transfer.zoneCost(route);
        return policy.cost(candidate, request);
    }

    const base::RouteId download{"download"};
    const base::RouteId lookup{"lookup"};
    TransferCost transfer{ZoneTransferSettings()};
    LeastCostPlacement policy{base::VmId("entry")};
    Candidate near;
    Candidate far;
};

}

BOOST_FIXTURE_TEST_SUITE(transferCost, LargeAnswers)

// Guards against large answers that cross zones for a wait that their callers do not notice.
BOOST_AUTO_TEST_CASE(request_withALargeAnswer_staysInItsZoneWhileItIsInTime)
{
    BOOST_TEST(cost(near, download, 3s) < cost(far, download, 3s));
}

// Guards against callers who wait beyond their target only to save bytes.
BOOST_AUTO_TEST_CASE(request_withALargeAnswer_leavesItsZoneRatherThanBeLate)
{
    near.quotedTime = 4s;
    BOOST_TEST(cost(far, download, 2s) < cost(near, download, 2s));
}

BOOST_AUTO_TEST_CASE(zoneCost_ofSmallOrUnknownMessages_isTheDefaultOne)
{
    BOOST_TEST(!transfer.zoneCost(lookup).has_value());
    BOOST_TEST(!transfer.zoneCost(base::RouteId("other")).has_value());
    BOOST_TEST(transfer.zoneCost(download).value() == 0.5);
}

BOOST_AUTO_TEST_CASE(zoneCost_ofLargeMessagesWithALowPrice_isNotBelowTheDefaultOne)
{
    TransferCost cheap{ZoneTransferSettings{0.0001, 0.01}};
    cheap.record(download, 0, 90'000);
    BOOST_TEST(cheap.zoneCost(download).value() == LeastCostSettings().zoneCost);
}

BOOST_AUTO_TEST_CASE(zoneCost_withoutSettings_isTheDefaultOne)
{
    TransferCost unused;
    unused.record(download, 0, 90'000);
    BOOST_TEST(!unused.zoneCost(download).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
