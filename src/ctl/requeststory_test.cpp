#include "requeststory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace papayastep::ctl;

namespace {

constexpr const char *entryLog
    = "2026-01-02T03:04:04.000000Z I config: Activated a configuration. revision=12\n"
      "2026-01-02T03:04:05.000100Z I routing: Placed an attempt. request=r7 hop=aa server=s1 reason=same-zone\n"
      "2026-01-02T03:04:05.000200Z I routing: Placed an attempt. request=other hop=bb server=s2\n"
      "2026-01-02T03:04:05.300000Z W routing: Refused a request. request=r7 code=3008 outcome=unknown\n";
constexpr const char *servingLog
    = "2026-01-02T03:04:03.500000Z I serving: Held back a backend server. server=s1 grayPercent=90\n"
      "2026-01-02T03:04:03.600000Z I serving: Held back a backend server. server=s9 grayPercent=90\n"
      "a line of another program\n"
      "2026-01-02T03:04:05.0001\n"
      "2026-01-02T03:04:05.100000Z I serving: Started an attempt. request=aa server=s1\n"
      "2026-01-02T03:04:05.250000Z W serving: Received no complete answer. request=r7 server=s1 code=4007\n";

struct StoryFixture
{
    void read(const char *text, const std::string &name)
    {
        std::istringstream log(text);
        story.read(log, name);
    }

    RequestStory story{"r7"};
};

}

BOOST_FIXTURE_TEST_SUITE(requestStory, StoryFixture)

BOOST_AUTO_TEST_CASE(logLine_ofANode_isSplitIntoItsFields)
{
    const auto line = parseLogLine(
        "34.0058 vm-3 2026-01-02T03:04:05.000100Z W routing: Refused a request. request=r7 reason=No slot is free.",
        "x");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->node == "vm-3");
    BOOST_TEST(line->severity == 'W');
    BOOST_TEST(line->sentence == "Refused a request.");
    BOOST_TEST(line->fields.at("request") == "r7");
    BOOST_TEST(line->fields.at("reason") == "No slot is free.");
}

// The logs of two nodes were collected separately. The result must be in order of time and contain the lines of both
// sides of the hop and the state of the server that the serving node had recorded when it accepted the request.
BOOST_AUTO_TEST_CASE(story_ofTwoNodes_isMergedInOrderOfTime)
{
    read(entryLog, "vm-1");
    read(servingLog, "vm-2");
    const auto lines = story.lines();
    std::vector<std::string> sentences;
    sentences.reserve(lines.size());
    for (const LogLine &line : lines) {
        sentences.push_back(line.node + ' ' + line.sentence);
    }
    const std::vector<std::string> expected{"vm-2 Held back a backend server.",
                                            "vm-1 Activated a configuration.",
                                            "vm-1 Placed an attempt.",
                                            "vm-2 Started an attempt.",
                                            "vm-2 Received no complete answer.",
                                            "vm-1 Refused a request."};
    BOOST_TEST(sentences == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(log_withTruncatedAndForeignLines_isStillRead)
{
    read(servingLog, "vm-2");
    BOOST_TEST(story.foreign() == 2U);
    BOOST_TEST(!story.lines().empty());
}

// The entry node of a request is killed while it waits for a server. No log line reports this; the node's log continues
// with its next start a moment later.
BOOST_AUTO_TEST_CASE(story_whoseEntryWasKilled_includesItsNextStart)
{
    read("2026-01-02T03:04:05.000100Z I routing: Placed an attempt. request=r7 hop=aa server=s1\n"
         "2026-01-02T03:04:07.200000Z I node: Started. vm=vm-1\n",
         "vm-1");
    read("2026-01-02T03:04:07.300000Z I node: Started. vm=vm-9\n", "vm-9");
    const auto lines = story.lines();
    BOOST_TEST(!story.hasEnd());
    BOOST_REQUIRE_EQUAL(lines.size(), 2U);
    BOOST_TEST(lines[1].node == "vm-1");
    BOOST_TEST(lines[1].sentence == "Started.");
}

// A caller could not connect. No log contains its request, so the trace must report which nodes were not running.
BOOST_AUTO_TEST_CASE(request_thatReachedNoNode_isExplainedByTheRestarts)
{
    read("2026-01-02T03:04:01.000000Z I node: Started. vm=vm-1\n"
         "2026-01-02T03:04:05.000000Z I node: Stopped. open=0\n"
         "2026-01-02T03:04:06.000000Z I node: Started. vm=vm-1\n",
         "vm-1");
    read("2026-01-02T03:04:01.000000Z I node: Started. vm=vm-2\n"
         "2026-01-02T03:04:03.000000Z I routing: Answered a request. request=other\n"
         "2026-01-02T03:04:04.500000Z I node: Started. vm=vm-2\n",
         "vm-2");
    BOOST_TEST(story.lines().empty());
    const std::vector<NodeStart> expected{{"vm-2", "2026-01-02T03:04:03.000000Z", "2026-01-02T03:04:04.500000Z", false},
                                          {"vm-1", "2026-01-02T03:04:05.000000Z", "2026-01-02T03:04:06.000000Z", true}};
    BOOST_TEST((story.starts() == expected));
}

// A request is refused because the nodes that hold its workspace's tokens do not answer. The line that lists these
// nodes names no request and comes from the component that applies the rate limits.
BOOST_AUTO_TEST_CASE(story_ofARefusalByRateLimit_hasTheStateOfTheHolders)
{
    read("2026-01-02T03:04:04.900000Z W limits: Passing over a node that holds workspaces' rates. vm=10.0.0.9\n"
         "2026-01-02T03:04:04.950000Z E log: Dropped lines. count=7\n"
         "2026-01-02T03:04:05.000000Z W routing: Refused a request. request=r7 tokensRefusedBy=nobody-answered\n",
         "vm-1");
    read("2026-01-02T03:04:04.900000Z W limits: Passing over a node that holds workspaces' rates. vm=10.0.0.9\n"
         "2026-01-02T03:04:04.990000Z I serving: Started an attempt. request=r7 server=s1\n",
         "vm-2");
    const auto lines = story.lines();
    BOOST_TEST(lines.size() == 4U);
    BOOST_TEST(std::none_of(
        lines.begin(), lines.end(), [](const LogLine &line) { return line.node == "vm-2" && line.part == "limits"; }));
}

BOOST_AUTO_TEST_CASE(story_ofAnAnsweredRequest_hasItsEnd)
{
    read(entryLog, "vm-1");
    BOOST_TEST(story.hasEnd());
}

// During an overload, most refusals are logged only in a summary line that contains many request ids.
BOOST_AUTO_TEST_CASE(request_namedInASummary_isFound)
{
    read("2026-01-02T03:04:06.000000Z W routing: Refused more requests. code=4005 count=3 requests=r6,r7,r8\n", "vm-1");
    BOOST_TEST(story.lines().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
