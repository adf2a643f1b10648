#include "sharemap.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <cmath>

namespace papayastep::limits {

namespace {

constexpr double minTokensPerShare = 2; ///< Smallest burst of a share if a workspace has several.

}

ShareMap::ShareMap(const config::Configuration &configuration)
{
    for (const config::BackendServer &server : configuration.backendServers()) {
        m_zones.push_back(server.zone);
    }
    std::sort(m_zones.begin(), m_zones.end());
    m_zones.erase(std::unique(m_zones.begin(), m_zones.end()), m_zones.end());
}

std::size_t ShareMap::shareCount(const config::Workspace &workspace) const
{
    const double most = std::max(1.0, std::floor(std::min(workspace.burst, maxWholeTokens) / minTokensPerShare));
    return std::min(m_zones.size(), static_cast<std::size_t>(most));
}

std::vector<base::ZoneId> ShareMap::zonesOf(const config::Workspace &workspace) const
{
    const std::size_t count = shareCount(workspace);
    std::vector<base::ZoneId> zones = m_zones;
    if (zones.size() <= count) {
        return zones;
    }
    const std::string &name = workspace.id.value();
    std::sort(zones.begin(), zones.end(), [&name](const base::ZoneId &a, const base::ZoneId &b) {
        return base::rendezvousWeight(name, a.value()) > base::rendezvousWeight(name, b.value());
    });
    zones.resize(count);
    std::sort(zones.begin(), zones.end());
    return zones;
}

double ShareMap::fraction(const config::Workspace &workspace, const base::ZoneId &zone) const
{
    const std::vector<base::ZoneId> zones = zonesOf(workspace);
    const bool present = std::binary_search(zones.begin(), zones.end(), zone);
    return present ? 1.0 / static_cast<double>(zones.size()) : 0;
}

const std::vector<base::ZoneId> &ShareMap::zones() const
{
    return m_zones;
}

ShareTerms termsOf(const config::Workspace &workspace, double fraction, double driftBound)
{
    const auto part = [fraction](Tokens whole) { return static_cast<Tokens>(static_cast<double>(whole) * fraction); };
    const double safeRate = workspace.rate * (1 - driftBound);
    return ShareTerms{part(tokensOf(safeRate)), part(tokensOf(workspace.burst))};
}

base::VmId holderOf(const base::WorkspaceId &workspace, const base::ZoneId &zone, const config::VmList &list)
{
    base::VmId holder;
    std::uint64_t greatest = 0;
    for (const config::VmEntry &vm : list.vms) {
        if (vm.zone != zone || !vm.canHoldTasks()) {
            continue;
        }
        const std::uint64_t weight = base::rendezvousWeight(workspace.value(), vm.id.value());
        if (holder.empty() || weight > greatest) {
            holder = vm.id;
            greatest = weight;
        }
    }
    return holder;
}

}
