#include "papayastep/membership/noticeschedule.h"

#include "papayastep/membership/configdistributor.h"

#include <algorithm>
#include <iterator>

namespace papayastep::membership {

namespace {

constexpr base::Duration minReplyInterval = std::chrono::milliseconds(500);

}

NoticeSchedule::NoticeSchedule(base::VmId self,
                               const VmDirectory &directory,
                               const base::Clock &clock,
                               const DistributionSettings &settings,
                               std::mt19937_64 &random)
    : m_self(std::move(self))
    , m_directory(directory)
    , m_clock(clock)
    , m_settings(settings)
    , m_random(random)
{
}

std::vector<base::VmId> NoticeSchedule::randomPeers(int count)
{
    std::vector<base::VmId> peers = m_directory.activeVms();
    std::erase(peers, m_self);
    std::vector<base::VmId> chosen;
    std::sample(peers.begin(), peers.end(), std::back_inserter(chosen), count, m_random);
    return chosen;
}

bool NoticeSchedule::mayReply(const base::VmId &peer)
{
    if (!m_directory.isListed(peer)) {
        return false;
    }
    const base::TimePoint now = m_clock.now();
    const auto [entry, isNew] = m_lastReplies.emplace(peer, now);
    if (!isNew && now - entry->second < minReplyInterval) {
        return false;
    }
    entry->second = now;
    return true;
}

std::vector<base::VmId> NoticeSchedule::due(bool isStarting)
{
    const base::TimePoint now = m_clock.now();
    if (now < m_nextDue) {
        return {};
    }
    std::vector<base::VmId> peers = randomPeers(isStarting ? m_settings.peersAskedAtStart : 1);
    const base::Duration interval = isStarting ? m_settings.pullTimeout : m_settings.noticeInterval;
    std::uniform_int_distribution<base::Duration::rep> jitter(interval.count() / 2, interval.count() * 3 / 2);
    m_nextDue = now + base::Duration(jitter(m_random));
    std::erase_if(m_lastReplies, [this](const auto &entry) { return !m_directory.isListed(entry.first); });
    return peers;
}

base::TimePoint NoticeSchedule::nextDue() const
{
    return m_nextDue;
}

}
