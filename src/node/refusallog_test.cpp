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

// An overload refuses hundreds of requests a second. A line for each would fill the log with one sentence, and the line
// of another kind of failure would be dropped.
BOOST_AUTO_TEST_CASE(refusals_floodOfOneCode_becomeOneSummary)
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

BOOST_AUTO_TEST_CASE(refusal_ofAnotherCode_hasItsLine)
{
    for (int i = 0; i < 100; ++i) {
        log.record(base::ResultCode::HopQueueFull, "full");
    }
    BOOST_TEST(log.record(base::ResultCode::KeyUnknown, "unknown"));
}

BOOST_AUTO_TEST_CASE(refusal_inANewPeriod_hasItsLine)
{
    for (int i = 0; i < 5; ++i) {
        log.record(base::ResultCode::KeyUnknown, "a");
    }
    clock.advance(1s);
    log.takeSummaries();
    BOOST_TEST(log.record(base::ResultCode::KeyUnknown, "b"));
}

BOOST_AUTO_TEST_SUITE_END()
