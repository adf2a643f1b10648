#include "papayastep/routing/serverendtable.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct ServerEndsFixture
{
    /// Records that a server ends now, under a run of `request` that began `age` ago.
    std::size_t end(const RequestDigest &request, base::Duration age = 10ms)
    {
        return table.record({request, {{0, ++attempts}, 1}, clock.now() - age, false}).ends;
    }

    /// Lets three servers end one after the other.
    void endThree(const RequestDigest &request)
    {
        for (int server = 0; server < 3; ++server) {
            clock.advance(1s);
            end(request);
        }
    }

    const RequestDigest lookup = requestDigest(base::WorkspaceId("w"), "GET", "/balances/1", "");
    const RequestDigest other = requestDigest(base::WorkspaceId("w"), "GET", "/balances/2", "");
    base::ManualClock clock;
    ServerEndTable table{clock, {3, 10min, 4}};
    std::uint64_t attempts = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(serverEndTable, ServerEndsFixture)

// Guards against a request that ends all servers of a service.
BOOST_AUTO_TEST_CASE(request_underWhichThreeServersEnded_isRefused)
{
    for (std::size_t ends = 1; ends <= 3; ++ends) {
        BOOST_TEST(table.admit(lookup));
        clock.advance(1s);
        BOOST_TEST(end(lookup) == ends);
    }
    BOOST_TEST(!table.admit(lookup));
    BOOST_TEST(table.admit(other));
    BOOST_TEST((table.counters() == ServerEndCounters{3, 1}));
    BOOST_TEST(table.refusedRequests() == 1U);
}

// Guards against a rack that fails and takes a frequent lookup, which is not the cause, out of service.
BOOST_AUTO_TEST_CASE(ends_ofRunsThatWereOpenAtTheSameTime_countAsOne)
{
    for (int server = 0; server < 5; ++server) {
        BOOST_TEST(end(lookup, 300ms) == 1U);
        clock.advance(5ms);
    }
    BOOST_TEST(table.admit(lookup));
}

// Guards against a request that is refused because it ran beside the one that ends servers.
BOOST_AUTO_TEST_CASE(request_thatRanToItsEnd_isForgotten)
{
    endThree(lookup);
    BOOST_TEST(table.recordRun(lookup));
    BOOST_TEST(table.admit(lookup));
    BOOST_TEST(table.isEmpty());
    BOOST_TEST(!table.recordRun(lookup));
}

BOOST_AUTO_TEST_CASE(end_reportedTwice_countsOnce)
{
    const ServerEndNotice notice{lookup, 1, 2, 1, 20, false, false};
    for (int copy = 0; copy < 3; ++copy) {
        clock.advance(1s);
        table.apply(notice);
    }
    BOOST_TEST(table.counters().ends == 1U);
}

// Guards against a node that counts one end although three servers ended, because a slow connection delayed the
// notices.
BOOST_AUTO_TEST_CASE(notices_ofRunsInARowThatArriveTogether_countEach)
{
    ServerEndTable ofEntry(clock);
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        clock.advance(30ms);
        const auto count = ofEntry.record({lookup, {{1, 2}, static_cast<int>(attempt)}, clock.now() - 20ms, false});
        table.apply({lookup, 1, 2, attempt, 100, count.followsEnd, false});
    }
    BOOST_TEST(!table.admit(lookup));
}

// Guards against a request that ends two servers at one entry and two more at another, before their notices meet.
BOOST_AUTO_TEST_CASE(request_withEndsThatOnlyItsEntryKnows_isRefusedAtTheirSum)
{
    end(lookup);
    BOOST_TEST(table.admit(lookup, 1));
    BOOST_TEST(!table.admit(lookup, 2));
}

BOOST_AUTO_TEST_CASE(notice_ofARun_forgetsTheRequest)
{
    endThree(lookup);
    table.apply({lookup, 0, 0, 0, 0, false, true});
    BOOST_TEST(table.admit(lookup));
}

BOOST_AUTO_TEST_CASE(request_afterTheMemory_mayRunAgain)
{
    endThree(lookup);
    clock.advance(10min);
    BOOST_TEST(table.admit(lookup));
    table.expire();
    BOOST_TEST(table.isEmpty());
}

// Guards against a caller whose many requests displace the one that ends servers.
BOOST_AUTO_TEST_CASE(table_thatIsFull_keepsTheRequestsWithMostEnds)
{
    endThree(lookup);
    for (int request = 0; request < 10; ++request) {
        clock.advance(1s);
        end(requestDigest(base::WorkspaceId("w"), "GET", "/scans/" + std::to_string(request), ""));
    }
    BOOST_TEST(!table.admit(lookup));
}

BOOST_AUTO_TEST_CASE(digest_ofOneRequest_differsByEachOfItsParts)
{
    const base::WorkspaceId w("w");
    BOOST_TEST((requestDigest(w, "GET", "/balances/1", "") == lookup));
    BOOST_TEST((requestDigest(base::WorkspaceId("v"), "GET", "/balances/1", "") != lookup));
    BOOST_TEST((requestDigest(w, "PUT", "/balances/1", "") != lookup));
    BOOST_TEST((requestDigest(w, "GET", "/balances/1?a", "") != lookup));
    BOOST_TEST((requestDigest(w, "GET", "/balances/1", "b") != lookup));
}

BOOST_AUTO_TEST_SUITE_END()
