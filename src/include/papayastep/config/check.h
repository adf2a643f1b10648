#pragma once

#include "papayastep/base/error.h"
#include "papayastep/config/configuration.h"

#include <vector>

/// The verdict on a folder of configuration files. `papayastep check` and the node use the same one.
namespace papayastep::config {

/// What a check found. With any error there is no configuration.
struct CheckResult
{
    ConfigurationPtr configuration; ///< Null if there are errors.
    std::vector<base::Error> errors; ///< At most maxReportedErrors, in the order of the files.
    std::vector<base::Error> warnings; ///< Valid, but seldom meant, such as a service without servers.
};

/// A broken generator can make one error for each of 120,000 entries; nobody reads more than these.
constexpr std::size_t maxReportedErrors = 1000;

/// Merges `files` in the order of their names and reports all that is wrong. Never throws base::Error.
CheckResult check(base::Revision revision, const std::vector<ConfigurationFile> &files);

/// Only the errors of check().
std::vector<base::Error> checkFiles(const std::vector<ConfigurationFile> &files);

/// The JSON Schema (draft 7) of one file, as published for editors.
std::string_view schemaText();

}
