#pragma once

#include "papayastep/membership/distributiontree.h"
#include "papayastep/membership/transfer.h"
#include "papayastep/wire/message.h"

#include <string>
#include <vector>

namespace papayastep::membership {

struct DistributionSettings;

/// Selects the peers to which a node pushes a change and those to which it forwards a push: along a tree over the own
/// availability zone, and to the readers of the other zones, which do the same there.
class PushTree
{
public:
    /// `directory` and `settings` must outlive this object.
    PushTree(base::VmId self, base::ZoneId zone, const VmDirectory &directory, const DistributionSettings &settings);

    std::vector<wire::Outgoing> push(wire::MessageKind kind,
                                     TransferContent content,
                                     std::uint64_t version,
                                     const std::string &bytes) const;
    std::vector<wire::Outgoing> forward(wire::MessageKind kind, const CompletedTransfer &transfer) const;

private:
    std::vector<base::VmId> children(const base::VmId &root, std::uint64_t version) const;

    const base::VmId m_self;
    const base::ZoneId m_zone;
    const VmDirectory &m_directory;
    const DistributionSettings &m_settings;
};

/// Returns the messages that send every part to every peer.
std::vector<wire::Outgoing> messagesForPeers(const std::vector<base::VmId> &peers,
                                             wire::MessageKind kind,
                                             const std::vector<std::string> &parts);

}
