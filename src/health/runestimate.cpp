#include "papayastep/health/runestimate.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

/// Time constant of the decay: after it, a third of the difference from the siblings remains. A server that is half as
/// slow again gets its next request within a second, one that is several times as slow after two.
constexpr std::chrono::duration<double> decayTime = std::chrono::seconds(1);

/// Number of mean run times after which an attempt is overdue. See GrayFailureEstimatorSettings::healthyOverdueRate.
constexpr int overdueRuns = 3;
/// Shorter runs never count as overdue: scheduling on a shared core alone takes some tens of milliseconds.
constexpr base::Duration shortestOverdue = std::chrono::milliseconds(200);
/// Number of runs from which the server's own mean is used alone.
constexpr std::size_t enoughRuns = 8;
/// Assumed run time while neither the server nor a sibling has answered yet.
constexpr base::Duration assumedRun = std::chrono::milliseconds(200);

}

base::Duration decayedLatency(base::Duration measured, base::Duration usual, base::Duration age)
{
    if (usual <= base::Duration::zero()) {
        return measured;
    }
    if (measured <= base::Duration::zero()) {
        return usual;
    }
    const double left = std::exp(-std::max(0.0, age / decayTime));
    return usual + std::chrono::duration_cast<base::Duration>((measured - usual) * left);
}

base::Duration overdueAfter(base::Duration meanRun, std::size_t runs, base::Duration usual)
{
    base::Duration expected = meanRun;
    if (runs < enoughRuns) {
        expected = std::max(expected, usual);
    }
    if (runs == 0 && usual == base::Duration::zero()) {
        expected = std::max(expected, assumedRun);
    }
    return std::max(overdueRuns * expected, shortestOverdue);
}

}
