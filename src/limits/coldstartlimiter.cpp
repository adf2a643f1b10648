#include "papayastep/limits/coldstartlimiter.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayastep::limits {

namespace {

/// The published rate holds for any span of this length.
constexpr base::Duration window = std::chrono::seconds(1);
/// Number of attempts in a row without an answer that count as a suspected restart.
constexpr int lostForSuspicion = 2;

}

ColdStartLimiter::ColdStartLimiter(const base::Clock &clock)
    : m_clock(clock)
{
}

void ColdStartLimiter::setColdStart(const config::ColdStart &coldStart)
{
    m_coldStart = coldStart;
}

void ColdStartLimiter::setColdUntil(base::TimePoint until)
{
    m_coldUntil = until;
    m_unverified = false;
    m_lostInRow = 0;
}

void ColdStartLimiter::suspectRestart()
{
    m_unverified = true;
}

void ColdStartLimiter::recordAnswer()
{
    m_lostInRow = 0;
    if (m_unverified) {
        m_coldUntil = std::max(m_coldUntil, m_clock.now() + m_coldStart.duration);
        m_unverified = false;
    }
}

void ColdStartLimiter::recordLostAttempt()
{
    ++m_lostInRow;
    if (m_lostInRow >= lostForSuspicion) {
        suspectRestart();
    }
}

void ColdStartLimiter::recordStart()
{
    if (!hasLimit()) {
        return;
    }
    m_starts.push_back(m_clock.now());
    while (m_starts.size() > startsPerWindow()) {
        m_starts.pop_front();
    }
}

bool ColdStartLimiter::isCold() const
{
    return hasLimit() && (m_unverified || m_clock.now() < m_coldUntil);
}

bool ColdStartLimiter::isUnverified() const
{
    return hasLimit() && m_unverified;
}

base::Duration ColdStartLimiter::wait(std::size_t ahead) const
{
    if (!isCold()) {
        return {};
    }
    const base::TimePoint now = m_clock.now();
    const std::size_t limit = startsPerWindow();
    // Each start is at least one window after the one that is `limit` places before it.
    std::vector<base::TimePoint> starts(m_starts.begin(), m_starts.end());
    for (std::size_t further = 0; further <= ahead; ++further) {
        const bool isDelayed = starts.size() >= limit;
        starts.push_back(isDelayed ? std::max(now, starts[starts.size() - limit] + window) : now);
    }
    const base::Duration delay = starts.back() - now;
    return m_unverified ? delay : std::min(delay, m_coldUntil - now);
}

bool ColdStartLimiter::hasLimit() const
{
    return m_coldStart.isLimited();
}

std::size_t ColdStartLimiter::startsPerWindow() const
{
    const double starts = m_coldStart.requestsPerSecond * std::chrono::duration<double>(window).count();
    return static_cast<std::size_t>(std::max(1.0, std::floor(starts)));
}

}
