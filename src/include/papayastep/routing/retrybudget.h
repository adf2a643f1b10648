#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace papayastep::routing {

/// Settings of the retry budget of one backend server.
struct RetryBudgetSettings
{
    double share = 0.2; ///< Retries allowed per first attempt, on average.
    base::Duration window = std::chrono::seconds(10); ///< Time constant with which earned retries decay.
    double reservePerSecond = 1; ///< Retries earned without traffic, so that a service with little traffic can retry.
    double maxReserve = 5; ///< Largest number of retries accumulated without traffic.

    /// Number of retries by which an account may be overdrawn. A server that receives a few requests a second earns a
    /// whole retry only every few seconds, and would mostly have a fraction of one when it is asked for it.
    double maxDebt = 0;

    /// Factor by which one workspace may spend more than its share, out of what the others leave. A server receives so
    /// few requests of one workspace that its own share would never amount to a whole retry.
    double workspaceFactor = 4;
};

/// The limit that operators set for the retries of a service in any span of `window`, over all nodes together.
struct FleetRetryLimit
{
    double ratio = 0.2; ///< Allowed retries per request of the service.
    double slack = 0; ///< Number of retries allowed in addition.
    base::Duration window = std::chrono::seconds(10);

    auto operator<=>(const FleetRetryLimit &) const = default;
};

/// Returns the part of `limit` that one of the `servers` of a service accounts for. Accumulated retries can be spent at
/// once, in addition to those earned during the window. Each part is therefore reduced until the worst case adds up to
/// the limit: with a decay time of half a window, 0.55 of the ratio counts over one and a half windows, and 0.3 of the
/// slack counts twice. The debt uses the rest of the slack, and the rest of the ratio is for calls of repeated runs,
/// whose number is estimated.
RetryBudgetSettings serverRetryBudget(const FleetRetryLimit &limit, std::size_t servers);

/// Counts of requested retries since the start.
struct RetryBudgetCounters
{
    std::uint64_t spent = 0; ///< Retries accepted, including those that were given back.
    std::uint64_t refusedByService = 0; ///< Retries refused because the budget of the service was spent.
    std::uint64_t refusedByWorkspace = 0; ///< Retries refused because only the budget of the workspace was spent.

    RetryBudgetCounters &operator+=(const RetryBudgetCounters &other)
    {
        spent += other.spent;
        refusedByService += other.refusedByService;
        refusedByWorkspace += other.refusedByWorkspace;
        return *this;
    }

    auto operator<=>(const RetryBudgetCounters &) const = default;
};

/// Limits the retries that one backend server accepts to a share of its recent first attempts, per service and per
/// workspace.
///
/// Without it a failing service would receive several times its traffic when it is least able to serve it, and one
/// workspace's failing requests would use up the retries of all.
///
/// The node beside the server keeps the budget, so that the sum over all servers is the budget of the service, and an
/// entry that looks for a server for a retry can use the part of any of them. Each entry's own part would be a fraction
/// of one retry in a fleet of hundreds, and be spent nearly always.
class RetryBudget
{
public:
    explicit RetryBudget(const base::Clock &clock, RetryBudgetSettings settings = {});

    /// Sets the settings for later retries; accumulated retries stay.
    void setSettings(const RetryBudgetSettings &settings);

    /// Counts a first attempt.
    void countRequest(const base::ServiceId &service, const base::WorkspaceId &workspace);

    /// Returns whether spend() would take a retry now.
    bool canSpend(const base::ServiceId &service, const base::WorkspaceId &workspace);

    /// Takes one retry from both budgets, or from neither; returns whether it was taken.
    bool spend(const base::ServiceId &service, const base::WorkspaceId &workspace);

    /// Returns a retry that spend() took and that did not reach the server after all.
    void giveBack(const base::ServiceId &service, const base::WorkspaceId &workspace);

    /// Removes budgets without recent use, which would be created again with the same state. To be called every few
    /// seconds.
    void tick();

    std::size_t size() const;
    const RetryBudgetCounters &counters() const;

    /// Returns the retries that each service with recent requests could spend now. A negative number is a debt.
    std::map<base::ServiceId, double> availableRetries();

private:
    struct Account
    {
        double earned = 0;
        double reserve = 0;
        base::TimePoint updated;
    };

    template<typename Map, typename Id>
    Account &refreshed(Map &accounts, const Id &id);
    double available(const Account &account) const;
    bool canSpend(const Account &account) const;
    static void take(Account &account);

    const base::Clock &m_clock;
    RetryBudgetSettings m_settings;
    RetryBudgetCounters m_counters;
    std::unordered_map<base::ServiceId, Account> m_services;
    std::unordered_map<base::WorkspaceId, Account> m_workspaces;
};

}
