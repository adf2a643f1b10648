#include "papayastep/node/refusallog.h"

namespace papayastep::node {

RefusalLog::RefusalLog(const base::Clock &clock, const RefusalLogSettings &settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

bool RefusalLog::record(base::ResultCode code, const std::string &request)
{
    const auto [position, isNew] = m_periods.try_emplace(code);
    Period &period = position->second;
    if (isNew) {
        period.startedAt = m_clock.now();
        period.summary.code = code;
    }
    if (period.lines < m_settings.linesPerPeriod) {
        ++period.lines;
        return true;
    }
    ++period.summary.count;
    if (period.listedIds < m_settings.maxListedIds) {
        ++period.listedIds;
        period.summary.requests += period.summary.requests.empty() ? request : ',' + request;
    }
    return false;
}

std::vector<RefusalSummary> RefusalLog::takeSummaries()
{
    std::vector<RefusalSummary> summaries;
    const auto now = m_clock.now();
    for (auto position = m_periods.begin(); position != m_periods.end();) {
        Period &period = position->second;
        const bool ended = now - period.startedAt >= m_settings.period;
        if (ended && period.summary.count > 0) {
            summaries.push_back(std::move(period.summary));
        }
        position = ended ? m_periods.erase(position) : std::next(position);
    }
    return summaries;
}

}
