#pragma once

#include "papayastep/net/httpmessage.h"

#include <string_view>
#include <vector>

namespace papayastep::net {

/// Returns the values of all fields `name`, in their order. They are valid as long as `fields`.
inline std::vector<std::string_view> fieldValues(const http::fields &fields, std::string_view name)
{
    std::vector<std::string_view> values;
    const auto range = fields.equal_range(beast::string_view(name.data(), name.size()));
    for (auto field = range.first; field != range.second; ++field) {
        values.push_back(view(field->value()));
    }
    return values;
}

}
