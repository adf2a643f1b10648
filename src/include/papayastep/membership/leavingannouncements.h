#pragma once

#include "papayastep/membership/messages.h"
#include "papayastep/membership/vmdirectory.h"
#include "papayastep/wire/message.h"

#include <set>
#include <vector>

namespace papayastep::membership {

/// Spreads the word that a VM stops soon, down two trees over all VMs, so that one that is down cuts off few others.
class LeavingAnnouncements
{
public:
    /// `directory` must outlive this.
    LeavingAnnouncements(base::VmId self, VmDirectory &directory, int fanOut);

    /// The messages that tell of this VM.
    std::vector<wire::Outgoing> announce(base::Incarnation incarnation) const;

    struct Received
    {
        bool isNew = false; ///< The directory takes the VM for leaving now, and did not before.
        std::vector<wire::Outgoing> forwarded;
    };
    Received receive(const VmLeaving &leaving);

private:
    std::vector<wire::Outgoing> toChildren(const VmLeaving &leaving) const;

    const base::VmId m_self;
    VmDirectory &m_directory;
    const int m_fanOut;
    std::set<VmLeaving> m_seen;
};

}
