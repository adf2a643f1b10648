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
    /// Returns how often each candidate is chosen in 1,000 placements.
    std::vector<int> choiceCounts()
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
    const auto chosen = choiceCounts();
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(chosen[i] > 200);
    }
    BOOST_TEST(chosen[3] + chosen[4] + chosen[5] == 0);
}

// The servers of the own zone are full and the others are idle. To stay in the zone would save transfer costs, but make
// answers late.
BOOST_FIXTURE_TEST_CASE(leastCost_withTheZoneFull_choosesAnotherZone, PlacementFixture)
{
    for (int i = 0; i < 3; ++i) {
        candidates[i].slotsInUse = 5;
        candidates[i].queueLength = 8;
    }
    const auto chosen = choiceCounts();
    BOOST_TEST(chosen[0] + chosen[1] + chosen[2] == 0);
}

// A server is in a gray failure. A refund that is sent to it is lost, and a lookup costs a repeat.
BOOST_FIXTURE_TEST_CASE(leastCost_withAServerInAGrayFailure_avoidsIt, PlacementFixture)
{
    candidates[0].failureRisk = 0.9;
    BOOST_TEST(choiceCounts()[0] == 0);
    request.idempotent = true;
    BOOST_TEST(choiceCounts()[0] == 0);
}

// A server is no longer held back. Its recovery is detected only if it gets a request.
BOOST_FIXTURE_TEST_CASE(leastCost_withAHoldThatIsOver_sendsOnlyIdempotentRequests, PlacementFixture)
{
    candidates[4].failureRisk = 0.4;
    BOOST_TEST(choiceCounts()[4] == 0);
    request.idempotent = true;
    BOOST_TEST(choiceCounts()[4] > 0);
}

// Guards against lookups that all go to servers with a gray failure first and are then served in another zone.
BOOST_FIXTURE_TEST_CASE(leastCost_withARequestThatIsNoTrial_prefersHealthyServers, PlacementFixture)
{
    request.idempotent = true;
    request.mayBeTrial = false;
    candidates[0].failureRisk = 0.35;
    BOOST_TEST(choiceCounts()[0] == 0);
    request.mayBeTrial = true;
    BOOST_TEST(choiceCounts()[0] > 500);
}

// One server of the zone answers a little later than the others. At light load the others always have room, so it would
// get no work, and its state would be detected only when it is needed.
BOOST_FIXTURE_TEST_CASE(leastCost_withAServerLongWithoutWork_usesIt, PlacementFixture)
{
    candidates[2].latency = 650ms;
    BOOST_TEST(choiceCounts()[2] == 0);
    candidates[2].idle = 1s;
    BOOST_TEST(choiceCounts()[2] > 100);
}

// A server is without work because its hold has just ended. A refund must not be the request that tests its recovery.
BOOST_FIXTURE_TEST_CASE(leastCost_withAPossiblyGrayServerLongWithoutWork_sendsOnlyIdempotentRequests, PlacementFixture)
{
    candidates[2].failureRisk = 0.4;
    candidates[2].idle = 2s;
    BOOST_TEST(choiceCounts()[2] == 0);
    request.idempotent = true;
    BOOST_TEST(choiceCounts()[2] > 0);
}

// While the servers of the own zone are idle too, idle servers are no reason to pay for the transfer to another zone.
BOOST_FIXTURE_TEST_CASE(leastCost_withAllServersLongWithoutWork_staysInTheZone, PlacementFixture)
{
    for (Candidate &candidate : candidates) {
        candidate.idle = 5s;
    }
    const auto chosen = choiceCounts();
    BOOST_TEST(chosen[3] + chosen[4] + chosen[5] == 0);
}

BOOST_FIXTURE_TEST_CASE(leastCost_withAllServersInAGrayFailure_stillChooses, PlacementFixture)
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

// Every request of a service fails, at all of its entries at once. The retries of all nodes together in any ten seconds
// must stay within the operators' limit for the service, however many retries had accumulated before.
BOOST_AUTO_TEST_CASE(retryBudget_ofAFleetUnderFailure_staysWithinTheLimitInEveryWindow)
{
    constexpr int nodes = 29;
    const FleetRetryLimit limit{0.2, 62, 10s};
    base::ManualClock clock;
    std::vector<RetryBudget> budgets;
    budgets.reserve(nodes);
    for (int i = 0; i < nodes; ++i) {
        budgets.emplace_back(clock, serverRetryBudget(limit, nodes));
    }
    const base::ServiceId service("booking");
    const base::WorkspaceId workspace("clubs");
    const auto simulate = [&](int seconds, bool failing) {
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
    simulate(20, false);
    const int retries = simulate(10, true);
    BOOST_TEST(retries <= 0.2 * nodes * 100 + 62);
    BOOST_TEST(retries > 0.1 * nodes * 100);
}
