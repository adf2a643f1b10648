#include "papayastep/routing/announcementtable.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct Entry
{
    base::ManualClock clock;
    AnnouncementTable table{clock};
    const base::BackendServerId server{"s"};
};

}

BOOST_FIXTURE_TEST_SUITE(announcementTable, Entry)

BOOST_AUTO_TEST_CASE(limit_ofTheStartThatNamedIt_isRemembered)
{
    table.record(server, {7, 3.4, false});
    BOOST_TEST(table.requestsPerSecond(server, 7).value() == 3.4);
    BOOST_TEST(!table.requestsPerSecond(server, 8).has_value());
    table.record(server, {7, std::nullopt, false});
    BOOST_TEST(!table.requestsPerSecond(server, 7).has_value());
}

BOOST_AUTO_TEST_CASE(limit_withoutNews_isForgottenAfterAMinute)
{
    table.record(server, {7, 3.4, false});
    clock.advance(59s);
    table.expire();
    BOOST_TEST(table.requestsPerSecond(server, 7).has_value());
    clock.advance(1s);
    BOOST_TEST(!table.requestsPerSecond(server, 7).has_value());
}

// Guards against requests to a leaving server, because a later answer or a lack of answers seems to take its end back.
BOOST_AUTO_TEST_CASE(announcedEnd_withoutItsRepetition_stays)
{
    table.record(server, {7, std::nullopt, true});
    clock.advance(5min);
    table.record(server, {7, 2, false});
    table.expire();
    BOOST_TEST(table.isLeaving(server, 7));
    clock.advance(4min);
    table.expire();
    BOOST_TEST(table.isLeaving(server, 7));
}

// Guards against a new start of a server that gets nothing because the earlier one announced its end.
BOOST_AUTO_TEST_CASE(announcedEnd_ofAnEarlierStart_doesNotApply)
{
    table.record(server, {7, std::nullopt, true});
    BOOST_TEST(!table.isLeaving(server, 8));
    table.record(server, {8, std::nullopt, false});
    BOOST_TEST(!table.isLeaving(server, 8));
}

// Guards against a server without a known start that never gets requests again, and against a table that grows.
BOOST_AUTO_TEST_CASE(announcedEnd_ofAServerWithoutKnownStart_isForgottenAfterAMinute)
{
    table.record(server, {0, std::nullopt, true});
    clock.advance(30s);
    table.record(server, {0, std::nullopt, true});
    BOOST_TEST(table.isLeaving(server, 0));
    clock.advance(30s);
    BOOST_TEST(!table.isLeaving(server, 0));
}

BOOST_AUTO_TEST_SUITE_END()
