#pragma once

#include "errorlist.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace papayastep::config {

/// Checks one parsed file against the embedded schema, in time linear in its size. Adds each violation to `errors`.
/// Returns whether there was none.
bool checkSchema(const nlohmann::json &parsed, const std::string &file, ErrorList &errors);

}
