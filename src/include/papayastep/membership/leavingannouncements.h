#pragma once

#include "papayastep/membership/messages.h"
#include "papayastep/membership/vmdirectory.h"
#include "papayastep/wire/message.h"

#include <set>
#include <vector>

namespace papayastep::membership {

/// Announces that a VM is about to stop, along two trees over all VMs, so that a VM that is down cuts off few others.
class LeavingAnnouncements
{
public:
    /// `directory` must outlive this object.
    LeavingAnnouncements(base::VmId self, VmDirectory &directory, int fanOut);

    /// Returns the messages that announce that this VM is about to stop.
    std::vector<wire::Outgoing> announce(base::Incarnation incarnation) const;

    struct Received
    {
        bool isNew = false; ///< Whether the directory marks the VM as leaving now and did not before.
        std::vector<wire::Outgoing> forwarded;
    };
    Received receive(const VmLeaving &leaving);

private:
    std::vector<wire::Outgoing> messagesForChildren(const VmLeaving &leaving) const;

    const base::VmId m_self;
    VmDirectory &m_directory;
    const int m_fanOut;
    std::set<VmLeaving> m_seen;
};

}
