#pragma once

#include "errorlist.h"

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>

namespace papayastep::config {

/// The location of an entry, by file, section and index. Used to report errors in the fields of the entry.
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

    /// Adds an error for `field`, or for the whole entry if `field` is empty.
    void fail(base::ResultCode code, std::string_view field, const std::string &detail) const;

private:
    ErrorList &m_errors;
    const std::string &m_file;
    std::string_view m_section;
    std::size_t m_index;
};

/// Returns the JSON pointer to `field` of an entry, or to the entry if `field` is empty.
std::string entryPointer(std::string_view section, std::size_t index, std::string_view field);

/// These functions set the fields that are present in `json` and keep the others, so that the same function reads new
/// entries and overrides. They check what the schema cannot express, such as units and formats. `json` must already
/// match the schema.
void readEntry(const nlohmann::json &json, Workspace &into, const EntryContext &context);
void readEntry(const nlohmann::json &json, Service &into, const EntryContext &context);
void readEntry(const nlohmann::json &json, Route &into, const EntryContext &context);
void readEntry(const nlohmann::json &json, BackendServer &into, const EntryContext &context);

/// Reads the object "limits" of a file. Fields that it does not contain keep their values.
void readLimits(const nlohmann::json &json, CallerLimits &into, const EntryContext &context);

/// Whether another field of `json` replaces the required `field`: "unlimited" replaces "rate" and "burst", and "split"
/// replaces "service".
bool isReplaced(const nlohmann::json &json, std::string_view field);

/// Returns the fields that an entry must have unless it is an override.
std::span<const std::string_view> requiredFields(const Workspace &);
std::span<const std::string_view> requiredFields(const Service &);
std::span<const std::string_view> requiredFields(const Route &);
std::span<const std::string_view> requiredFields(const BackendServer &);

/// Whether `name` is a valid identifier. It may contain only letters, digits, '.', '_' and '-', so that it is safe in
/// logs, URLs and headers.
bool isValidIdentifier(const std::string &name);

}
