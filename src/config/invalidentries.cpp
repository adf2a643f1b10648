#include "invalidentries.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <map>
#include <optional>

namespace papayastep::config {

namespace {

using nlohmann::json;

/// The position of an entry in a file: an element of a section, or a field of the limits.
struct EntryPosition
{
    std::string section;
    std::size_t index = 0;
    std::string field;

    auto operator<=>(const EntryPosition &) const = default;
};

using InvalidEntries = std::map<EntryPosition, const base::Error *>;

std::vector<std::string> partsOf(const std::string &pointer)
{
    std::vector<std::string> parts;
    for (json::json_pointer rest(pointer); !rest.empty(); rest.pop_back()) {
        parts.insert(parts.begin(), rest.back());
    }
    return parts;
}

std::optional<std::size_t> indexOf(const std::string &text)
{
    std::size_t index = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, index);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(index) : std::nullopt;
}

/// Returns the position of the entry in which the error at `pointer` lies; nothing if it lies in none.
std::optional<EntryPosition> positionOf(const json &document, const std::string &pointer)
{
    const std::vector<std::string> parts = partsOf(pointer);
    if (parts.size() < 2 || !document.is_object() || !document.contains(parts[0])) {
        return std::nullopt;
    }
    const json &section = document.at(parts[0]);
    if (section.is_object() && section.contains(parts.back())) {
        return EntryPosition{parts[0], 0, parts.back()};
    }
    const auto index = indexOf(parts[1]);
    const bool isEntry = section.is_array() && index && *index < section.size();
    return isEntry ? std::optional(EntryPosition{parts[0], *index, {}}) : std::nullopt;
}

std::string idOf(const json &document, const EntryPosition &position)
{
    if (!position.field.empty()) {
        return position.field;
    }
    const json &entry = document.at(position.section).at(position.index);
    const bool hasId = entry.is_object() && entry.contains("id") && entry.at("id").is_string();
    return hasId ? entry.at("id").get<std::string>() : std::string();
}

/// Removes the entry at `position`. Of a service its id stays, so that the routes to it remain valid: all its settings
/// have defaults. If the id is what is invalid, it is removed the next time.
void removeEntry(json &section, const EntryPosition &position)
{
    json &entry = section.at(position.index);
    const bool hasOtherFields = entry.is_object() && entry.contains("id") && entry.size() > 1;
    if (position.section == "services" && hasOtherFields) {
        entry = json{{"id", entry.at("id")}};
    } else {
        section.erase(position.index);
    }
}

std::vector<SkippedEntry> removeFrom(ConfigurationFile &file, const std::vector<const base::Error *> &errors)
{
    const json document = json::parse(file.text, nullptr, false);
    if (document.is_discarded()) {
        return {};
    }
    InvalidEntries invalid;
    for (const base::Error *error : errors) {
        if (const auto position = positionOf(document, error->location().pointer)) {
            invalid.emplace(*position, error);
        }
    }
    std::vector<SkippedEntry> skipped;
    json remaining = document;
    // From the last entry to the first, so that the indices of the others stay valid.
    for (auto entry = invalid.rbegin(); entry != invalid.rend(); ++entry) {
        const auto &[position, error] = *entry;
        skipped.push_back({position.section, idOf(document, position), error->code(), error->detail()});
        if (position.field.empty()) {
            removeEntry(remaining.at(position.section), position);
        } else {
            remaining.at(position.section).erase(position.field);
        }
    }
    if (!invalid.empty()) {
        file.text = remaining.dump();
    }
    return skipped;
}

}

std::vector<SkippedEntry> removeInvalidEntries(std::vector<ConfigurationFile> &files,
                                               const std::vector<base::Error> &errors)
{
    std::map<std::string, std::vector<const base::Error *>> errorsOf;
    for (const base::Error &error : errors) {
        errorsOf[error.location().file].push_back(&error);
    }
    std::vector<SkippedEntry> skipped;
    for (ConfigurationFile &file : files) {
        const auto found = errorsOf.find(file.name);
        if (found != errorsOf.end()) {
            for (SkippedEntry &entry : removeFrom(file, found->second)) {
                skipped.push_back(std::move(entry));
            }
        }
    }
    return skipped;
}

}
