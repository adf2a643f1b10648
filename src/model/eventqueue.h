#pragma once

#include "papayastep/base/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace papayastep::model {

/// Events in the order of their times; events of the same time in the order in which they were added.
class EventQueue
{
public:
    using Action = std::function<void()>;

    explicit EventQueue(base::ManualClock &clock)
        : m_clock(clock)
    {
    }

    void at(base::TimePoint time, Action action)
    {
        m_events.push(Event{std::max(time, m_clock.now()), ++m_added, std::move(action)});
    }
    void after(base::Duration delay, Action action)
    {
        at(m_clock.now() + delay, std::move(action));
    }

    /// Runs all events up to `end` and moves the clock there.
    void runUntil(base::TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event next = m_events.top();
            m_events.pop();
            m_clock.advance(next.time - m_clock.now());
            next.action();
        }
        m_clock.advance(end - m_clock.now());
    }

private:
    struct Event
    {
        base::TimePoint time;
        std::uint64_t number = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return std::pair(time, number) > std::pair(other.time, other.number);
        }
    };

    base::ManualClock &m_clock;
    std::priority_queue<Event> m_events;
    std::uint64_t m_added = 0;
};

}
