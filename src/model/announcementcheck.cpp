#include "announcementcheck.h"

#include <algorithm>

namespace papayastep::model {

namespace {

constexpr base::Duration limitBindsAfter = std::chrono::seconds(3); ///< Since the limit was first named.
constexpr base::Duration toldBefore = std::chrono::milliseconds(500); ///< Time for a node to act on an answer.
constexpr std::chrono::seconds window(4);
constexpr double overage = 1.5;
constexpr double slack = 5;
constexpr base::Duration drainTime = std::chrono::seconds(2);

}

void AnnouncementCheck::recordAnswer(std::size_t server,
                                     std::size_t entry,
                                     const routing::ServerAnnouncement &announcement,
                                     base::TimePoint now)
{
    Server &state = m_servers[server];
    if (announcement.isLeaving) {
        state.toldEnd.try_emplace(entry, now);
    }
    if (announcement.limit.requestsPerSecond != state.requestsPerSecond) {
        state.requestsPerSecond = announcement.limit.requestsPerSecond;
        state.namedSince = now;
        state.toldLimit.clear();
        state.counted.clear();
    }
    if (announcement.limit.requestsPerSecond) {
        state.toldLimit.try_emplace(entry, now);
    }
}

void AnnouncementCheck::recordArrival(std::size_t server,
                                      std::size_t entry,
                                      base::TimePoint sentAt,
                                      base::TimePoint now)
{
    Server &state = m_servers[server];
    const auto toldEnd = state.toldEnd.find(entry);
    if (toldEnd != state.toldEnd.end() && sentAt > toldEnd->second + drainTime) {
        ++m_requestsAfterEnd;
    }
    const auto toldLimit = state.toldLimit.find(entry);
    const bool counts = state.requestsPerSecond && now >= state.namedSince + limitBindsAfter
        && toldLimit != state.toldLimit.end() && now >= toldLimit->second + toldBefore;
    if (!counts) {
        return;
    }
    state.counted.push_back(now);
    std::erase_if(state.counted, [now](base::TimePoint time) { return time <= now - window; });
    const double allowed = overage * *state.requestsPerSecond * static_cast<double>(window.count()) + slack;
    state.limitUsed = std::max(state.limitUsed, static_cast<double>(state.counted.size()) / allowed);
}

double AnnouncementCheck::limitUsed() const
{
    double result = 0;
    for (const auto &[server, state] : m_servers) {
        result = std::max(result, state.limitUsed);
    }
    return result;
}

std::uint64_t AnnouncementCheck::requestsAfterEnd() const
{
    return m_requestsAfterEnd;
}

}
