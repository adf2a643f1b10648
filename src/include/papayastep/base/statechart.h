#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace papayastep::base {

/// A finite state machine read from a JSON file:
///
///     { "name": "request", "initial": "received", "final": ["answered"],
///       "transitions": [ {"from": "received", "event": "admitted", "to": "placed"}, .. ],
///       "ignored": [ {"state": "answered", "event": "late-answer"}, .. ] }
///
/// Checked when read: unknown or unreachable states, a state that is not final and can't be left, an event
/// defined twice for a state, and (through `events`) an event of the code that no transition names, all throw
/// Error(StateChartInvalid). So a chart that the code can't run stops a program at its start, not in the night.
class StateChart
{
public:
    /// Reads and checks `json`; `states` and `events` are all the names that the code uses.
    static std::shared_ptr<const StateChart> parse(std::string_view json,
                                                   const std::vector<std::string> &states,
                                                   const std::vector<std::string> &events);

    const std::string &name() const;
    int initial() const;

    /// Index of the state after `event` in `state`; `state` itself where the chart ignores the event there.
    /// Throws Error(StateChartNoTransition) where the chart says nothing.
    int next(int state, int event) const;

    /// Whether `event` has a transition (not merely an ignore) in `state`.
    bool accepts(int state, int event) const;

    bool isFinal(int state) const;
    const std::string &stateName(int state) const;
    const std::string &eventName(int event) const;

private:
    StateChart() = default;

    std::string m_name;
    std::vector<std::string> m_states;
    std::vector<std::string> m_events;
    std::vector<bool> m_final;
    std::vector<int> m_table; ///< state * events + event -> next state, or noTransition.
    int m_initial = 0;
};

/// One running instance of a chart. `State` and `Event` are enums that start at 0 and follow the names
/// that the chart was parsed with.
template<typename State, typename Event>
class StateMachine
{
public:
    explicit StateMachine(std::shared_ptr<const StateChart> chart)
        : m_chart(std::move(chart))
        , m_state(m_chart->initial())
    {
    }

    State state() const
    {
        return static_cast<State>(m_state);
    }
    bool accepts(Event event) const
    {
        return m_chart->accepts(m_state, static_cast<int>(event));
    }
    /// Takes the transition of `event`. Returns whether the state changed.
    bool handle(Event event)
    {
        const int before = m_state;
        m_state = m_chart->next(m_state, static_cast<int>(event));
        return m_state != before;
    }
    bool isFinal() const
    {
        return m_chart->isFinal(m_state);
    }
    const std::string &stateName() const
    {
        return m_chart->stateName(m_state);
    }

private:
    std::shared_ptr<const StateChart> m_chart;
    int m_state;
};

}
