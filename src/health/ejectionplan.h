#pragma once

#include "papayastep/base/identifiers.h"

#include <set>
#include <vector>

namespace papayastep::health {

/// Condition of one backend server of a service, the input of planEjections().
struct SiblingCondition
{
    base::BackendServerId id;
    int slots = 1;
    bool gone = false; ///< Draining, leaving or unreachable: without capacity whatever the plan is.
    bool unhealthy = false; ///< Its node reports that it should be ejected.
    bool ejected = false; ///< It is currently ejected or in trial.
    int severity = 0; ///< Evidence against it in percent of the ejection threshold.

    auto operator<=>(const SiblingCondition &) const = default;
};

/// The servers of a service to eject without going below the floor. The plan depends on its input only: siblings with
/// the same information make the same plan without coordination.
struct EjectionPlan
{
    std::set<base::BackendServerId> ejected;
    std::set<base::BackendServerId> heldByFloor; ///< Unhealthy, but kept in use by the floor.
    bool spread = false; ///< All remaining servers look unhealthy: none is ejected, and all get work.

    auto operator<=>(const EjectionPlan &) const = default;
};

/// Plans the ejections of a service. `floor` is the share of all configured slots that must stay in use. Servers with
/// the highest severity are ejected first, and of equal ones that with the smaller id. Servers that are already ejected
/// get a bonus, so that a server that the floor keeps in use, whose evidence continues to grow, does not change places
/// with one whose evidence is frozen.
EjectionPlan planEjections(const std::vector<SiblingCondition> &servers, double floor);

}
