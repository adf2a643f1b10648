#pragma once

#include "errorlist.h"

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>

namespace papayastep::config {

/// Where an entry stands, by its fields; and the way to say that one of them is wrong.
class EntryContext
{
public:
    EntryContext(ErrorList &errors, const std::string &file, std::string_view section, std::size_t index)
        : m_errors(errors)
        , m_file(file)
        , m_section(section)
        , m_index(index)
    {
    }

    void fail(base::ResultCode code, std::string_view field, const std::string &detail) const;

private:
    ErrorList &m_errors;
    const std::string &m_file;
    std::string_view m_section;
    std::size_t m_index;
};

/// JSON pointer to `field` of an entry, or to the entry where `field` is empty.
std::string entryPointer(std::string_view section, std::size_t index, std::string_view field);

/// Each sets the fields that stand in `json` and leaves the others, so that the same function reads a new entry and
/// an override. What the schema can't say (units, formats) is checked here. `json` has passed the schema.
void readEntry(const nlohmann::json &json, Workspace &into, const EntryContext &context);
void readEntry(const nlohmann::json &json, Service &into, const EntryContext &context);
void readEntry(const nlohmann::json &json, Route &into, const EntryContext &context);
void readEntry(const nlohmann::json &json, BackendServer &into, const EntryContext &context);

/// The object "limits" of a file; fields that it does not name are left.
void readLimits(const nlohmann::json &json, CallerLimits &into, const EntryContext &context);

/// Whether another field of `json` makes the required `field` needless.
bool isReplaced(const nlohmann::json &json, std::string_view field);

/// Fields that an entry must name unless it is an override.
std::span<const std::string_view> requiredFields(const Workspace &);
std::span<const std::string_view> requiredFields(const Service &);
std::span<const std::string_view> requiredFields(const Route &);
std::span<const std::string_view> requiredFields(const BackendServer &);

/// Whether `name` may name a thing: letters, digits, '.', '_' and '-', so that it is safe in logs, URLs and headers.
bool isGoodIdentifier(const std::string &name);

}
