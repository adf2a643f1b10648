#include "papayastep/limits/overflowqueue.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::limits;
using namespace std::chrono_literals;

namespace {

struct OverflowFixture
{
    void add(std::uint64_t number, const char *workspace, base::Duration timelyFor = -1s)
    {
        queue.add({id(number), base::WorkspaceId(workspace), clock.now() + timelyFor});
    }
    static AttemptId id(std::uint64_t number)
    {
        return {base::RequestId{1, number}, 1};
    }
    /// Takes all attempts and returns their numbers in this order.
    std::vector<std::uint64_t> takeAll()
    {
        std::vector<std::uint64_t> order;
        while (const auto next = queue.next(clock.now())) {
            order.push_back(next->attempt.request.low);
            queue.remove(next->attempt);
        }
        return order;
    }

    base::ManualClock clock;
    OverflowQueue queue;
};

}

BOOST_FIXTURE_TEST_SUITE(overflowQueue, OverflowFixture)

// Guards against answers that all come late, because late requests are worked off before those that could be in time.
BOOST_AUTO_TEST_CASE(attempts_thatCanBeInTime_comeBeforeLateOnes)
{
    add(1, "a");
    add(2, "b", 1s);
    add(3, "c", 2s);
    BOOST_TEST(takeAll() == (std::vector<std::uint64_t>{2, 3, 1}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(attempt_whoseTargetPassesMeanwhile_losesItsPreference)
{
    add(1, "a");
    add(2, "b", 1s);
    clock.advance(1001ms);
    BOOST_TEST(queue.next(clock.now())->attempt.request.low == 1U);
}

// Guards against a workspace with many requests that keeps all others waiting.
BOOST_AUTO_TEST_CASE(workspaces_withManyAndFewAttempts_takeTurns)
{
    add(1, "many");
    add(2, "many");
    add(3, "many");
    add(4, "few");
    add(5, "few");
    BOOST_TEST(takeAll() == (std::vector<std::uint64_t>{1, 4, 2, 5, 3}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(newAttempt_ofAWorkspaceWithoutOthers_comesBeforeTheLastOne)
{
    BOOST_TEST(!queue.comesBeforeLast(base::WorkspaceId("many")));
    add(1, "many");
    add(2, "many");
    BOOST_TEST(queue.comesBeforeLast(base::WorkspaceId("few")));
    BOOST_TEST(!queue.comesBeforeLast(base::WorkspaceId("many")));
    BOOST_TEST(queue.last()->attempt.request.low == 2U);
}

// Guards against a workspace that is put back for requests that were started long ago.
BOOST_AUTO_TEST_CASE(workspace_whoseAttemptsAreGone_startsWithThePresentTurn)
{
    for (std::uint64_t number = 1; number <= 5; ++number) {
        add(number, "a");
        queue.remove(id(number));
    }
    queue.remove(id(99));
    add(6, "a");
    add(7, "b");
    BOOST_TEST(queue.size() == 2U);
    BOOST_TEST(takeAll() == (std::vector<std::uint64_t>{6, 7}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
