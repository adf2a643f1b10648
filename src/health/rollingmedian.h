#pragma once

#include "papayastep/base/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace papayastep::health {

/// The median of the last 32 latencies. It is a median because one stuck request must not change the usual latency.
class RollingMedian
{
public:
    void add(base::Duration latency)
    {
        m_values[m_next] = latency;
        m_next = (m_next + 1) % capacity;
        m_size = std::min(m_size + 1, capacity);
    }
    std::size_t size() const
    {
        return m_size;
    }
    /// Returns zero if there are no latencies yet.
    base::Duration median() const
    {
        if (m_size == 0) {
            return base::Duration::zero();
        }
        auto values = m_values;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(m_size / 2);
        std::nth_element(values.begin(), middle, values.begin() + static_cast<std::ptrdiff_t>(m_size));
        return *middle;
    }

private:
    static constexpr std::size_t capacity = 32;

    std::array<base::Duration, capacity> m_values{};
    std::size_t m_next = 0;
    std::size_t m_size = 0;
};

}
