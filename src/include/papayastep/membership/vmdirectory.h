#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/config/configuration.h"

#include <optional>
#include <unordered_map>
#include <vector>

/// Who is there: the platform's list, which lags, and what was heard since.
namespace papayastep::membership {

/// The list of VMs together with fresher activity. Not thread-safe.
class VmDirectory
{
public:
    explicit VmDirectory(const base::Clock &clock);

    /// Takes `list` if its version is greater than the one held; so of two contradicting lists the newer one wins,
    /// whatever order they come in. Returns whether it was taken.
    bool accept(config::VmList list);

    /// An authenticated message came from `vm`. A new incarnation clears what was announced by the old one.
    void noteMessage(const base::VmId &vm, base::Incarnation incarnation);

    /// `vm` announced, as `incarnation`, that it is about to stop. An announcement of an incarnation that has been
    /// replacedIncarnation is dropped: it would take a VM that came back out of use. Returns whether it was news.
    bool noteLeaving(const base::VmId &vm, base::Incarnation incarnation);

    const config::VmList &list() const;

    /// Null if the list does not name it.
    const config::VmEntry *find(const base::VmId &vm) const;
    bool isListed(const base::VmId &vm) const;

    /// Whether the list or the VM itself says that it is about to stop. A VM's own word counts for a minute: by then it
    /// has stopped, and one that is still listed has come back under the same name.
    bool isLeaving(const base::VmId &vm) const;

    /// Listed VMs that are not leaving, sorted.
    std::vector<base::VmId> activeVms() const;
    std::vector<base::VmId> activeVmsInZone(const base::ZoneId &zone) const;

    /// Zones of present VMs, sorted, without repeats.
    std::vector<base::ZoneId> activeZones() const;

    /// Time since the last message from `vm`; nothing if there never was one. Silence is only a hint: most VMs of a
    /// large fleet have nothing to say to each other.
    std::optional<base::Duration> timeSinceLastMessage(const base::VmId &vm) const;

    std::optional<base::Incarnation> incarnation(const base::VmId &vm) const;

private:
    struct Activity
    {
        base::Incarnation incarnation = 0;
        base::Incarnation replacedIncarnation = 0; ///< The one before; its late messages prove nothing.
        std::optional<base::TimePoint> lastMessageAt;
        std::optional<base::Incarnation> leavingIncarnation;
        base::TimePoint leavingSince{};
    };

    void forgetUnlisted();
    bool hasAnnouncedLeaving(const base::VmId &vm) const;

    const base::Clock &m_clock;
    config::VmList m_list;
    std::unordered_map<base::VmId, Activity> m_activities; ///< Only of listed VMs, so it can't grow without bound.
};

}
