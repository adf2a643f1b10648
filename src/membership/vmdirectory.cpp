#include "papayastep/membership/vmdirectory.h"

#include <algorithm>
#include <utility>

namespace papayastep::membership {

namespace {

constexpr base::Duration announcementLifetime = std::chrono::seconds(60); ///< Longer than a drain takes.

}

VmDirectory::VmDirectory(const base::Clock &clock)
    : m_clock(clock)
{
}

bool VmDirectory::accept(config::VmList list)
{
    if (list.version <= m_list.version) {
        return false;
    }
    adopt(std::move(list));
    return true;
}

bool VmDirectory::acceptLocal(config::VmList list)
{
    if (list.version < m_list.version || list == m_list) {
        return false;
    }
    adopt(std::move(list));
    return true;
}

void VmDirectory::adopt(config::VmList list)
{
    m_list = std::move(list);
    std::sort(m_list.vms.begin(), m_list.vms.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    forgetUnlisted();
}

void VmDirectory::forgetUnlisted()
{
    std::erase_if(m_activities, [this](const auto &entry) { return !isListed(entry.first); });
}

void VmDirectory::noteMessage(const base::VmId &vm, base::Incarnation incarnation)
{
    if (!isListed(vm)) {
        return;
    }
    Activity &activity = m_activities[vm];
    if (incarnation == activity.replacedIncarnation) {
        return;
    }
    if (incarnation != activity.incarnation) {
        activity.replacedIncarnation = activity.incarnation;
        activity.incarnation = incarnation;
    }
    activity.lastMessageAt = m_clock.now();
}

bool VmDirectory::noteLeaving(const base::VmId &vm, base::Incarnation incarnation)
{
    if (!isListed(vm)) {
        return false;
    }
    Activity &activity = m_activities[vm];
    const bool isReplaced = activity.incarnation != 0 && activity.incarnation != incarnation;
    if (isReplaced || activity.leavingIncarnation == incarnation) {
        return false;
    }
    activity.incarnation = incarnation;
    activity.leavingIncarnation = incarnation;
    activity.leavingSince = m_clock.now();
    return true;
}

const config::VmList &VmDirectory::list() const
{
    return m_list;
}

const config::VmEntry *VmDirectory::find(const base::VmId &vm) const
{
    return m_list.find(vm);
}

bool VmDirectory::isListed(const base::VmId &vm) const
{
    return find(vm) != nullptr;
}

bool VmDirectory::isLeaving(const base::VmId &vm) const
{
    const config::VmEntry *entry = find(vm);
    if (entry && entry->leaving) {
        return true;
    }
    return hasAnnouncedLeaving(vm);
}

// A node that rarely exchanges messages with `vm` may receive none from its next incarnation. If the announcement did
// not expire, the node would send no work to a VM that was restarted in place, for good.
bool VmDirectory::hasAnnouncedLeaving(const base::VmId &vm) const
{
    const auto found = m_activities.find(vm);
    if (found == m_activities.end() || found->second.leavingIncarnation != found->second.incarnation) {
        return false;
    }
    return m_clock.now() - found->second.leavingSince < announcementLifetime;
}

std::vector<base::VmId> VmDirectory::activeVms() const
{
    std::vector<base::VmId> vms;
    for (const config::VmEntry &entry : m_list.vms) {
        if (!isLeaving(entry.id)) {
            vms.push_back(entry.id);
        }
    }
    return vms;
}

std::vector<base::VmId> VmDirectory::activeVmsInZone(const base::ZoneId &zone) const
{
    std::vector<base::VmId> vms;
    for (const config::VmEntry &entry : m_list.vms) {
        if (entry.zone == zone && !isLeaving(entry.id)) {
            vms.push_back(entry.id);
        }
    }
    return vms;
}

std::vector<base::ZoneId> VmDirectory::activeZones() const
{
    std::vector<base::ZoneId> zones;
    for (const config::VmEntry &entry : m_list.vms) {
        if (!isLeaving(entry.id)) {
            zones.push_back(entry.zone);
        }
    }
    std::sort(zones.begin(), zones.end());
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
    return zones;
}

std::optional<base::Duration> VmDirectory::timeSinceLastMessage(const base::VmId &vm) const
{
    const auto found = m_activities.find(vm);
    if (found == m_activities.end() || !found->second.lastMessageAt) {
        return std::nullopt;
    }
    return m_clock.now() - *found->second.lastMessageAt;
}

std::optional<base::Incarnation> VmDirectory::incarnation(const base::VmId &vm) const
{
    const auto found = m_activities.find(vm);
    return found != m_activities.end() ? std::optional(found->second.incarnation) : std::nullopt;
}

}
