#include "papayastep/routing/placement.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct PlacementFixture
{
    std::mt19937_64 random{7};
    TwoChoicePlacement policy;
    PlacementRequest request{base::ZoneId("a"), false, {}};
    std::vector<Candidate> candidates;

    void fill(int count)
    {
        for (int i = 0; i < count; ++i) {
            Candidate candidate;
            candidate.server = base::BackendServerId("s" + std::to_string(i));
            candidate.zone = base::ZoneId(i % 2 == 0 ? "a" : "b");
            candidate.slots = 5;
            candidate.latency = 10ms;
            candidates.push_back(candidate);
        }
    }
    std::map<std::size_t, int> placeMany(int count)
    {
        std::map<std::size_t, int> counts;
        for (int i = 0; i < count; ++i) {
            const auto placement = policy.place(candidates, request, random);
            ++counts[placement.candidate.value_or(99)];
        }
        return counts;
    }
};

}

BOOST_FIXTURE_TEST_CASE(placement_amongEquals_staysInZone, PlacementFixture)
{
    fill(6);
    for (const auto &[index, count] : placeMany(1000)) {
        BOOST_TEST(index % 2 == 0);
        BOOST_TEST(count > 200);
    }
}

BOOST_FIXTURE_TEST_CASE(placement_withOwnZoneBusy_leavesTheZone, PlacementFixture)
{
    fill(2);
    candidates[0].slotsInUse = 3;
    BOOST_TEST(placeMany(100)[1] == 100);
}

BOOST_FIXTURE_TEST_CASE(placement_afterAnAttempt_avoidsItsServer, PlacementFixture)
{
    fill(3);
    request.tried = {candidates[0].server, candidates[2].server};
    BOOST_TEST(placeMany(100)[1] == 100);
    request.tried.push_back(candidates[1].server);
    BOOST_TEST(placeMany(10)[99] == 10);
}

// A server returns after an ejection and may still be slow. It is tested with few requests, and a refund must not be
// among them, since it could not be repeated elsewhere.
BOOST_FIXTURE_TEST_CASE(placement_withServerOnTrial_givesItFewIdempotentRequests, PlacementFixture)
{
    fill(4);
    candidates[0].usable = false;
    candidates[0].trial = true;
    candidates[0].weight = 0.1;
    BOOST_TEST(placeMany(4000)[0] == 0);
    request.idempotent = true;
    const int count = placeMany(4000)[0];
    BOOST_TEST(count > 60);
    BOOST_TEST(count < 140);
}

BOOST_FIXTURE_TEST_CASE(placement_withServerInSlowStart_givesItTheShareOfItsWeight, PlacementFixture)
{
    fill(10);
    request.zone = base::ZoneId("none");
    candidates[3].weight = 0.1;
    const int count = placeMany(10000)[3];
    BOOST_TEST(count > 50);
    BOOST_TEST(count < 250);
}

// Every server of a service appears unhealthy at once, because the shared database is slow or the detection is wrong.
// If no server were used, the callers would get no answers at all.
BOOST_FIXTURE_TEST_CASE(placement_withAllServersUnhealthy_spreadsOverAllNotDrained, PlacementFixture)
{
    fill(4);
    for (auto &candidate : candidates) {
        candidate.usable = false;
    }
    candidates[1].drained = true;
    candidates[2].pathUsable = false;
    const auto counts = placeMany(1000);
    BOOST_TEST(counts.size() == 2u);
    BOOST_TEST(counts.at(0) > 400);
    BOOST_TEST(counts.at(3) > 400);
}

BOOST_FIXTURE_TEST_CASE(placement_withAllDrained_placesNothing, PlacementFixture)
{
    fill(2);
    candidates[0].drained = true;
    candidates[1].drained = true;
    BOOST_TEST(placeMany(5)[99] == 5);
}

// A server reports that it is idle and fast while its requests queue up and time out. It must not receive the whole
// traffic of the service.
BOOST_FIXTURE_TEST_CASE(placement_withServerThatReportsAWrongLoad_givesItAtMostTwoShares, PlacementFixture)
{
    fill(20);
    request.zone = base::ZoneId("none");
    for (auto &candidate : candidates) {
        candidate.slotsInUse = 3;
    }
    candidates[4].slotsInUse = 0;
    candidates[4].latency = 1us;
    const int count = placeMany(10000)[4];
    BOOST_TEST(count < 2 * 10000 / 20 * 115 / 100);
}

BOOST_FIXTURE_TEST_CASE(placement_explained_containsScoresAndReasons, PlacementFixture)
{
    fill(3);
    candidates[1].usable = false;
    candidates[2].slotsInUse = 5;
    const auto placement = policy.place(candidates, request, random);
    const auto explanation = policy.explain(candidates, request, placement);
    BOOST_TEST(explanation.candidates.size() == 3u);
    BOOST_TEST(explanation.candidates[1].note == "ejected");
    BOOST_TEST(explanation.sentence == "Chose s0 as the better of two, before s2 (10 ms against 20 ms).");
}

BOOST_FIXTURE_TEST_CASE(handOverTarget_withClearlyBetterSibling_isChosenOnce, PlacementFixture)
{
    fill(4);
    const Candidate own = candidates[0];
    std::vector<Candidate> siblings(candidates.begin() + 1, candidates.end());
    siblings[0].slotsInUse = 5;
    siblings[1].usable = false;
    HandOverRequest queued{false, 20, 1s, {}};
    BOOST_TEST(chooseHandOverTarget(own, siblings, queued, random).value() == 2u);
    queued.handedOverBefore = true;
    BOOST_TEST(!chooseHandOverTarget(own, siblings, queued, random).has_value());
    BOOST_TEST(!chooseHandOverTarget(own, siblings, HandOverRequest{false, 2, 1s, {}}, random).has_value());
    siblings[2].loadAge = 5s;
    BOOST_TEST(!chooseHandOverTarget(own, siblings, HandOverRequest{false, 20, 1s, {}}, random).has_value());
}
