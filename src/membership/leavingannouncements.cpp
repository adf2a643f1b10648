#include "papayastep/membership/leavingannouncements.h"

#include "papayastep/membership/distributiontree.h"

#include <algorithm>
#include <iterator>

namespace papayastep::membership {

namespace {

constexpr std::uint64_t treeCount = 2;
constexpr std::size_t maxRememberedAnnouncements = 4096;

}

LeavingAnnouncements::LeavingAnnouncements(base::VmId self, VmDirectory &directory, int fanOut)
    : m_self(std::move(self))
    , m_directory(directory)
    , m_fanOut(fanOut)
{
}

std::vector<wire::Outgoing> LeavingAnnouncements::announce(base::Incarnation incarnation) const
{
    std::vector<wire::Outgoing> messages;
    for (std::uint64_t tree = 0; tree < treeCount; ++tree) {
        std::vector<wire::Outgoing> treeMessages = messagesForChildren({m_self, incarnation, tree});
        std::move(treeMessages.begin(), treeMessages.end(), std::back_inserter(messages));
    }
    return messages;
}

LeavingAnnouncements::Received LeavingAnnouncements::receive(const VmLeaving &leaving)
{
    if (m_seen.size() >= maxRememberedAnnouncements) {
        m_seen.clear();
    }
    if (leaving.vm == m_self || leaving.tree >= treeCount || !m_seen.insert(leaving).second) {
        return {};
    }
    const bool isNew = m_directory.noteLeaving(leaving.vm, leaving.incarnation);
    return {isNew, messagesForChildren(leaving)};
}

std::vector<wire::Outgoing> LeavingAnnouncements::messagesForChildren(const VmLeaving &leaving) const
{
    std::vector<wire::Outgoing> messages;
    for (const base::VmId &child : treeChildren(m_directory.activeVms(), leaving.vm, leaving.tree, m_self, m_fanOut)) {
        messages.push_back(wire::outgoing(child, wire::MessageKind::VmLeaving, leaving));
    }
    return messages;
}

}
