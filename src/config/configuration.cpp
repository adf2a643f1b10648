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
    for (std::size_t index = 0; index < m_parts.workspaces.size(); ++index) {
        for (const KeyFingerprint &key : m_parts.workspaces[index].keys) {
            m_workspaceOfKey.emplace(key, index);
        }
    }
    for (const BackendServer &server : m_parts.backendServers) {
        m_serversOf[server.service].push_back(&server);
    }
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
    const auto found = m_workspaceOfKey.find(fingerprint);
    return found != m_workspaceOfKey.end() ? &m_parts.workspaces[found->second] : nullptr;
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

KeyFingerprint fingerprintOf(const std::string &key)
{
    unsigned char digest[crypto_hash_sha256_BYTES];
    crypto_hash_sha256(digest, reinterpret_cast<const unsigned char *>(key.data()), key.size());
    KeyFingerprint hex(2 * sizeof(digest) + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest, sizeof(digest));
    hex.pop_back();
    return hex;
}

}
