#include "papayastep/limits/callorder.h"

#include <algorithm>
#include <cmath>

namespace papayastep::limits {

namespace {

/// Value of an answer relative to one of the next more urgent priority.
constexpr double nextPriorityValue = 0.5;
/// Number of recent runs that a mean follows. Run times vary by their own length, and the order must not change with
/// each run.
constexpr std::int64_t runsInMean = 64;
/// Factor by which a call has to yield more than a more urgent request to go before it.
constexpr double margin = 1.2;

double valuePerSecond(int priority, base::Duration run)
{
    const double seconds = std::chrono::duration<double>(std::max(run, base::Duration(1))).count();
    return std::pow(nextPriorityValue, priority) / seconds;
}

}

void CallOrder::recordRun(int priority, base::Duration run)
{
    auto &mean = m_meanRuns[static_cast<std::size_t>(std::clamp(priority, 0, priorities - 1))];
    mean = mean ? *mean + (run - *mean) / runsInMean : run;
}

int CallOrder::goesBefore(int callPriority, base::Duration callRun) const
{
    const int own = std::clamp(callPriority, 0, priorities - 1);
    const double value = valuePerSecond(own, callRun);
    int result = own;
    for (int priority = own - 1; priority >= 0; --priority) {
        const auto &meanRun = m_meanRuns[static_cast<std::size_t>(priority)];
        if (meanRun && margin * valuePerSecond(priority, *meanRun) > value) {
            break;
        }
        result = meanRun ? priority : result;
    }
    return result;
}

}
