#pragma once

#include "papayastep/config/configuration.h"

#include <filesystem>
#include <vector>

namespace papayastep::config {

/// Reads all files of `folder`, sorted by name. Files whose names start with a dot are skipped. All others are returned
/// for validation, because a silently ignored drop-in such as `90-drain.jsn` would appear to be in force. Throws
/// Error(ConfigFileUnreadable) if the folder or a file cannot be read.
std::vector<ConfigurationFile> readFolder(const std::filesystem::path &folder);

}
