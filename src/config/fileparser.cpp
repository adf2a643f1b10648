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

/// The keys seen in one object, as hashes: most objects have a handful, and there are hundreds of thousands of them.
class KeySet
{
public:
    /// Whether `key` is new. Remembers it.
    bool insert(std::string_view key)
    {
        const std::uint64_t hash = base::stableHash(key);
        if (m_few.size() < manyKeys) {
            if (std::find(m_few.begin(), m_few.end(), hash) != m_few.end()) {
                return false;
            }
            m_few.push_back(hash);
            return true;
        }
        return std::find(m_few.begin(), m_few.end(), hash) == m_few.end() && m_many.insert(hash).second;
    }
    void clear()
    {
        m_few.clear();
        m_many.clear();
    }

private:
    static constexpr std::size_t manyKeys = 16;

    std::vector<std::uint64_t> m_few;
    std::unordered_set<std::uint64_t> m_many;
};

/// Walks a text for keys that stand twice in one object, before it is parsed. JSON libraries keep the last one
/// silently, so an operator who pastes a second "rate" would see the first in the file and the other one in force.
/// A pass of its own takes half the time of the library's parser with a callback.
class DuplicateKeyWatch final : public nlohmann::json_sax<json>
{
public:
    DuplicateKeyWatch(const std::string &file, ErrorList &errors)
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
        return enter(false);
    }
    bool start_array(std::size_t) override
    {
        return enter(true);
    }
    bool end_object() override
    {
        return leave();
    }
    bool end_array() override
    {
        return leave();
    }
    bool key(string_t &key) override
    {
        Level &level = m_levels[m_depth - 1];
        level.key = key;
        if (!level.keys.insert(key)) {
            m_errors.add(base::ResultCode::ConfigDuplicate, "the key stands twice in one object", {m_file, pointer()});
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

    bool enter(bool isArray)
    {
        if (m_depth == maxDepth) {
            m_errors.add(base::ResultCode::ConfigSchema, "nested too deeply", {m_file, pointer()});
            return false;
        }
        Level &level = m_levels[m_depth++];
        level.isArray = isArray;
        level.index = 0;
        level.keys.clear();
        return true;
    }

    bool leave()
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
    std::array<Level, maxDepth> m_levels; ///< Reused, so that a key costs no allocation.
    std::size_t m_depth = 0;
};

std::optional<json> parseText(const ConfigurationFile &file, ErrorList &errors)
{
    const std::size_t before = errors.size();
    DuplicateKeyWatch watch(file.name, errors);
    if (!json::sax_parse(file.text, &watch) || errors.size() != before) {
        return std::nullopt;
    }
    return json::parse(file.text);
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
