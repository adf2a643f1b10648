#pragma once

#include "papayastep/config/check.h"

#include <vector>

namespace papayastep::config {

/// Removes from `files` the entries in which `errors` lie, and returns them with the first error of each. Errors that
/// lie in no entry, such as text that is not JSON, remove nothing.
std::vector<SkippedEntry> removeInvalidEntries(std::vector<ConfigurationFile> &files,
                                               const std::vector<base::Error> &errors);

}
