#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/membership/vmdirectory.h"

#include <map>
#include <random>
#include <vector>

namespace papayastep::membership {

struct DistributionSettings;

/// Decides to which peers a node sends notices of the versions that it holds, and when. Not thread-safe.
class NoticeSchedule
{
public:
    /// All arguments but `self` must outlive this object.
    NoticeSchedule(base::VmId self,
                   const VmDirectory &directory,
                   const base::Clock &clock,
                   const DistributionSettings &settings,
                   std::mt19937_64 &random);

    /// Returns at most `count` random VMs other than this one.
    std::vector<base::VmId> randomPeers(int count);

    /// Returns whether a notice may be sent in reply to `peer`. A notice is answered by a notice, so without this limit
    /// two nodes could exchange notices without end.
    bool mayReply(const base::VmId &peer);

    /// Returns the peers to which the regular notice is due. A node that is starting notifies more peers, and at
    /// shorter intervals.
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
