#pragma once

#include "papayastep/base/identifiers.h"

#include <set>
#include <vector>

namespace papayastep::health {

/// What a plan knows about one backend server of a service.
struct SiblingCondition
{
    base::BackendServerId id;
    int slots = 1;
    bool gone = false; ///< Draining, leaving or unreachable: no capacity, whatever the plan does.
    bool unhealthy = false; ///< Its node claims that it should be ejected.
    bool ejected = false; ///< It is ejected or in trial now.
    int severity = 0; ///< Percent of the ejection threshold.

    auto operator<=>(const SiblingCondition &) const = default;
};

/// Which servers of a service are to be ejected, so that the floor holds. A pure function of its input: siblings
/// with the same news come to the same plan without agreeing on anything.
struct EjectionPlan
{
    std::set<base::BackendServerId> ejected;
    std::set<base::BackendServerId> heldByFloor; ///< Sick, but the floor keeps them in use.
    bool spread = false; ///< Everything that is left looks sick: nothing is ejected, work goes to all.

    auto operator<=>(const EjectionPlan &) const = default;
};

/// `floor` is the share of all configured slots that must stay in use. Worst first; a tie goes to the smaller id.
/// Servers that are already ejected keep a lead, so that a server held in use, whose evidence goes on growing,
/// does not swap places with one whose evidence is frozen.
EjectionPlan planEjections(const std::vector<SiblingCondition> &servers, double floor);

}
