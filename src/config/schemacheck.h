#pragma once

#include "errorlist.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace papayastep::config {

/// Validates a parsed file against the embedded schema, in time linear in its size. Adds each violation to `errors`,
/// and returns whether there is none.
bool checkSchema(const nlohmann::json &parsed, const std::string &file, ErrorList &errors);

}
