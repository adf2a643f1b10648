#include "ejectionplan.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

constexpr int ejectedBonus = 50; ///< Percent of the ejection threshold.
constexpr double slotTolerance = 1e-9; ///< Floating-point tolerance: 0.7 x 10 is not exactly 7.

int rank(const SiblingCondition &server)
{
    return server.severity + (server.ejected ? ejectedBonus : 0);
}

std::vector<const SiblingCondition *> worstFirst(const std::vector<SiblingCondition> &servers)
{
    std::vector<const SiblingCondition *> unhealthyServers;
    for (const SiblingCondition &server : servers) {
        if (server.unhealthy && !server.gone) {
            unhealthyServers.push_back(&server);
        }
    }
    std::sort(
        unhealthyServers.begin(), unhealthyServers.end(), [](const SiblingCondition *a, const SiblingCondition *b) {
            return rank(*a) != rank(*b) ? rank(*a) > rank(*b) : a->id < b->id;
        });
    return unhealthyServers;
}

}

EjectionPlan planEjections(const std::vector<SiblingCondition> &servers, double floor)
{
    int total = 0;
    int capacity = 0;
    std::size_t present = 0;
    for (const SiblingCondition &server : servers) {
        total += server.slots;
        capacity += server.gone ? 0 : server.slots;
        present += server.gone ? 0 : 1;
    }
    const int required = static_cast<int>(std::ceil(floor * total - slotTolerance));
    const auto candidates = worstFirst(servers);

    EjectionPlan plan;
    plan.spread = !candidates.empty() && candidates.size() == present;
    for (const SiblingCondition *server : candidates) {
        if (!plan.spread && capacity - server->slots >= required) {
            capacity -= server->slots;
            plan.ejected.insert(server->id);
        } else {
            plan.heldByFloor.insert(server->id);
        }
    }
    return plan;
}

}
