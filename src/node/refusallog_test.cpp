#include "papayastep/node/refusallog.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace std::chrono_literals;

namespace {

struct RefusalLogFixture
{
    base::ManualClock clock;
    node::RefusalLog log{clock, {2, 1s, 3}};
};

}

BOOST_FIXTURE_TEST_SUITE(refusalLog, RefusalLogFixture)

// In an overload, hundreds of requests are refused per second. A log line for each of them would fill the log, and the
// lines of other failures would be dropped.
BOOST_AUTO_TEST_CASE(refusals_manyOfOneCode_areSummarised)
{
    int lines = 0;
    for (int i = 0; i < 100; ++i) {
        lines += log.record(base::ResultCode::HopQueueFull, "r" + std::to_string(i)) ? 1 : 0;
    }
    BOOST_TEST(lines == 2);
    BOOST_TEST(log.takeSummaries().empty());
    clock.advance(1s);
    const auto summaries = log.takeSummaries();
    BOOST_REQUIRE_EQUAL(summaries.size(), 1U);
    BOOST_TEST(summaries[0].count == 98U);
    BOOST_TEST(summaries[0].requests == "r2,r3,r4");
}

BOOST_AUTO_TEST_CASE(refusal_ofOtherCode_hasOwnLine)
{
    for (int i = 0; i < 100; ++i) {
        log.record(base::ResultCode::HopQueueFull, "full");
    }
    BOOST_TEST(log.record(base::ResultCode::KeyUnknown, "unknown"));
}

BOOST_AUTO_TEST_CASE(refusal_inNewPeriod_hasOwnLine)
{
    for (int i = 0; i < 5; ++i) {
        log.record(base::ResultCode::KeyUnknown, "a");
    }
    clock.advance(1s);
    log.takeSummaries();
    BOOST_TEST(log.record(base::ResultCode::KeyUnknown, "b"));
}

BOOST_AUTO_TEST_SUITE_END()
