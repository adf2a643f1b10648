#include "papayastep/membership/pushtree.h"

#include "papayastep/membership/configdistributor.h"

#include <algorithm>
#include <iterator>

namespace papayastep::membership {

PushTree::PushTree(base::VmId self,
                   base::ZoneId zone,
                   const VmDirectory &directory,
                   const DistributionSettings &settings)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_directory(directory)
    , m_settings(settings)
{
}

std::vector<wire::Outgoing> PushTree::push(wire::MessageKind kind,
                                           TransferContent content,
                                           std::uint64_t version,
                                           const std::string &bytes) const
{
    std::vector<wire::Outgoing> messages = messagesForPeers(
        children(m_self, version), kind, splitTransfer(content, version, m_self, bytes, m_settings.partBytes));
    const std::vector<std::string> parts = splitTransfer(content, version, base::VmId(), bytes, m_settings.partBytes);
    for (const base::ZoneId &zone : m_directory.activeZones()) {
        if (zone == m_zone) {
            continue;
        }
        const auto readers = readersOfZone(m_directory, zone, m_settings.readersPerZone);
        std::vector<wire::Outgoing> zoneMessages = messagesForPeers(readers, kind, parts);
        std::move(zoneMessages.begin(), zoneMessages.end(), std::back_inserter(messages));
    }
    return messages;
}

std::vector<wire::Outgoing> PushTree::forward(wire::MessageKind kind, const CompletedTransfer &transfer) const
{
    if (transfer.treeRoot.empty() || transfer.treeRoot == m_self) {
        return {};
    }
    return messagesForPeers(children(transfer.treeRoot, transfer.version), kind, transfer.payloads);
}

std::vector<base::VmId> PushTree::children(const base::VmId &root, std::uint64_t version) const
{
    return treeChildren(m_directory.activeVmsInZone(m_zone), root, version, m_self, m_settings.treeFanOut);
}

std::vector<wire::Outgoing> messagesForPeers(const std::vector<base::VmId> &peers,
                                             wire::MessageKind kind,
                                             const std::vector<std::string> &parts)
{
    std::vector<wire::Outgoing> messages;
    for (const base::VmId &peer : peers) {
        for (const std::string &part : parts) {
            messages.push_back({peer, kind, part});
        }
    }
    return messages;
}

}
