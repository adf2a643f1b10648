#include "papayastep/config/folder.h"

#include "papayastep/base/error.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <system_error>

namespace papayastep::config {

namespace {

[[noreturn]] void throwUnreadable(const std::string &detail, const std::string &file = {})
{
    throw base::Error(base::ResultCode::ConfigFileUnreadable, detail, {file, {}});
}

/// Reads at most one byte more than a file may have, so that validation rejects a file that is too large without
/// reading all of it into memory.
std::string readText(const std::filesystem::path &path, const std::string &name)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throwUnreadable("cannot open the file", name);
    }
    std::string text(maxFileBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad()) {
        throwUnreadable("cannot read the file", name);
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    text.shrink_to_fit();
    return text;
}

}

std::vector<ConfigurationFile> readFolder(const std::filesystem::path &folder)
{
    std::error_code error;
    std::filesystem::directory_iterator entries(folder, error);
    if (error) {
        throwUnreadable(folder.string() + ": " + error.message());
    }
    std::vector<ConfigurationFile> files;
    for (const std::filesystem::directory_entry &entry : entries) {
        const std::string name = entry.path().filename().string();
        if (name.starts_with('.')) {
            continue;
        }
        if (!entry.is_regular_file(error)) {
            throwUnreadable("not a regular file", name);
        }
        files.push_back({name, readText(entry.path(), name)});
    }
    std::sort(files.begin(), files.end());
    return files;
}

}
