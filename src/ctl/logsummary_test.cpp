#include "logsummary.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace papayastep::ctl;

namespace {

constexpr const char *entryLog
    = "2026-01-02T03:04:04.000000Z I config: Activated a configuration. revision=12 source=platform\n"
      "2026-01-02T03:04:05.000100Z I routing: Placed an attempt. request=r7 reason=survey asked=2 server=s1\n"
      "2026-01-02T03:04:05.200000Z I routing: Decided after an attempt. request=r7 attempt=1 event=server-error code=0 "
      "action=answer-caller reason=No attempt is left.\n"
      "2026-01-02T03:04:05.300000Z I routing: Answered a request. request=r7 status=500 server=s1\n"
      "2026-01-02T03:04:05.300000Z W routing: Refused a request. request=r8 code=4005 outcome=not-run\n"
      "a line of another program\n";
constexpr const char *servingLog
    = "2026-01-02T03:04:04.800000Z I config: Activated a configuration. revision=12 source=peer\n"
      "2026-01-02T03:04:05.000200Z I serving: Started an attempt. request=r7 waitedMs=40\n"
      "2026-01-02T03:04:05.100200Z I serving: Started an attempt. request=r9 waitedMs=1\n"
      "2026-01-02T03:04:05.200000Z I serving: A backend server failed. request=r7 server=s1 how=error\n"
      "2026-01-02T03:04:05.200000Z I serving: Held back a backend server. server=s1 evidence=failed\n"
      "2026-01-02T03:04:05.300000Z I serving: Refused an attempt. request=r8 code=4005 running=5\n";

struct SummaryFixture
{
    SummaryFixture()
    {
        read(entryLog, "vm-1");
        read(servingLog, "vm-2");
    }
    void read(const char *text, const std::string &name)
    {
        std::istringstream log(text);
        logs.read(log, name);
    }

    LogSummary logs;
};

}

BOOST_FIXTURE_TEST_SUITE(logSummary, SummaryFixture)

BOOST_AUTO_TEST_CASE(logs_ofTwoNodes_areCounted)
{
    BOOST_TEST(logs.nodes() == 2U);
    BOOST_TEST(logs.foreign() == 1U);
    BOOST_TEST(logs.ends().at("status 500") == 1U);
    BOOST_TEST(logs.ends().at("code 4005, not-run") == 1U);
    BOOST_TEST(logs.placements().at("2 asked, survey") == 1U);
    BOOST_TEST(logs.decisions().at("server-error, answer-caller: No attempt is left.") == 1U);
    BOOST_TEST(logs.refusedAttempts().at("code 4005") == 1U);
    BOOST_TEST(logs.failures().at("error") == 1U);
    BOOST_TEST(logs.holds().at("failed") == 1U);
}

BOOST_AUTO_TEST_CASE(waits_ofTwoAttempts_haveQuantiles)
{
    BOOST_TEST(logs.waitQuantile(0.5) == 1U);
    BOOST_TEST(logs.waitQuantile(0.99) == 40U);
    BOOST_TEST(LogSummary().waitQuantile(0.5) == 0U);
}

// Guards against a slow spread of a configuration that no single log shows.
BOOST_AUTO_TEST_CASE(revision_onTwoNodes_hasItsFirstAndLastActivation)
{
    const RevisionSpread &spread = logs.revisions().at(12);
    BOOST_TEST(spread.nodes.size() == 2U);
    BOOST_TEST(spread.firstAt == "2026-01-02T03:04:04.000000Z");
    BOOST_TEST(spread.lastAt == "2026-01-02T03:04:04.800000Z");
}

BOOST_AUTO_TEST_SUITE_END()
