#include "papayastep/routing/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace papayastep::routing {

namespace {

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

constexpr double epsilon = 1e-9; ///< Tolerance for rounding, by which five fifths count as a whole.

}

RetryBudgetSettings serverRetryBudget(const FleetRetryLimit &limit, std::size_t servers)
{
    constexpr double ratioPart = 0.55;
    constexpr double slackPart = 0.3;
    constexpr double longestDebt = 0.7;
    constexpr int windowDivisor = 2; ///< Divides the window of the limit to the decay time of the node's budget.
    RetryBudgetSettings settings;
    settings.share = ratioPart * limit.ratio;
    settings.window = limit.window / windowDivisor;
    settings.maxReserve = slackPart * limit.slack / static_cast<double>(std::max<std::size_t>(1, servers));
    settings.reservePerSecond = settings.maxReserve / seconds(limit.window);
    settings.maxDebt = std::min(longestDebt, settings.maxReserve);
    return settings;
}

void RetryBudget::setSettings(const RetryBudgetSettings &settings)
{
    m_settings = settings;
}

RetryBudget::RetryBudget(const base::Clock &clock, RetryBudgetSettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

template<typename Map, typename Id>
RetryBudget::Account &RetryBudget::refreshed(Map &accounts, const Id &id)
{
    const auto now = m_clock.now();
    const auto [position, isNew] = accounts.try_emplace(id, Account{0, m_settings.maxReserve, now});
    Account &account = position->second;
    if (!isNew) {
        const double elapsed = seconds(now - account.updated);
        account.earned *= std::exp(-elapsed / seconds(m_settings.window));
        account.reserve = std::min(m_settings.maxReserve, account.reserve + elapsed * m_settings.reservePerSecond);
        account.updated = now;
    }
    return account;
}

double RetryBudget::available(const Account &account) const
{
    return account.earned + account.reserve;
}

bool RetryBudget::canSpend(const Account &account) const
{
    return available(account) + m_settings.maxDebt + epsilon >= 1;
}

void RetryBudget::take(Account &account)
{
    const double fromEarned = std::min(1.0, account.earned);
    account.earned -= fromEarned;
    account.reserve -= 1 - fromEarned;
}

void RetryBudget::countRequest(const base::ServiceId &service, const base::WorkspaceId &workspace)
{
    refreshed(m_services, service).earned += m_settings.share;
    refreshed(m_workspaces, workspace).earned += m_settings.share * m_settings.workspaceFactor;
}

bool RetryBudget::canSpend(const base::ServiceId &service, const base::WorkspaceId &workspace)
{
    return canSpend(refreshed(m_services, service)) && canSpend(refreshed(m_workspaces, workspace));
}

void RetryBudget::giveBack(const base::ServiceId &service, const base::WorkspaceId &workspace)
{
    refreshed(m_services, service).earned += 1;
    refreshed(m_workspaces, workspace).earned += 1;
}

bool RetryBudget::spend(const base::ServiceId &service, const base::WorkspaceId &workspace)
{
    Account &ofService = refreshed(m_services, service);
    Account &ofWorkspace = refreshed(m_workspaces, workspace);
    if (!canSpend(ofService)) {
        ++m_counters.refusedByService;
        return false;
    }
    if (!canSpend(ofWorkspace)) {
        ++m_counters.refusedByWorkspace;
        return false;
    }
    ++m_counters.spent;
    take(ofService);
    take(ofWorkspace);
    return true;
}

void RetryBudget::tick()
{
    // After ten windows nothing earned is left. By then the reserve is full too, unless it fills more slowly.
    const double refill = m_settings.maxReserve / std::max(m_settings.reservePerSecond, epsilon);
    const double idle = std::max(10 * seconds(m_settings.window), refill);
    const auto now = m_clock.now();
    const auto isIdle = [&](const auto &entry) { return seconds(now - entry.second.updated) > idle; };
    std::erase_if(m_services, isIdle);
    std::erase_if(m_workspaces, isIdle);
}

const RetryBudgetCounters &RetryBudget::counters() const
{
    return m_counters;
}

std::map<base::ServiceId, double> RetryBudget::availableRetries()
{
    std::map<base::ServiceId, double> result;
    for (const auto &[service, account] : m_services) {
        result[service] = available(refreshed(m_services, service));
    }
    return result;
}

std::size_t RetryBudget::size() const
{
    return m_services.size() + m_workspaces.size();
}

}
