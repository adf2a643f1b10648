#include "ejectionplan.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>

using namespace papayastep;
using namespace papayastep::health;

namespace {

SiblingCondition server(const std::string &id, int severity, bool unhealthy = true)
{
    return SiblingCondition{base::BackendServerId(id), 4, false, unhealthy, false, severity};
}

std::vector<SiblingCondition> anyService()
{
    std::vector<SiblingCondition> servers;
    const auto count = *rc::gen::inRange(1, 24);
    servers.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        servers.push_back(SiblingCondition{base::BackendServerId("server-" + std::to_string(index)),
                                           *rc::gen::inRange(1, 8),
                                           *rc::gen::inRange(0, 5) == 0,
                                           *rc::gen::arbitrary<bool>(),
                                           *rc::gen::arbitrary<bool>(),
                                           *rc::gen::inRange(0, 300)});
    }
    return servers;
}

}

// Any servers are unhealthy, draining or leaving at the same time. Guards against ejections that take a service below
// its floor, so that requests are refused although servers are idle.
RC_BOOST_PROP(plan_ofAnyService_keepsTheFloor, ())
{
    const auto servers = anyService();
    const double floor = *rc::gen::inRange(0, 101) / 100.0;
    const EjectionPlan plan = planEjections(servers, floor);
    int total = 0;
    int left = 0;
    for (const SiblingCondition &each : servers) {
        total += each.slots;
        left += each.gone || plan.ejected.contains(each.id) ? 0 : each.slots;
    }
    RC_ASSERT(plan.ejected.empty() || left >= floor * total - 1e-6);
}

// Siblings receive their messages in different orders. Guards against different plans of two nodes with the same
// information.
RC_BOOST_PROP(plan_ofAnyOrder_isTheSame, (std::uint64_t seed))
{
    auto servers = anyService();
    const EjectionPlan plan = planEjections(servers, 0.5);
    std::mt19937_64 random(seed);
    std::shuffle(servers.begin(), servers.end(), random);
    RC_ASSERT(planEjections(servers, 0.5) == plan);
}

// Three servers are unhealthy and the floor allows one ejection. Guards against keeping the worst server in use.
BOOST_AUTO_TEST_CASE(plan_atTheFloor_ejectsTheWorstFirst)
{
    const EjectionPlan plan
        = planEjections({server("a", 110), server("b", 140), server("c", 120), server("d", 0, false)}, 0.75);
    BOOST_TEST((plan.ejected == std::set{base::BackendServerId("b")}));
    BOOST_TEST(plan.heldByFloor.size() == 2U);
}

// The evidence against a server that the floor keeps in use grows, while that against an ejected one is frozen. Guards
// against exchanging the two every few seconds, which each time returns an unhealthy server to use.
BOOST_AUTO_TEST_CASE(plan_atTheFloor_doesNotExchangeEjectedServers)
{
    SiblingCondition ejected = server("a", 105);
    ejected.ejected = true;
    const EjectionPlan plan
        = planEjections({ejected, server("b", 150), server("c", 0, false), server("d", 0, false)}, 0.75);
    BOOST_TEST((plan.ejected == std::set{base::BackendServerId("a")}));
}

// All servers look unhealthy, probably because of a shared fault. Guards against refusing all requests, some of which
// may succeed.
BOOST_AUTO_TEST_CASE(plan_ofServersThatAllLookUnhealthy_spreadsOverAll)
{
    const EjectionPlan plan = planEjections({server("a", 110), server("b", 120)}, 0);
    BOOST_TEST(plan.spread);
    BOOST_TEST(plan.ejected.empty());
}
