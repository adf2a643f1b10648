#include "papayastep/base/error.h"
#include "papayastep/base/statechart.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep::base;

namespace {

struct DoorChart
{
    std::vector<std::string> states{"closed", "open", "gone"};
    std::vector<std::string> events{"push", "remove"};

    ResultCode codeOf(const std::string &json) const
    {
        try {
            StateChart::parse(json, states, events);
        } catch (const Error &error) {
            return error.code();
        }
        return ResultCode::Ok;
    }
};

const std::string goodChart = R"({"name":"door","initial":"closed","final":["gone"],"transitions":[
    {"from":"closed","event":"push","to":"open"},
    {"from":"open","event":"push","to":"closed"},
    {"from":"open","event":"remove","to":"gone"}],
    "ignored":[{"state":"closed","event":"remove"}]})";

}

BOOST_FIXTURE_TEST_CASE(chart_complete_runs, DoorChart)
{
    const auto chart = StateChart::parse(goodChart, states, events);
    BOOST_TEST(chart->next(0, 0) == 1);
    BOOST_TEST(chart->next(0, 1) == 0);
    BOOST_TEST(!chart->accepts(0, 1));
    BOOST_TEST(chart->isFinal(2));
}

// A chart names a state that the code does not have. Guards against a node that starts with such a chart and fails the
// first request that needs the state with an internal error.
BOOST_FIXTURE_TEST_CASE(chart_withUnknownState_isRefused, DoorChart)
{
    const auto code = codeOf(R"({"name":"d","initial":"ajar","final":[],"transitions":[]})");
    BOOST_TEST((code == ResultCode::StateChartInvalid));
}

// Guards against a missing transition, which leaves a state unreachable.
BOOST_FIXTURE_TEST_CASE(chart_withUnreachableState_isRefused, DoorChart)
{
    const auto code = codeOf(R"({"name":"d","initial":"closed","final":["gone"],"transitions":[
        {"from":"closed","event":"push","to":"open"},{"from":"open","event":"push","to":"closed"}]})");
    BOOST_TEST((code == ResultCode::StateChartInvalid));
}

// An event occurs in a state that does not define it. The error must reach the caller of the chart.
BOOST_FIXTURE_TEST_CASE(chart_withoutTransitionForEvent_throws, DoorChart)
{
    const auto chart = StateChart::parse(goodChart, states, events);
    BOOST_CHECK_THROW(chart->next(2, 0), Error);
}
