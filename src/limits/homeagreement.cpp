#include "papayastep/limits/homeagreement.h"

#include <algorithm>

namespace papayastep::limits {

HomeAgreement::HomeAgreement(const base::Clock &clock, HomeAgreementSettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

void HomeAgreement::setOwnMembers(std::uint64_t members)
{
    m_ownMembers = members;
    for (auto &[vm, peer] : m_peers) {
        compare(peer);
    }
}

void HomeAgreement::recordMembers(const base::VmId &vm, std::uint64_t members)
{
    if (members == 0) {
        return;
    }
    const auto [place, isNew] = m_peers.try_emplace(vm);
    if (isNew || place->second.members != members) {
        place->second.members = members;
        compare(place->second);
    }
}

void HomeAgreement::compare(Peer &peer)
{
    const bool differs = peer.members != m_ownMembers;
    if (differs && !peer.differsSince) {
        peer.differsSince = m_clock.now();
        ++m_differing;
    } else if (!differs && peer.differsSince) {
        peer.differsSince.reset();
        peer.claims.clear();
        --m_differing;
    }
}

void HomeAgreement::recordAccepted(const base::VmId &vm, const base::WorkspaceId &workspace)
{
    recordDenied(vm, workspace, {});
}

void HomeAgreement::recordDenied(const base::VmId &vm, const base::WorkspaceId &workspace, const base::VmId &home)
{
    const auto peer = m_peers.find(vm);
    if (peer != m_peers.end() && peer->second.differsSince) {
        peer->second.claims[workspace].deniedFor = home;
    }
}

base::VmId HomeAgreement::namedHome(const base::WorkspaceId &workspace, std::size_t nodes) const
{
    std::map<base::VmId, std::size_t> named;
    for (const auto &[vm, peer] : m_peers) {
        const auto claim = peer.claims.find(workspace);
        if (claim == peer.claims.end() || claim->second.deniedFor.empty()) {
            continue;
        }
        if (2 * ++named[claim->second.deniedFor] > nodes) {
            return claim->second.deniedFor;
        }
    }
    return {};
}

bool HomeAgreement::isDenied(const base::VmId &vm, const base::WorkspaceId &workspace) const
{
    const auto peer = m_peers.find(vm);
    if (peer == m_peers.end()) {
        return false;
    }
    const auto claim = peer->second.claims.find(workspace);
    return claim != peer->second.claims.end() && !claim->second.deniedFor.empty();
}

bool HomeAgreement::startClaim(const base::VmId &vm, const base::WorkspaceId &workspace, bool hasJustStarted)
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end() || !found->second.differsSince) {
        return false;
    }
    Peer &peer = found->second;
    const base::TimePoint now = m_clock.now();
    if (!hasJustStarted && now - *peer.differsSince < m_settings.changeTime) {
        return false;
    }
    Claim &claim = peer.claims[workspace];
    if (!isDueAgain(claim, peer)) {
        return false;
    }
    claim.askedAt = now;
    claim.askedOfMembers = peer.members;
    return true;
}

bool HomeAgreement::isDueAgain(const Claim &claim, const Peer &peer) const
{
    return !claim.askedAt || claim.askedOfMembers != peer.members
        || m_clock.now() - *claim.askedAt >= m_settings.claimInterval;
}

std::size_t HomeAgreement::differing() const
{
    return m_differing;
}

void HomeAgreement::keepOnly(const std::vector<base::VmId> &vms)
{
    std::erase_if(m_peers, [&](const auto &entry) { return !std::binary_search(vms.begin(), vms.end(), entry.first); });
    m_differing = static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.differsSince.has_value(); }));
}

}
