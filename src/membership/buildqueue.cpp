#include "papayastep/membership/buildqueue.h"

#include "papayastep/base/error.h"

#include <algorithm>
#include <utility>

namespace papayastep::membership {

namespace {

constexpr std::size_t maxRememberedRejections = 64;

}

BuildResult runBuild(const Build &build, config::InvalidEntries invalidEntries)
{
    try {
        config::CheckResult checked = config::check(build.store.revision(), build.store.files(), invalidEntries);
        const std::string error = checked.errors.empty() ? std::string() : checked.errors.front().what();
        return {std::move(checked.configuration), error, std::move(checked.skipped)};
    } catch (const base::Error &error) {
        return {nullptr, error.what(), {}};
    }
}

void BuildQueue::put(Build build)
{
    m_newestPending = build.store.revision();
    m_waiting = std::move(build);
}

std::optional<Build> BuildQueue::take()
{
    if (m_isRunning || !m_waiting) {
        return std::nullopt;
    }
    m_isRunning = true;
    return std::exchange(m_waiting, std::nullopt);
}

void BuildQueue::finish(base::Revision revision, const BuildResult &result)
{
    m_isRunning = false;
    if (m_newestPending == revision) {
        m_newestPending = 0;
    }
    ++m_finishedCount;
    if (result.configuration) {
        return;
    }
    ++m_rejectedCount;
    m_lastRejection = result.error;
    m_rejected.insert(revision);
    if (m_rejected.size() > maxRememberedRejections) {
        m_rejected.erase(m_rejected.begin());
    }
}

void BuildQueue::noteActivated(base::Revision revision)
{
    m_rejected.erase(m_rejected.begin(), m_rejected.upper_bound(revision));
}

bool BuildQueue::isPendingOrRejected(base::Revision revision) const
{
    return revision <= m_newestPending || m_rejected.contains(revision);
}

base::Revision BuildQueue::newestPendingOrRejected() const
{
    return m_rejected.empty() ? m_newestPending : std::max(m_newestPending, *m_rejected.rbegin());
}

std::uint64_t BuildQueue::finishedCount() const
{
    return m_finishedCount;
}

std::uint64_t BuildQueue::rejectedCount() const
{
    return m_rejectedCount;
}

const std::string &BuildQueue::lastRejection() const
{
    return m_lastRejection;
}

}
