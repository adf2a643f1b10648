#include "papayastep/routing/serverendtable.h"

#include <algorithm>

namespace papayastep::routing {

ServerEndTable::ServerEndTable(const base::Clock &clock, const ServerEndSettings &settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

ServerEndCount ServerEndTable::record(const ServerEnd &end)
{
    const base::TimePoint now = m_clock.now();
    Entry &entry = entryOf(end.request);
    const bool isNew = entry.attempts.insert(end.attempt).second;
    const bool isLater = entry.ends == 0 || end.followsEnd || end.sentAt >= entry.lastEnd;
    if (!isNew || !isLater) {
        return {entry.ends, false};
    }
    ++entry.ends;
    ++m_counters.ends;
    entry.lastEnd = now;
    return {entry.ends, entry.ends > 1};
}

bool ServerEndTable::recordRun(const RequestDigest &request)
{
    return m_entries.erase(request) > 0;
}

void ServerEndTable::apply(const ServerEndNotice &notice)
{
    if (notice.hasRun) {
        recordRun(notice.request);
        return;
    }
    const AttemptId attempt{{notice.requestHigh, notice.requestLow}, static_cast<int>(notice.attempt)};
    const base::TimePoint sentAt = m_clock.now() - std::chrono::milliseconds(notice.ageMs);
    record({notice.request, attempt, sentAt, notice.followsEnd});
}

bool ServerEndTable::admit(const RequestDigest &request, std::size_t furtherEnds)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || !isRefused(found->second, furtherEnds)) {
        return true;
    }
    ++m_counters.refused;
    return false;
}

bool ServerEndTable::isEmpty() const
{
    return m_entries.empty();
}

std::size_t ServerEndTable::refusedRequests() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [this](const auto &item) { return isRefused(item.second); }));
}

const ServerEndCounters &ServerEndTable::counters() const
{
    return m_counters;
}

void ServerEndTable::expire()
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(m_entries, [&](const auto &item) { return now - item.second.lastEnd >= m_settings.memory; });
}

bool ServerEndTable::isRefused(const Entry &entry, std::size_t furtherEnds) const
{
    return entry.ends + furtherEnds >= m_settings.allowedEnds && m_clock.now() - entry.lastEnd < m_settings.memory;
}

ServerEndTable::Entry &ServerEndTable::entryOf(const RequestDigest &request)
{
    expire();
    if (m_entries.size() >= m_settings.maxRequests && !m_entries.contains(request)) {
        // A request with fewer ends is more probably not the cause.
        const auto leastCertain
            = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
                  return std::pair(a.second.ends, a.second.lastEnd) < std::pair(b.second.ends, b.second.lastEnd);
              });
        m_entries.erase(leastCertain);
    }
    return m_entries[request];
}

}
