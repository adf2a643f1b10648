#include "fileparser.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_set>

namespace papayastep::config {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxDepth = 16; ///< Maximum nesting depth of objects and arrays.
constexpr std::string_view suffix = ".json";

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
}

/// Whether `name` is a valid file name. Names are used in URLs and log lines, and files are merged in the order of
/// their names.
bool isValidFileName(const std::string &name)
{
    return name.size() > suffix.size() && name.size() <= maxNameBytes && name.ends_with(suffix) && name.front() != '.'
        && name.front() != '-' && std::all_of(name.begin(), name.end(), isNameCharacter);
}

/// The keys of one object, as hashes. A large configuration has hundreds of thousands of objects, most of them with a
/// handful of keys, so the first keys are kept in a vector and only further ones in a hash set.
class KeySet
{
public:
    /// Adds `key` and returns whether it is new.
    bool insert(std::string_view key)
    {
        const std::uint64_t hash = base::stableHash(key);
        if (m_listedKeys.size() < maxListedKeys) {
            if (std::find(m_listedKeys.begin(), m_listedKeys.end(), hash) != m_listedKeys.end()) {
                return false;
            }
            m_listedKeys.push_back(hash);
            return true;
        }
        return std::find(m_listedKeys.begin(), m_listedKeys.end(), hash) == m_listedKeys.end()
            && m_furtherKeys.insert(hash).second;
    }
    void clear()
    {
        m_listedKeys.clear();
        m_furtherKeys.clear();
    }

private:
    static constexpr std::size_t maxListedKeys = 16;

    std::vector<std::uint64_t> m_listedKeys;
    std::unordered_set<std::uint64_t> m_furtherKeys;
};

/// Checks a text for keys that occur twice in one object, before it is parsed. JSON libraries silently keep the last
/// one, so an operator who pastes a second "rate" would see the first one in the file while the second one is in force.
/// A separate pass takes half the time of the library's parser with a callback.
class DuplicateKeyChecker final : public nlohmann::json_sax<json>
{
public:
    DuplicateKeyChecker(const std::string &file, ErrorList &errors)
        : m_file(file)
        , m_errors(errors)
    {
    }

    bool null() override
    {
        return finishValue();
    }
    bool boolean(bool) override
    {
        return finishValue();
    }
    bool number_integer(number_integer_t) override
    {
        return finishValue();
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return finishValue();
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return finishValue();
    }
    bool string(string_t &) override
    {
        return finishValue();
    }
    bool binary(binary_t &) override
    {
        return finishValue();
    }
    bool start_object(std::size_t) override
    {
        return enterContainer(false);
    }
    bool start_array(std::size_t) override
    {
        return enterContainer(true);
    }
    bool end_object() override
    {
        return leaveContainer();
    }
    bool end_array() override
    {
        return leaveContainer();
    }
    bool key(string_t &key) override
    {
        Level &level = m_levels[m_depth - 1];
        level.key = key;
        if (!level.keys.insert(key)) {
            m_errors.add(base::ResultCode::ConfigDuplicate, "the key occurs twice in one object", {m_file, pointer()});
        }
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &error) override
    {
        const bool isNumber = dynamic_cast<const json::out_of_range *>(&error) != nullptr;
        m_errors.add(isNumber ? base::ResultCode::ConfigOutOfRange : base::ResultCode::ConfigNotJson,
                     error.what(),
                     {m_file, {}});
        return false;
    }

private:
    struct Level
    {
        bool isArray = false;
        std::size_t index = 0;
        std::string key;
        KeySet keys;
    };

    bool enterContainer(bool isArray)
    {
        if (m_depth == maxDepth) {
            m_errors.add(base::ResultCode::ConfigSchema,
                         "objects and arrays are nested more than 16 levels deep",
                         {m_file, pointer()});
            return false;
        }
        Level &level = m_levels[m_depth++];
        level.isArray = isArray;
        level.index = 0;
        level.keys.clear();
        return true;
    }

    bool leaveContainer()
    {
        --m_depth;
        return finishValue();
    }

    bool finishValue()
    {
        if (m_depth > 0 && m_levels[m_depth - 1].isArray) {
            ++m_levels[m_depth - 1].index;
        }
        return true;
    }

    std::string pointer() const
    {
        json::json_pointer path;
        for (std::size_t depth = 0; depth < m_depth; ++depth) {
            const Level &level = m_levels[depth];
            path = level.isArray ? path / level.index : path / level.key;
        }
        return path.to_string();
    }

    const std::string &m_file;
    ErrorList &m_errors;
    std::array<Level, maxDepth> m_levels; ///< Reused for all objects, so that a key needs no allocation.
    std::size_t m_depth = 0;
};

std::optional<json> parseText(const ConfigurationFile &file, ErrorList &errors)
{
    const std::size_t before = errors.size();
    DuplicateKeyChecker checker(file.name, errors);
    if (!json::sax_parse(file.text, &checker) || errors.size() != before) {
        return std::nullopt;
    }
    return json::parse(file.text);
}

}

std::optional<json> parseFile(const ConfigurationFile &file, ErrorList &errors)
{
    if (!isValidFileName(file.name)) {
        errors.add(base::ResultCode::ConfigFileName,
                   "a file name must end in .json and have at most 128 characters: letters, digits, '.', '_' and '-'",
                   {file.name, {}});
        return std::nullopt;
    }
    if (file.text.size() > maxFileBytes) {
        errors.add(base::ResultCode::ConfigValueTooLarge,
                   "the platform stores at most " + std::to_string(maxFileBytes) + " bytes per file; split the file",
                   {file.name, {}});
        return std::nullopt;
    }
    return parseText(file, errors);
}

}
