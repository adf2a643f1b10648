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
/// A chart is checked when it is read: unknown or unreachable states, a state that is not final and can't be left, an
/// event defined twice for a state, and (through `events`) an event of the code that no transition names, all throw
/// Error(StateChartInvalid). So a chart that the code can't run stops a program at its start, not during operation.
class StateChart
{
public:
    /// Parses and checks `json`; `states` and `events` are all the names that the code uses.
    static std::shared_ptr<const StateChart> parse(std::string_view json,
                                                   const std::vector<std::string> &states,
                                                   const std::vector<std::string> &events);

    const std::string &name() const;
    int initial() const;

    /// Returns the index of the state that follows `event` in `state`, which is `state` itself if the chart ignores the
    /// event there. Throws Error(StateChartNoTransition) if the chart does not define the event there.
    int next(int state, int event) const;

    /// Whether `event` has a transition in `state` and is not merely ignored there.
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
    std::vector<int> m_table; ///< At index state * number of events + event: the next state, or noTransition.
    int m_initial = 0;
};

/// A running instance of a chart. `State` and `Event` are enums whose values start at 0, in the order of the names with
/// which the chart was parsed.
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
