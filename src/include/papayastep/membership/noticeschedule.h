#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/membership/vmdirectory.h"

#include <map>
#include <random>
#include <vector>

namespace papayastep::membership {

struct DistributionSettings;

/// Whom a node tells what it holds, and when. Not thread-safe.
class NoticeSchedule
{
public:
    /// All but `self` must outlive this.
    NoticeSchedule(base::VmId self,
                   const VmDirectory &directory,
                   const base::Clock &clock,
                   const DistributionSettings &settings,
                   std::mt19937_64 &random);

    /// At most `count` of the other VMs.
    std::vector<base::VmId> randomPeers(int count);

    /// Whether `peer` may have a notice in reply. A notice answers a notice, so without this limit two nodes could talk
    /// to each other without end.
    bool mayReply(const base::VmId &peer);

    /// The peers whose regular notice is due; a node that is starting asks more of them, and sooner again.
    std::vector<base::VmId> due(bool isStarting);
    base::TimePoint nextDue() const;

private:
    const base::VmId m_self;
    const VmDirectory &m_directory;
    const base::Clock &m_clock;
    const DistributionSettings &m_settings;
    std::mt19937_64 &m_random;
    std::map<base::VmId, base::TimePoint> m_lastReplies;
    base::TimePoint m_nextDue{};
};

}
