#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace papayastep::routing {

struct RetryBudgetSettings
{
    double share = 0.2; ///< Retries per first attempt, in the long run.
    base::Duration window = std::chrono::seconds(10); ///< Traffic older than this hardly counts.
    double reservePerSecond = 1; ///< Retries allowed without traffic, so that a rare service can retry at all.
    double maxReserve = 5; ///< How many of those may gather.

    /// How far an account may go below zero. A node that sees a few requests a second earns a whole retry only every
    /// few seconds, and would mostly have a part of one when it needs it.
    double maxDebt = 0;

    /// How much faster one workspace may spend than it earns, out of what the others leave. Small fleets see so few
    /// requests of one workspace at one entry that its own part would never make a whole retry.
    double workspaceFactor = 4;
};

/// What operators allow a service in any span of `window`, over all nodes together.
struct FleetRetryLimit
{
    double ratio = 0.2; ///< Of the requests of the service.
    double slack = 0; ///< Retries besides.
    base::Duration window = std::chrono::seconds(10);

    auto operator<=>(const FleetRetryLimit &) const = default;
};

/// One node's part of `limit` in a fleet of `nodes`. What has gathered can be spent at once, on top of what is earned
/// during the window; so each part is cut until the worst case adds up to the limit: with a memory of half a window,
/// 0.65 of the ratio over one and a half windows, and 0.3 of the slack twice. The debt takes what is left of the slack.
RetryBudgetSettings nodeRetryBudget(const FleetRetryLimit &limit, std::size_t nodes);

/// Retries asked for since the start.
struct RetryBudgetCounters
{
    std::uint64_t spent = 0;
    std::uint64_t refusedByService = 0; ///< The budget of the service was spent.
    std::uint64_t refusedByWorkspace = 0; ///< Only that of the workspace was.

    auto operator<=>(const RetryBudgetCounters &) const = default;
};

/// Bounds retries to a share of recent first attempts, per service and per workspace.
///
/// Without it a sick service is hit with several times its traffic just when it can least bear it, and one
/// workspace's failing requests use up the retries of all.
class RetryBudget
{
public:
    explicit RetryBudget(const base::Clock &clock, RetryBudgetSettings settings = {});

    /// For spending from now on; what has gathered stays.
    void setSettings(const RetryBudgetSettings &settings);

    /// Counts a first attempt.
    void countRequest(const base::ServiceId &service, const base::WorkspaceId &workspace);

    /// Takes one retry from both budgets, or from none.
    bool spend(const base::ServiceId &service, const base::WorkspaceId &workspace);

    /// Drops budgets without recent use; they would come back as they are. Call every few seconds.
    void tick();

    std::size_t size() const;
    const RetryBudgetCounters &counters() const;

    /// Retries that each service seen lately could spend now; below zero: in debt.
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
