#include "crosscheck.h"
#include "fileparser.h"
#include "invalidentries.h"
#include "merger.h"
#include "schemacheck.h"

#include "papayastep/config/check.h"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace papayastep::embedded {
extern const std::string_view configSchema;
}

namespace papayastep::config {

namespace {

using base::ResultCode;

std::vector<const ConfigurationFile *> sortedByName(const std::vector<ConfigurationFile> &files)
{
    std::vector<const ConfigurationFile *> sorted;
    sorted.reserve(files.size());
    for (const ConfigurationFile &file : files) {
        sorted.push_back(&file);
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto *a, const auto *b) { return *a < *b; });
    return sorted;
}

/// Parses `files` one after the other and adds them to `merger`, so that the JSON of only one file is in memory at a
/// time. Returns whether all files could be parsed and match the schema.
bool readFiles(const std::vector<ConfigurationFile> &files, Merger &merger, ErrorList &errors)
{
    bool complete = true;
    const ConfigurationFile *previous = nullptr;
    for (const ConfigurationFile *file : sortedByName(files)) {
        if (previous && previous->name == file->name) {
            errors.add(ResultCode::ConfigDuplicate, "another file has the same name", {file->name, {}});
        }
        previous = file;
        const auto parsed = parseFile(*file, errors);
        if (parsed && checkSchema(*parsed, file->name, errors)) {
            merger.add(file->name, *parsed);
        } else {
            complete = false;
        }
    }
    return complete;
}

bool isEmpty(const Merger &merger)
{
    return merger.workspaces().entries.empty() && merger.services().entries.empty() && merger.routes().entries.empty()
        && merger.backendServers().entries.empty();
}

CheckResult checkAll(base::Revision revision, const std::vector<ConfigurationFile> &files)
{
    ErrorList errors(maxReportedErrors);
    ErrorList warnings(maxReportedErrors);
    Merger merger(errors);
    const bool complete = readFiles(files, merger, errors);
    if (complete && isEmpty(merger)) {
        errors.add(ResultCode::ConfigFolderEmpty, "no file contains an entry");
    }
    crossCheck(merger, complete, errors);
    findWarnings(merger, warnings);
    CheckResult result;
    if (errors.empty()) {
        result.configuration = std::make_shared<const Configuration>(revision, merger.takeParts());
    }
    result.errors = errors.take();
    result.warnings = warnings.take();
    return result;
}

}

CheckResult check(base::Revision revision, const std::vector<ConfigurationFile> &files, InvalidEntries invalidEntries)
{
    CheckResult result = checkAll(revision, files);
    if (result.errors.empty() || invalidEntries == InvalidEntries::Reject) {
        return result;
    }
    std::vector<ConfigurationFile> remaining = files;
    std::vector<SkippedEntry> skipped;
    // Entries that refer to a removed one are found in the next round only.
    while (!result.errors.empty()) {
        std::vector<SkippedEntry> removed = removeInvalidEntries(remaining, result.errors);
        if (removed.empty()) {
            break;
        }
        std::move(removed.begin(), removed.end(), std::back_inserter(skipped));
        result = checkAll(revision, remaining);
    }
    result.skipped = std::move(skipped);
    return result;
}

std::vector<base::Error> checkFiles(const std::vector<ConfigurationFile> &files)
{
    return check(0, files).errors;
}

ConfigurationPtr buildConfiguration(base::Revision revision, const std::vector<ConfigurationFile> &files)
{
    CheckResult result = check(revision, files);
    if (!result.errors.empty()) {
        throw result.errors.front();
    }
    return result.configuration;
}

std::string_view schemaText()
{
    return embedded::configSchema;
}

}
