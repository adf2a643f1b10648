#include "papayastep/membership/peerrepair.h"

#include "papayastep/base/log.h"
#include "papayastep/membership/configdistributor.h"

#include <algorithm>
#include <utility>

namespace papayastep::membership {

namespace {

constexpr std::string_view logPrefix = "membership";

std::int64_t milliseconds(base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

PeerRepair::PeerRepair(const DistributionSettings &settings)
    : m_settings(settings)
{
}

void PeerRepair::noteAhead(const base::VmId &peer, std::uint64_t version, base::TimePoint now)
{
    if (m_ahead.empty() && !m_pull) {
        m_notBefore = now + m_settings.pullDelay;
    }
    if (m_ahead.size() < maxPeers || m_ahead.contains(peer)) {
        std::uint64_t &known = m_ahead[peer].version;
        known = std::max(known, version);
    }
}

void PeerRepair::noteProgress(const base::VmId &peer, base::TimePoint now)
{
    if (m_pull && m_pull->peer == peer) {
        m_pull->deadline = now + m_settings.pullTimeout;
    }
}

void PeerRepair::noteAnswered(const base::VmId &peer, base::TimePoint now)
{
    if (m_pull && m_pull->peer == peer) {
        m_pull.reset();
        m_notBefore = now + m_settings.pullDelay;
    }
}

void PeerRepair::noteDeclined(const base::VmId &peer, base::TimePoint now)
{
    if (!m_pull || m_pull->peer != peer) {
        return;
    }
    ++m_counts.declined;
    m_pull.reset();
    m_notBefore = now;
    const auto ahead = m_ahead.find(peer);
    if (ahead != m_ahead.end()) {
        ahead->second.notBefore = now + m_settings.retryDelayAfterDecline;
    }
}

void PeerRepair::noteHeldVersion(std::uint64_t have)
{
    std::erase_if(m_ahead, [have](const auto &entry) { return entry.second.version <= have; });
    m_pull.reset();
}

std::optional<base::VmId> PeerRepair::due(base::TimePoint now, base::Duration timeout)
{
    if (m_pull && now >= m_pull->deadline) {
        dropSilentPeer(now);
    }
    if (m_pull || now < m_notBefore) {
        return std::nullopt;
    }
    std::optional<base::VmId> peer = newestPeerToAsk(now);
    if (peer) {
        ++m_counts.asked;
        m_pull = Pull{*peer, now, now + timeout};
    }
    return peer;
}

void PeerRepair::dropSilentPeer(base::TimePoint now)
{
    ++m_counts.unanswered;
    PAPAYASTEP_LOG(WARNING, logPrefix) << "A peer did not answer a request in time." << base::field("vm", m_pull->peer)
                                       << base::field("waitedMs", milliseconds(now - m_pull->askedAt));
    m_ahead.erase(m_pull->peer);
    m_silentPeers.push_back(m_pull->peer);
    m_pull.reset();
}

std::vector<base::VmId> PeerRepair::takeSilentPeers()
{
    return std::exchange(m_silentPeers, {});
}

std::optional<base::VmId> PeerRepair::newestPeerToAsk(base::TimePoint now) const
{
    std::optional<base::VmId> newest;
    std::uint64_t version = 0;
    for (const auto &[peer, ahead] : m_ahead) {
        if (now >= ahead.notBefore && ahead.version > version) {
            newest = peer;
            version = ahead.version;
        }
    }
    return newest;
}

std::optional<base::TimePoint> PeerRepair::nextDue() const
{
    if (m_pull) {
        return m_pull->deadline;
    }
    if (m_ahead.empty()) {
        return std::nullopt;
    }
    const auto first = std::min_element(m_ahead.begin(), m_ahead.end(), [](const auto &a, const auto &b) {
        return a.second.notBefore < b.second.notBefore;
    });
    return std::max(m_notBefore, first->second.notBefore);
}

const PeerRepair::Counts &PeerRepair::counts() const
{
    return m_counts;
}

}
