#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/config/configuration.h"

#include <optional>
#include <unordered_map>
#include <vector>

/// The VMs of the fleet: the platform's list, which lags, and what messages have shown since.
namespace papayastep::membership {

/// The list of VMs, combined with newer information from messages. Not thread-safe.
class VmDirectory
{
public:
    explicit VmDirectory(const base::Clock &clock);

    /// Accepts `list` if its version is greater than that of the current one, so that of two contradicting lists the
    /// newer one wins in any order of arrival. Returns whether it was accepted.
    bool accept(config::VmList list);

    /// Accepts a list that this node has built itself from the directory of backend servers, also if it differs from
    /// the current one under the same version: the directory drops entries after an outage, and the builder drops
    /// retained VMs, without a new version. Returns whether the list was accepted.
    bool acceptLocal(config::VmList list);

    /// Records an authenticated message from `vm`. A new incarnation cancels the announcement of the previous one.
    void noteMessage(const base::VmId &vm, base::Incarnation incarnation);

    /// Records that `vm` announced, as `incarnation`, that it is about to stop. The announcement of a replaced
    /// incarnation is dropped: it would take a VM that has restarted out of use. Returns whether the announcement was
    /// new.
    bool noteLeaving(const base::VmId &vm, base::Incarnation incarnation);

    const config::VmList &list() const;

    /// Returns null if the list does not contain `vm`.
    const config::VmEntry *find(const base::VmId &vm) const;
    bool isListed(const base::VmId &vm) const;

    /// Returns whether the list or the VM itself says that it is about to stop. A VM's own announcement counts for a
    /// minute: by then it has stopped, and one that is still listed has restarted under the same name.
    bool isLeaving(const base::VmId &vm) const;

    /// Returns the listed VMs that are not leaving, sorted.
    std::vector<base::VmId> activeVms() const;
    std::vector<base::VmId> activeVmsInZone(const base::ZoneId &zone) const;

    /// Returns the zones of the active VMs, sorted, without duplicates.
    std::vector<base::ZoneId> activeZones() const;

    /// Time since the last message from `vm`; empty if there was none. A long time is only a hint: most VMs of a large
    /// fleet exchange no messages.
    std::optional<base::Duration> timeSinceLastMessage(const base::VmId &vm) const;

    std::optional<base::Incarnation> incarnation(const base::VmId &vm) const;

private:
    struct Activity
    {
        base::Incarnation incarnation = 0;
        base::Incarnation replacedIncarnation = 0; ///< The previous incarnation; its late messages prove nothing.
        std::optional<base::TimePoint> lastMessageAt;
        std::optional<base::Incarnation> leavingIncarnation;
        base::TimePoint leavingSince{};
    };

    void adopt(config::VmList list);
    void forgetUnlisted();
    bool hasAnnouncedLeaving(const base::VmId &vm) const;

    const base::Clock &m_clock;
    config::VmList m_list;
    /// Contains only listed VMs, so it can't grow without bound.
    std::unordered_map<base::VmId, Activity> m_activities;
};

}
