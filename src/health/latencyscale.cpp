#include "latencyscale.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

constexpr double stepsPerOctave = 8;
constexpr double shortestNanoseconds = 100'000;

}

std::uint8_t latencySteps(base::Duration latency)
{
    const double ratio = static_cast<double>(std::max<base::Duration::rep>(latency.count(), 1)) / shortestNanoseconds;
    const double steps = std::round(std::log2(ratio) * stepsPerOctave) + 1;
    return static_cast<std::uint8_t>(std::clamp(steps, 1.0, 255.0));
}

base::Duration latencyOf(std::uint8_t steps)
{
    if (steps == 0) {
        return base::Duration::zero();
    }
    const double nanoseconds = shortestNanoseconds * std::exp2((steps - 1) / stepsPerOctave);
    return base::Duration(static_cast<base::Duration::rep>(nanoseconds));
}

}
