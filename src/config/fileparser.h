#pragma once

#include "errorlist.h"

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace papayastep::config {

/// The JSON of one file, or nothing after adding the reasons to `errors`: a bad name, too many bytes, broken JSON, a
/// number that no double holds, or a key that stands twice in one object.
std::optional<nlohmann::json> parseFile(const ConfigurationFile &file, ErrorList &errors);

}
