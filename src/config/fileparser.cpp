#include "fileparser.h"

#include <algorithm>
#include <set>

namespace papayastep::config {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxDepth = 16;
constexpr std::string_view suffix = ".json";

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
}

/// A name becomes part of a URL and of log lines, and its order decides the merge.
bool isGoodName(const std::string &name)
{
    return name.size() > suffix.size() && name.size() <= maxNameBytes && name.ends_with(suffix) && name.front() != '.'
        && name.front() != '-' && std::all_of(name.begin(), name.end(), isNameCharacter);
}

/// Watches the parser for keys that stand twice in one object. JSON libraries keep the last one silently, so an
/// operator who pastes a second "rate" would see the first in the file and the other one in force.
class DuplicateKeyWatch
{
public:
    DuplicateKeyWatch(const std::string &file, ErrorList &errors)
        : m_file(file)
        , m_errors(errors)
    {
    }

    bool operator()(json::parse_event_t event, const json &parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            enter(event == json::parse_event_t::array_start);
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            m_levels.pop_back();
            finishValue();
            break;
        case json::parse_event_t::key:
            noteKey(parsed.get_ref<const std::string &>());
            break;
        case json::parse_event_t::value:
            finishValue();
            break;
        }
        return true;
    }

private:
    struct Level
    {
        bool isArray = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void enter(bool isArray)
    {
        if (m_levels.size() == maxDepth) {
            throw base::Error(base::ResultCode::ConfigSchema, "nested too deeply", {m_file, pointer()});
        }
        m_levels.push_back(Level{isArray, 0, {}, {}});
    }

    void noteKey(const std::string &key)
    {
        Level &level = m_levels.back();
        level.key = key;
        if (!level.keys.insert(key).second) {
            m_errors.add(base::ResultCode::ConfigDuplicate, "the key stands twice in one object", {m_file, pointer()});
        }
    }

    void finishValue()
    {
        if (!m_levels.empty() && m_levels.back().isArray) {
            ++m_levels.back().index;
        }
    }

    std::string pointer() const
    {
        json::json_pointer path;
        for (const Level &level : m_levels) {
            path = level.isArray ? path / level.index : path / level.key;
        }
        return path.to_string();
    }

    const std::string &m_file;
    ErrorList &m_errors;
    std::vector<Level> m_levels;
};

std::optional<json> parseText(const ConfigurationFile &file, ErrorList &errors)
{
    DuplicateKeyWatch watch(file.name, errors);
    const std::size_t before = errors.size();
    try {
        json parsed = json::parse(
            file.text, [&watch](int, json::parse_event_t event, const json &value) { return watch(event, value); });
        if (errors.size() == before) {
            return parsed;
        }
    } catch (const json::out_of_range &error) {
        errors.add(base::ResultCode::ConfigOutOfRange, error.what(), {file.name, {}});
    } catch (const json::exception &error) {
        errors.add(base::ResultCode::ConfigNotJson, error.what(), {file.name, {}});
    } catch (const base::Error &error) {
        errors.add(error.code(), error.detail(), error.location());
    }
    return std::nullopt;
}

}

std::optional<json> parseFile(const ConfigurationFile &file, ErrorList &errors)
{
    if (!isGoodName(file.name)) {
        errors.add(base::ResultCode::ConfigFileName,
                   "use letters, digits, '.', '_' and '-', at most 128 of them, and the ending .json",
                   {file.name, {}});
        return std::nullopt;
    }
    if (file.text.size() > maxFileBytes) {
        errors.add(base::ResultCode::ConfigValueTooLarge,
                   "the platform holds at most " + std::to_string(maxFileBytes) + " bytes; split the file",
                   {file.name, {}});
        return std::nullopt;
    }
    return parseText(file, errors);
}

}
