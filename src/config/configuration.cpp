#include "papayastep/config/configuration.h"

#include <sodium.h>

#include <algorithm>
#include <utility>

namespace papayastep::config {

namespace {

template<typename Entry>
void sortById(std::vector<Entry> &entries)
{
    std::sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) { return a.id < b.id; });
}

template<typename Entry, typename Id>
const Entry *findById(const std::vector<Entry> &entries, const Id &id)
{
    const auto found = std::lower_bound(
        entries.begin(), entries.end(), id, [](const Entry &entry, const Id &wanted) { return entry.id < wanted; });
    return found != entries.end() && found->id == id ? &*found : nullptr;
}

}

Configuration::Configuration(base::Revision revision, Parts parts)
    : m_revision(revision)
    , m_parts(std::move(parts))
{
    sortById(m_parts.workspaces);
    sortById(m_parts.services);
    sortById(m_parts.routes);
    sortById(m_parts.backendServers);
    indexKeys();
    for (const BackendServer &server : m_parts.backendServers) {
        m_serversOf[server.service].push_back(&server);
    }
}

void Configuration::indexKeys()
{
    std::size_t count = 0;
    for (const Workspace &workspace : m_parts.workspaces) {
        count += workspace.keys.size();
    }
    m_keys.reserve(count);
    for (std::uint32_t index = 0; index < m_parts.workspaces.size(); ++index) {
        for (const KeyFingerprint &key : m_parts.workspaces[index].keys) {
            m_keys.push_back({key.prefix(), index});
        }
    }
    std::sort(m_keys.begin(), m_keys.end(), [](const KeyEntry &a, const KeyEntry &b) { return a.prefix < b.prefix; });
}

base::Revision Configuration::revision() const
{
    return m_revision;
}

const std::vector<Workspace> &Configuration::workspaces() const
{
    return m_parts.workspaces;
}

const std::vector<Service> &Configuration::services() const
{
    return m_parts.services;
}

const std::vector<Route> &Configuration::routes() const
{
    return m_parts.routes;
}

const std::vector<BackendServer> &Configuration::backendServers() const
{
    return m_parts.backendServers;
}

const Workspace *Configuration::workspace(const base::WorkspaceId &id) const
{
    return findById(m_parts.workspaces, id);
}

const Service *Configuration::service(const base::ServiceId &id) const
{
    return findById(m_parts.services, id);
}

const Route *Configuration::route(const base::RouteId &id) const
{
    return findById(m_parts.routes, id);
}

const BackendServer *Configuration::backendServer(const base::BackendServerId &id) const
{
    return findById(m_parts.backendServers, id);
}

const Workspace *Configuration::workspaceOfKey(const KeyFingerprint &fingerprint) const
{
    const std::uint64_t prefix = fingerprint.prefix();
    auto entry = std::lower_bound(m_keys.begin(), m_keys.end(), prefix, [](const KeyEntry &key, std::uint64_t wanted) {
        return key.prefix < wanted;
    });
    for (; entry != m_keys.end() && entry->prefix == prefix; ++entry) {
        const Workspace &workspace = m_parts.workspaces[entry->workspace];
        if (std::find(workspace.keys.begin(), workspace.keys.end(), fingerprint) != workspace.keys.end()) {
            return &workspace;
        }
    }
    return nullptr;
}

const std::vector<const BackendServer *> &Configuration::serversOf(const base::ServiceId &service) const
{
    static const std::vector<const BackendServer *> none;
    const auto found = m_serversOf.find(service);
    return found != m_serversOf.end() ? found->second : none;
}

std::vector<base::VmId> Configuration::vmsOf(const base::ServiceId &service) const
{
    std::vector<base::VmId> vms;
    for (const BackendServer *server : serversOf(service)) {
        vms.push_back(server->vm);
    }
    std::sort(vms.begin(), vms.end());
    vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
    return vms;
}

const VmEntry *VmList::find(const base::VmId &id) const
{
    return findById(vms, id);
}

}
