#pragma once

#include "papayastep/base/clock.h"

#include <algorithm>
#include <vector>

namespace papayastep::testing {

/// Returns the largest number of `times`, which are in order, in a span of `length`.
inline int maxInWindow(const std::vector<base::TimePoint> &times, base::Duration length)
{
    std::size_t maximum = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > length) {
            ++first;
        }
        maximum = std::max(maximum, last - first + 1);
    }
    return static_cast<int>(maximum);
}

}
