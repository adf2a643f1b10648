#pragma once

#include "entryreader.h"
#include "errorlist.h"
#include "idindex.h"

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace papayastep::config {

/// Where the last word on an entry stands.
struct Origin
{
    std::uint32_t file = 0; ///< Index into the names of the files.
    std::uint32_t index = 0; ///< Of the entry within its section of that file.
};

/// The entries of one kind, merged so far.
template<typename Entry>
struct Section
{
    std::string_view name;
    std::vector<Entry> entries;
    std::vector<Origin> origins; ///< One for each entry.
    IdIndex<Entry> index;

    const Entry *find(const std::string &id) const
    {
        const std::uint32_t found = index.find(id, entries);
        return found != IdIndex<Entry>::none ? &entries[found - 1] : nullptr;
    }
};

/// Merges parsed files in the order in which they are added. An id may be defined once; a later file changes an
/// entry only with `"override": true`, which replaces the fields that it names and leaves the others.
class Merger
{
public:
    explicit Merger(ErrorList &errors)
        : m_errors(errors)
    {
    }

    /// `parsed` has passed the schema.
    void add(const std::string &file, const nlohmann::json &parsed);

    const Section<Workspace> &workspaces() const;
    const Section<Service> &services() const;
    const Section<Route> &routes() const;
    const Section<BackendServer> &backendServers() const;

    base::ErrorLocation locate(std::string_view section, Origin origin, std::string_view field) const;

    /// Moves the merged entries out.
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
    std::vector<std::string> m_files;
    Section<Workspace> m_workspaces{"workspaces", {}, {}, {}};
    Section<Service> m_services{"services", {}, {}, {}};
    Section<Route> m_routes{"routes", {}, {}, {}};
    Section<BackendServer> m_backendServers{"backendServers", {}, {}, {}};
    CallerLimits m_limits;
};

}
