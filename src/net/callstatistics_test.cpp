#include "papayastep/net/callstatistics.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(callStatistics_withCallsOfTwoKinds_countsThemSeparately)
{
    net::CallStatistics statistics;
    statistics.record("list", base::ResultCode::Ok, 4ms);
    statistics.record("watch", base::ResultCode::Ok, 600ms);
    statistics.record("watch", base::ResultCode::Ok, 500ms);
    statistics.record("watch", base::ResultCode::PlatformUnreachable, 1s);

    BOOST_TEST(statistics.totals().size() == 3U);
    BOOST_TEST((statistics.totals().at({"watch", "ok"}) == net::CallTotal{2, 1100ms}));
    BOOST_TEST((statistics.totals().at({"watch", "6001"}) == net::CallTotal{1, 1s}));
}
