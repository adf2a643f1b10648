#pragma once

#include <prometheus/family.h>

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace papayastep::node {

/// A family of metrics with fixed label names. It finds a series by its label values without building the label map
/// again: a node updates about ten series for each request, and the lookup of the library creates a map of strings for
/// each of them.
template<typename Metric>
class MetricFamily
{
public:
    MetricFamily(prometheus::Family<Metric> &family, std::vector<std::string> names)
        : m_family(family)
        , m_names(std::move(names))
    {
    }

    /// Returns the series with these label values, given in the order of the names. The series is created with
    /// `arguments` at its first use.
    template<typename... Arguments>
    Metric &withLabels(std::initializer_list<std::string_view> values, Arguments &&...arguments)
    {
        m_key.clear();
        for (const std::string_view value : values) {
            m_key.append(value).push_back(separator);
        }
        auto &series = m_series[m_key];
        if (series == nullptr) {
            std::map<std::string, std::string> labels;
            auto name = m_names.begin();
            for (const std::string_view value : values) {
                labels.emplace(*name++, value);
            }
            series = &m_family.Add(labels, std::forward<Arguments>(arguments)...);
        }
        return *series;
    }

private:
    /// Occurs in no label value: services, codes and names of kinds contain no control characters.
    static constexpr char separator = '\x1f';

    prometheus::Family<Metric> &m_family;
    std::vector<std::string> m_names;
    std::unordered_map<std::string, Metric *> m_series;
    std::string m_key; ///< Reused to avoid an allocation for each lookup.
};

}
