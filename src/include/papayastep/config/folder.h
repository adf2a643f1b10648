#pragma once

#include "papayastep/config/configuration.h"

#include <filesystem>
#include <vector>

namespace papayastep::config {

/// Reads all files of `folder`, sorted by name. Names that start with a dot are skipped; any other name goes into
/// the check, since a drop-in called `90-drain.jsn` that is silently ignored would look as if it were in force.
/// Throws Error(ConfigFileUnreadable) for a folder or file that can't be read.
std::vector<ConfigurationFile> readFolder(const std::filesystem::path &folder);

}
