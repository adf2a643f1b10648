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
    : Configuration(revision, publishedOf(std::move(parts)), std::move(parts.backendServers))
{
}

Configuration::Configuration(base::Revision revision,
                             std::shared_ptr<const Published> published,
                             std::vector<BackendServer> servers)
    : m_revision(revision)
    , m_published(std::move(published))
    , m_backendServers(std::move(servers))
{
    sortById(m_backendServers);
    for (const BackendServer &server : m_backendServers) {
        m_serversOf[server.service].push_back(&server);
    }
}

std::shared_ptr<const Configuration::Published> Configuration::publishedOf(Parts &&parts)
{
    auto published = std::make_shared<Published>();
    published->workspaces = std::move(parts.workspaces);
    published->services = std::move(parts.services);
    published->routes = std::move(parts.routes);
    published->limits = parts.limits;
    sortById(published->workspaces);
    sortById(published->services);
    sortById(published->routes);
    published->keys = keysOf(published->workspaces);
    return published;
}

std::vector<Configuration::KeyEntry> Configuration::keysOf(const std::vector<Workspace> &workspaces)
{
    std::size_t count = 0;
    for (const Workspace &workspace : workspaces) {
        count += workspace.keys.size();
    }
    std::vector<KeyEntry> keys;
    keys.reserve(count);
    for (std::uint32_t index = 0; index < workspaces.size(); ++index) {
        for (const KeyFingerprint &key : workspaces[index].keys) {
            keys.push_back({key.prefix(), index});
        }
    }
    std::sort(keys.begin(), keys.end(), [](const KeyEntry &a, const KeyEntry &b) { return a.prefix < b.prefix; });
    return keys;
}

ConfigurationPtr Configuration::withBackendServers(std::vector<BackendServer> servers) const
{
    return ConfigurationPtr(new Configuration(m_revision, m_published, std::move(servers)));
}

base::Revision Configuration::revision() const
{
    return m_revision;
}

const std::vector<Workspace> &Configuration::workspaces() const
{
    return m_published->workspaces;
}

const std::vector<Service> &Configuration::services() const
{
    return m_published->services;
}

const std::vector<Route> &Configuration::routes() const
{
    return m_published->routes;
}

const std::vector<BackendServer> &Configuration::backendServers() const
{
    return m_backendServers;
}

const CallerLimits &Configuration::limits() const
{
    return m_published->limits;
}

const Workspace *Configuration::workspace(const base::WorkspaceId &id) const
{
    return findById(m_published->workspaces, id);
}

const Service *Configuration::service(const base::ServiceId &id) const
{
    return findById(m_published->services, id);
}

const Route *Configuration::route(const base::RouteId &id) const
{
    return findById(m_published->routes, id);
}

const BackendServer *Configuration::backendServer(const base::BackendServerId &id) const
{
    return findById(m_backendServers, id);
}

const Workspace *Configuration::workspaceOfKey(const KeyFingerprint &fingerprint) const
{
    const std::uint64_t prefix = fingerprint.prefix();
    const std::vector<KeyEntry> &keys = m_published->keys;
    auto entry = std::lower_bound(keys.begin(), keys.end(), prefix, [](const KeyEntry &key, std::uint64_t wanted) {
        return key.prefix < wanted;
    });
    for (; entry != keys.end() && entry->prefix == prefix; ++entry) {
        const Workspace &workspace = m_published->workspaces[entry->workspace];
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

bool VmEntry::canHoldTasks() const
{
    return !leaving && !retained;
}

const VmEntry *VmList::find(const base::VmId &id) const
{
    return findById(vms, id);
}

}
