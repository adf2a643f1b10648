#pragma once

#include "entryreader.h"
#include "errorlist.h"
#include "idindex.h"

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace papayastep::config {

/// The location of the definition of an entry, or of its last override.
struct Origin
{
    std::uint32_t file = 0; ///< Index into the names of the merged files.
    std::uint32_t index = 0; ///< Index of the entry within its section of the file.
};

/// The entries of one kind that have been merged so far.
template<typename Entry>
struct Section
{
    std::string_view name;
    std::vector<Entry> entries;
    std::vector<Origin> origins; ///< One origin for each entry, in the same order.
    IdIndex<Entry> index;

    /// Returns the entry with `id`, or null.
    const Entry *find(const std::string &id) const
    {
        const std::uint32_t found = index.find(id, entries);
        return found != IdIndex<Entry>::none ? &entries[found - 1] : nullptr;
    }
};

/// Merges parsed files in the order in which they are added. An id may be defined only once. A later file can change an
/// entry only with `"override": true`, which replaces the fields that it contains and keeps the others.
class Merger
{
public:
    explicit Merger(ErrorList &errors)
        : m_errors(errors)
    {
    }

    /// Merges the file `file`, whose content `parsed` must already match the schema.
    void add(const std::string &file, const nlohmann::json &parsed);

    const Section<Workspace> &workspaces() const;
    const Section<Service> &services() const;
    const Section<Route> &routes() const;
    const Section<BackendServer> &backendServers() const;

    /// Returns the file and JSON pointer of `field` of the entry at `origin`, or of the entry if `field` is empty.
    base::ErrorLocation locate(std::string_view section, Origin origin, std::string_view field) const;

    /// Moves the merged entries out of the merger.
    Configuration::Parts takeParts();

private:
    template<typename Entry>
    void addSection(const nlohmann::json &parsed, Section<Entry> &section);
    template<typename Entry>
    void define(const nlohmann::json &json, Section<Entry> &section, std::uint32_t index);
    template<typename Entry>
    void override(const nlohmann::json &json, Section<Entry> &section, std::uint32_t index);

    std::uint32_t currentFile() const;

    ErrorList &m_errors;
    std::vector<std::string> m_fileNames;
    Section<Workspace> m_workspaces{"workspaces", {}, {}, {}};
    Section<Service> m_services{"services", {}, {}, {}};
    Section<Route> m_routes{"routes", {}, {}, {}};
    Section<BackendServer> m_backendServers{"backendServers", {}, {}, {}};
    CallerLimits m_limits;
};

}
