#include "papayastep/health/runestimate.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

/// After it a third of what set a server apart still counts. One that is half as slow again is asked once more within
/// a second, one that is several times as slow after two.
constexpr std::chrono::duration<double> driftTime = std::chrono::seconds(1);

/// Mean run times after which an attempt is overdue. See GrayFailureEstimatorSettings::healthyOverdueRate.
constexpr int overdueRuns = 3;
/// Shorter runs are not watched: scheduling on a shared core takes some tens of milliseconds by itself.
constexpr base::Duration shortestOverdue = std::chrono::milliseconds(200);
/// Runs after which the mean of a server's own speaks for itself.
constexpr std::size_t enoughRuns = 8;
/// Taken for the usual while neither the server nor a sibling has answered yet.
constexpr base::Duration unknownRun = std::chrono::milliseconds(200);

}

base::Duration decayedLatency(base::Duration measured, base::Duration usual, base::Duration age)
{
    if (usual <= base::Duration::zero()) {
        return measured;
    }
    if (measured <= base::Duration::zero()) {
        return usual;
    }
    const double left = std::exp(-std::max(0.0, age / driftTime));
    return usual + std::chrono::duration_cast<base::Duration>((measured - usual) * left);
}

base::Duration overdueAfter(base::Duration meanRun, std::size_t runs, base::Duration usual)
{
    base::Duration expected = meanRun;
    if (runs < enoughRuns) {
        expected = std::max(expected, usual);
    }
    if (runs == 0 && usual == base::Duration::zero()) {
        expected = std::max(expected, unknownRun);
    }
    return std::max(overdueRuns * expected, shortestOverdue);
}

}
