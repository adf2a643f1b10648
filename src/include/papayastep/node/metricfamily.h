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

/// A family of metrics with fixed label names. Finds a series by its label values without building the labels anew: a
/// node touches some ten series for each request, and the library's own look-up makes a map of strings for each.
template<typename Metric>
class MetricFamily
{
public:
    MetricFamily(prometheus::Family<Metric> &family, std::vector<std::string> names)
        : m_family(family)
        , m_names(std::move(names))
    {
    }

    /// The series with these label values, in the order of the names; made at its first use with `arguments`.
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
    /// Stands in no label value: services, codes and names of kinds have no control characters.
    static constexpr char separator = '\x1f';

    prometheus::Family<Metric> &m_family;
    std::vector<std::string> m_names;
    std::unordered_map<std::string, Metric *> m_series;
    std::string m_key; ///< Kept to spare an allocation for each look-up.
};

}
