#include "papayastep/routing/leastcostplacement.h"
#include "papayastep/routing/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct PlacementFixture
{
    LeastCostPlacement policy{base::VmId("here")};
    std::mt19937_64 random{7};
    PlacementRequest request;
    std::vector<Candidate> candidates;

    PlacementFixture()
    {
        request.zone = base::ZoneId("arima");
        request.remaining = 2s;
        request.remainingTarget = 1200ms;
        for (int i = 0; i < 6; ++i) {
            Candidate candidate;
            candidate.server = base::BackendServerId("server-" + std::to_string(i));
            candidate.vm = base::VmId("vm-" + std::to_string(i));
            candidate.zone = base::ZoneId(i < 3 ? "arima" : "couva");
            candidate.slots = 5;
            candidate.latency = 400ms;
            candidates.push_back(candidate);
        }
    }
    /// How often each candidate is chosen of 1,000 times.
    std::vector<int> shares()
    {
        std::vector<int> chosen(candidates.size());
        for (int i = 0; i < 1000; ++i) {
            const Placement placement = policy.place(candidates, request, random);
            BOOST_TEST_REQUIRE(placement.candidate.has_value());
            ++chosen[*placement.candidate];
        }
        return chosen;
    }
};

}

BOOST_FIXTURE_TEST_CASE(leastCost_withFreeSlotsNearby_staysInTheZoneAndSpreads, PlacementFixture)
{
    const auto chosen = shares();
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(chosen[i] > 200);
    }
    BOOST_TEST(chosen[3] + chosen[4] + chosen[5] == 0);
}

// The zone's servers are full and the others idle. Answers would come late for the sake of cheap bytes.
BOOST_FIXTURE_TEST_CASE(leastCost_withTheZoneFull_goesElsewhere, PlacementFixture)
{
    for (int i = 0; i < 3; ++i) {
        candidates[i].slotsInUse = 5;
        candidates[i].queueLength = 8;
    }
    const auto chosen = shares();
    BOOST_TEST(chosen[0] + chosen[1] + chosen[2] == 0);
}

// A server is in a gray spell. A refund that meets it is lost, and a lookup costs a repeat.
BOOST_FIXTURE_TEST_CASE(leastCost_withAServerInASpell_avoidsIt, PlacementFixture)
{
    candidates[0].failureRisk = 0.9;
    BOOST_TEST(shares()[0] == 0);
    request.idempotent = true;
    BOOST_TEST(shares()[0] == 0);
}

// The hold of a server is over. Unless somebody asks it, nobody learns that it is well again.
BOOST_FIXTURE_TEST_CASE(leastCost_withAHoldThatIsOver_sendsScoutsThatMayFail, PlacementFixture)
{
    candidates[4].failureRisk = 0.4;
    BOOST_TEST(shares()[4] == 0);
    request.idempotent = true;
    BOOST_TEST(shares()[4] > 0);
}

// One server of the zone answers a little later than the others. At light load the others have always room, so it would
// get nothing, and how it is would be seen only when it is needed.
BOOST_FIXTURE_TEST_CASE(leastCost_withAServerLongWithoutWork_usesIt, PlacementFixture)
{
    candidates[2].latency = 650ms;
    BOOST_TEST(shares()[2] == 0);
    candidates[2].idle = 1s;
    BOOST_TEST(shares()[2] > 100);
}

// It is without work because its hold has just ended. A refund must not be the one that shows whether it is well.
BOOST_FIXTURE_TEST_CASE(leastCost_withADoubtfulServerLongWithoutWork_keepsItForRequestsThatMayFail, PlacementFixture)
{
    candidates[2].failureRisk = 0.4;
    candidates[2].idle = 2s;
    BOOST_TEST(shares()[2] == 0);
    request.idempotent = true;
    BOOST_TEST(shares()[2] > 0);
}

// Idle servers are no reason to pay for the way to another zone, while those of the own zone are as idle.
BOOST_FIXTURE_TEST_CASE(leastCost_withAllServersLongWithoutWork_staysInTheZone, PlacementFixture)
{
    for (Candidate &candidate : candidates) {
        candidate.idle = 5s;
    }
    const auto chosen = shares();
    BOOST_TEST(chosen[3] + chosen[4] + chosen[5] == 0);
}

BOOST_FIXTURE_TEST_CASE(leastCost_withEverybodyInASpell_stillChooses, PlacementFixture)
{
    for (Candidate &candidate : candidates) {
        candidate.failureRisk = 0.9;
    }
    const Placement placement = policy.place(candidates, request, random);
    BOOST_TEST(placement.candidate.has_value());
    BOOST_TEST((placement.reason == PlacementReason::AllUnhealthy));
}

BOOST_FIXTURE_TEST_CASE(leastCost_withDrainedOrTriedServersOnly_choosesNone, PlacementFixture)
{
    for (Candidate &candidate : candidates) {
        candidate.drained = true;
    }
    candidates[2].drained = false;
    request.tried = {candidates[2].server};
    BOOST_TEST(!policy.place(candidates, request, random).candidate.has_value());
}

// Every request of a service fails, at all of its entries at once. What the nodes together repeat in any ten seconds
// must stay within what the operators allow the service, however it had gathered before.
BOOST_AUTO_TEST_CASE(retryBudget_ofAFleetUnderFailure_keepsToTheLimitInEveryWindow)
{
    constexpr int nodes = 29;
    const FleetRetryLimit limit{0.2, 62, 10s};
    base::ManualClock clock;
    std::vector<RetryBudget> budgets;
    budgets.reserve(nodes);
    for (int i = 0; i < nodes; ++i) {
        budgets.emplace_back(clock, nodeRetryBudget(limit, nodes));
    }
    const base::ServiceId service("booking");
    const base::WorkspaceId workspace("clubs");
    const auto play = [&](int seconds, bool failing) {
        int retries = 0;
        for (int step = 0; step < seconds * 10; ++step) {
            clock.advance(100ms);
            for (RetryBudget &budget : budgets) {
                budget.countRequest(service, workspace);
                retries += failing && budget.spend(service, workspace) ? 1 : 0;
            }
        }
        return retries;
    };
    play(20, false);
    const int retries = play(10, true);
    BOOST_TEST(retries <= 0.2 * nodes * 100 + 62);
    BOOST_TEST(retries > 0.1 * nodes * 100);
}
