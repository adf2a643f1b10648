#include "merger.h"

namespace papayastep::config {

using base::ResultCode;

void Merger::add(const std::string &file, const nlohmann::json &parsed)
{
    m_fileNames.push_back(file);
    addSection(parsed, m_workspaces);
    addSection(parsed, m_services);
    addSection(parsed, m_routes);
    addSection(parsed, m_backendServers);
    if (const auto limits = parsed.find("limits"); limits != parsed.end()) {
        readLimits(*limits, m_limits, EntryContext(m_errors, m_fileNames.back(), "limits", 0));
    }
}

template<typename Entry>
void Merger::addSection(const nlohmann::json &parsed, Section<Entry> &section)
{
    const auto found = parsed.find(section.name);
    if (found == parsed.end()) {
        return;
    }
    section.entries.reserve(section.entries.size() + found->size());
    std::uint32_t index = 0;
    for (const nlohmann::json &json : *found) {
        if (json.value("override", false)) {
            override(json, section, index);
        } else {
            define(json, section, index);
        }
        ++index;
    }
}

template<typename Entry>
void Merger::define(const nlohmann::json &json, Section<Entry> &section, std::uint32_t index)
{
    const EntryContext context(m_errors, m_fileNames.back(), section.name, index);
    Entry entry;
    for (const std::string_view field : requiredFields(entry)) {
        if (!json.contains(field) && !isReplaced(json, field)) {
            context.fail(ResultCode::ConfigSchema, "", "the field \"" + std::string(field) + "\" is missing");
        }
    }
    readEntry(json, entry, context);
    const std::uint32_t found = section.index.find(entry.id.value(), section.entries);
    if (found != IdIndex<Entry>::none) {
        const Origin first = section.origins[found - 1];
        context.fail(ResultCode::ConfigDuplicate,
                     "id",
                     "\"" + entry.id.value() + "\" is already defined in " + m_fileNames[first.file]
                         + "; to change it, add \"override\": true");
        return;
    }
    section.entries.push_back(std::move(entry));
    section.origins.push_back({currentFile(), index});
    section.index.insertLast(section.entries);
}

template<typename Entry>
void Merger::override(const nlohmann::json &json, Section<Entry> &section, std::uint32_t index)
{
    const EntryContext context(m_errors, m_fileNames.back(), section.name, index);
    const std::uint32_t found = section.index.find(json.at("id").get_ref<const std::string &>(), section.entries);
    if (found == IdIndex<Entry>::none) {
        context.fail(ResultCode::ConfigUnknownReference, "id", "no earlier file defines the entry that this overrides");
        return;
    }
    Origin &origin = section.origins[found - 1];
    if (origin.file == currentFile()) {
        context.fail(ResultCode::ConfigContradiction, "id", "this file already has an entry with the same id");
        return;
    }
    readEntry(json, section.entries[found - 1], context);
    origin = {currentFile(), index};
}

const Section<Workspace> &Merger::workspaces() const
{
    return m_workspaces;
}

const Section<Service> &Merger::services() const
{
    return m_services;
}

const Section<Route> &Merger::routes() const
{
    return m_routes;
}

const Section<BackendServer> &Merger::backendServers() const
{
    return m_backendServers;
}

base::ErrorLocation Merger::locate(std::string_view section, Origin origin, std::string_view field) const
{
    return {m_fileNames[origin.file], entryPointer(section, origin.index, field)};
}

Configuration::Parts Merger::takeParts()
{
    return {std::move(m_workspaces.entries),
            std::move(m_services.entries),
            std::move(m_routes.entries),
            std::move(m_backendServers.entries),
            m_limits};
}

std::uint32_t Merger::currentFile() const
{
    return static_cast<std::uint32_t>(m_fileNames.size() - 1);
}

}
