#include "requeststory.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace papayastep::ctl;

namespace {

constexpr const char *entryLog
    = "2026-01-02T03:04:04.000000Z I config: Put a configuration in force. revision=12\n"
      "2026-01-02T03:04:05.000100Z I routing: Placed an attempt. request=r7 hop=aa server=s1 reason=same-zone\n"
      "2026-01-02T03:04:05.000200Z I routing: Placed an attempt. request=other hop=bb server=s2\n"
      "2026-01-02T03:04:05.300000Z W routing: Refused a request. request=r7 code=3008 outcome=unknown\n";
constexpr const char *servingLog
    = "2026-01-02T03:04:03.500000Z I serving: Holds a backend server back. server=s1 grayPercent=90\n"
      "2026-01-02T03:04:03.600000Z I serving: Holds a backend server back. server=s9 grayPercent=90\n"
      "a line of another program\n"
      "2026-01-02T03:04:05.0001\n"
      "2026-01-02T03:04:05.100000Z I serving: Started an attempt. request=aa server=s1\n"
      "2026-01-02T03:04:05.250000Z W serving: Got no whole answer. request=r7 server=s1 code=4007\n";

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

BOOST_AUTO_TEST_CASE(logLine_ofANode_isTakenApart)
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

// An engineer has the logs of two nodes whose lines were collected apart. The story must be in order of time, hold the
// lines of both sides of the hop, and what the serving node thought of the server when it took the request.
BOOST_AUTO_TEST_CASE(story_ofTwoNodes_isOneInOrderOfTime)
{
    read(entryLog, "vm-1");
    read(servingLog, "vm-2");
    const auto lines = story.lines();
    std::vector<std::string> sentences;
    sentences.reserve(lines.size());
    for (const LogLine &line : lines) {
        sentences.push_back(line.node + ' ' + line.sentence);
    }
    const std::vector<std::string> expected{"vm-2 Holds a backend server back.",
                                            "vm-1 Put a configuration in force.",
                                            "vm-1 Placed an attempt.",
                                            "vm-2 Started an attempt.",
                                            "vm-2 Got no whole answer.",
                                            "vm-1 Refused a request."};
    BOOST_TEST(sentences == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(log_withCutAndForeignLines_isReadAllTheSame)
{
    read(servingLog, "vm-2");
    BOOST_TEST(story.foreign() == 2U);
    BOOST_TEST(!story.lines().empty());
}

// In an overload most refusals stand in a summary only, with many ids in one line.
BOOST_AUTO_TEST_CASE(request_namedInASummary_isFound)
{
    read("2026-01-02T03:04:06.000000Z W routing: Refused more requests. code=4005 count=3 requests=r6,r7,r8\n", "vm-1");
    BOOST_TEST(story.lines().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
