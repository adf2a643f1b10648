#pragma once

#include "errorlist.h"

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace papayastep::config {

/// Returns the JSON of one file. For an invalid name, a file that is too large, invalid JSON, a number that is out of
/// the range of a double, or a key that occurs twice in one object, returns nullopt and adds the reasons to `errors`.
std::optional<nlohmann::json> parseFile(const ConfigurationFile &file, ErrorList &errors);

}
