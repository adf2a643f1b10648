#pragma once

#include <glog/logging.h>

#include <ostream>
#include <string_view>
#include <utility>

/// Log lines of one format: `PREFIX: Short sentence. name=value name=value`.
///
/// Usage: `PAPAYASTEP_LOG(INFO, "limits") << "Granted tokens." << base::field("workspace", id);`
/// The prefix is fixed per part (package) of the system, so that an operator can filter by it.
#define PAPAYASTEP_LOG(severity, prefix) LOG(severity) << prefix << ": "

namespace papayastep::base {

/// A named value at the end of a log line. It holds a reference and may be used only within the log statement.
template<typename Value>
struct LogField
{
    std::string_view name;
    const Value &value;
};

template<typename Value>
LogField<Value> field(std::string_view name, const Value &value)
{
    return LogField<Value>{name, value};
}

template<typename Value>
std::ostream &operator<<(std::ostream &stream, const LogField<Value> &field)
{
    return stream << ' ' << field.name << '=' << field.value;
}

}
