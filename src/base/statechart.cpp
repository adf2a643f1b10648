#include "papayastep/base/statechart.h"

#include "papayastep/base/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace papayastep::base {

namespace {

constexpr int noTransition = -1;

[[noreturn]] void fail(const std::string &chart, const std::string &what)
{
    throw Error(ResultCode::StateChartInvalid, "chart '" + chart + "': " + what);
}

int indexOf(const std::vector<std::string> &names, const std::string &name, const std::string &chart)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        fail(chart, "the code has no state or event '" + name + "'");
    }
    return static_cast<int>(found - names.begin());
}

std::set<int> reachableFrom(int initial, const std::vector<int> &table, std::size_t eventCount)
{
    std::set<int> reached;
    std::vector<int> pending{initial};
    while (!pending.empty()) {
        const int state = pending.back();
        pending.pop_back();
        if (!reached.insert(state).second) {
            continue;
        }
        for (std::size_t event = 0; event < eventCount; ++event) {
            const int next = table[static_cast<std::size_t>(state) * eventCount + event];
            if (next != noTransition) {
                pending.push_back(next);
            }
        }
    }
    return reached;
}

}

std::shared_ptr<const StateChart> StateChart::parse(std::string_view json,
                                                    const std::vector<std::string> &states,
                                                    const std::vector<std::string> &events)
{
    std::shared_ptr<StateChart> chart(new StateChart);
    chart->m_states = states;
    chart->m_events = events;
    chart->m_final.assign(states.size(), false);
    chart->m_table.assign(states.size() * events.size(), noTransition);
    std::set<int> eventsNamed;
    try {
        const auto document = nlohmann::json::parse(json);
        chart->m_name = document.at("name").get<std::string>();
        chart->m_initial = indexOf(states, document.at("initial").get<std::string>(), chart->m_name);
        for (const auto &state : document.at("final")) {
            chart->m_final[static_cast<std::size_t>(indexOf(states, state.get<std::string>(), chart->m_name))] = true;
        }
        const auto set = [&](const nlohmann::json &entry, const char *fromKey, const char *toKey) {
            const int from = indexOf(states, entry.at(fromKey).get<std::string>(), chart->m_name);
            const int event = indexOf(events, entry.at("event").get<std::string>(), chart->m_name);
            const int to = indexOf(states, entry.at(toKey).get<std::string>(), chart->m_name);
            int &cell
                = chart->m_table[static_cast<std::size_t>(from) * events.size() + static_cast<std::size_t>(event)];
            if (cell != noTransition) {
                fail(chart->m_name, "'" + states[from] + "' handles '" + events[event] + "' twice");
            }
            cell = to;
            eventsNamed.insert(event);
        };
        for (const auto &entry : document.at("transitions")) {
            set(entry, "from", "to");
        }
        if (document.contains("ignored")) {
            for (const auto &entry : document.at("ignored")) {
                set(entry, "state", "state");
            }
        }
    } catch (const nlohmann::json::exception &error) {
        fail(chart->m_name, error.what());
    }

    const auto reached = reachableFrom(chart->m_initial, chart->m_table, events.size());
    for (std::size_t state = 0; state < states.size(); ++state) {
        if (!reached.contains(static_cast<int>(state))) {
            fail(chart->m_name, "'" + states[state] + "' is unreachable");
        }
        const auto row = chart->m_table.begin() + static_cast<std::ptrdiff_t>(state * events.size());
        const bool canLeave = std::any_of(row, row + static_cast<std::ptrdiff_t>(events.size()), [&](int next) {
            return next != noTransition && next != static_cast<int>(state);
        });
        if (!canLeave && !chart->m_final[state]) {
            fail(chart->m_name, "'" + states[state] + "' is not final and has no transition to another state");
        }
    }
    for (std::size_t event = 0; event < events.size(); ++event) {
        if (!eventsNamed.contains(static_cast<int>(event))) {
            fail(chart->m_name, "no transition uses event '" + events[event] + "'");
        }
    }
    return chart;
}

const std::string &StateChart::name() const
{
    return m_name;
}

int StateChart::initial() const
{
    return m_initial;
}

int StateChart::next(int state, int event) const
{
    const int to = m_table[static_cast<std::size_t>(state) * m_events.size() + static_cast<std::size_t>(event)];
    if (to == noTransition) {
        throw Error(ResultCode::StateChartNoTransition,
                    "chart '" + m_name + "': '" + stateName(state) + "' does not handle '" + eventName(event) + "'");
    }
    return to;
}

bool StateChart::accepts(int state, int event) const
{
    const int to = m_table[static_cast<std::size_t>(state) * m_events.size() + static_cast<std::size_t>(event)];
    return to != noTransition && to != state;
}

bool StateChart::isFinal(int state) const
{
    return m_final[static_cast<std::size_t>(state)];
}

const std::string &StateChart::stateName(int state) const
{
    return m_states[static_cast<std::size_t>(state)];
}

const std::string &StateChart::eventName(int event) const
{
    return m_events[static_cast<std::size_t>(event)];
}

}
