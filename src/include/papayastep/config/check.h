#pragma once

#include "papayastep/base/error.h"
#include "papayastep/config/configuration.h"

#include <vector>

/// Validation of the configuration files of a folder. `papayastep check` and the node use the same functions.
namespace papayastep::config {

/// What check() does about an entry that is not valid.
enum class InvalidEntries {
    Reject, ///< Rejects all files, so that a person corrects the entry before any of them is in force.
    Skip, ///< Leaves out the entry. For files that a platform has accepted already, which owes the others.
};

/// An entry that was left out since it is not valid.
struct SkippedEntry
{
    std::string section; ///< Such as "routes".
    std::string id; ///< Of the entry; of the limits, the name of the field. Empty if the entry has none.
    base::ResultCode code = base::ResultCode::Ok;
    std::string detail;

    auto operator<=>(const SkippedEntry &) const = default;
};

/// Result of check(). If there is any error, there is no configuration.
struct CheckResult
{
    ConfigurationPtr configuration; ///< Null if there are errors.
    std::vector<base::Error> errors; ///< At most maxReportedErrors errors, in the order of the files.
    std::vector<SkippedEntry> skipped; ///< Only with InvalidEntries::Skip. The same on every node.
    std::vector<base::Error> warnings; ///< Valid but rarely intended entries, such as a service without servers.
};

/// Upper limit for the number of errors, and of warnings, in a result. A broken generator can cause one error for each
/// of 120,000 entries, and nobody reads more than this many.
constexpr std::size_t maxReportedErrors = 1000;

/// Merges `files` in the order of their names and reports all errors and warnings. Never throws base::Error. An error
/// outside of any entry rejects all files with either choice of `invalidEntries`.
CheckResult check(base::Revision revision,
                  const std::vector<ConfigurationFile> &files,
                  InvalidEntries invalidEntries = InvalidEntries::Reject);

/// Returns only the errors of check().
std::vector<base::Error> checkFiles(const std::vector<ConfigurationFile> &files);

/// Returns the JSON Schema (draft 7) of a configuration file, which is published for use in editors.
std::string_view schemaText();

}
