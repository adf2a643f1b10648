#pragma once

#include "papayastep/limits/ratelimiter.h"

#include <memory>

namespace papayastep::limits {

/// Settings of the token protocol. All nodes of a fleet must use the same grantValidity, evidenceLifetime,
/// shareGrowthDelay, clockDriftBound and clockStopBound, because the cap depends on them.
struct BrokerSettings
{
    base::Duration grantValidity = std::chrono::seconds(1); ///< Time for which a granted token may be spent.
    base::Duration evidenceLifetime = std::chrono::seconds(3); ///< Lifetime of the proof that a VM holds its shares.
    double clockDriftBound = 0.001; ///< Largest drift between two clocks, as a fraction of the elapsed time.
    base::Duration clockStopBound = std::chrono::milliseconds(200); ///< Longest clock stop that is not detected.
    /// Time after which a configuration is in force on all nodes.
    base::Duration shareGrowthDelay = std::chrono::seconds(10);
    base::Duration waitLimit = std::chrono::milliseconds(90); ///< Longest wait of a request for a token.
    /// Time after which a holder that has not answered is skipped.
    base::Duration askTimeout = std::chrono::milliseconds(40);
    base::Duration loanTimeout = std::chrono::milliseconds(25); ///< Longest wait of a holder for loans of other shares.
    base::Duration prefetch = std::chrono::milliseconds(250); ///< Time whose demand a node asks for in advance.
};

/// Rate limiter in which each availability zone holds a share of a workspace's rate and burst. It takes tokens for the
/// requests that arrive at this node, and holds the shares that the VM list assigns to this VM. Opens no socket and is
/// not thread-safe.
///
/// After each call that may have changed its state, the caller takes messages and decisions.
class TokenBroker final : public RateLimiter
{
public:
    TokenBroker(const NodeIdentity &self, const base::Clock &clock, BrokerSettings settings = {});
    ~TokenBroker() override;
    TokenBroker(TokenBroker &&) noexcept;
    TokenBroker &operator=(TokenBroker &&) noexcept;

    /// Applies `configuration`. Revisions that are not newer than the current one are ignored.
    void applyConfiguration(config::ConfigurationPtr configuration) override;
    /// Applies a VM list. A list that was just read proves that this node still holds its shares, so this is called for
    /// an unchanged list too.
    void applyVmList(const config::VmList &list, base::TimePoint requestedAt) override;
    Admission acquire(const base::WorkspaceId &workspace,
                      const base::RequestId &request,
                      base::TimePoint deadline) override;
    void cancelWaiting(const base::RequestId &request) override;
    /// Returns `token`. A token that was already reported to its holder as spent is lost, because the share may have
    /// refilled since.
    void giveBack(const Token &token) override;
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload) override;
    void tick() override;
    std::optional<base::TimePoint> nextTick() const override;
    /// Refuses the waiting requests and stops granting. The shares are not handed over; the next holders start empty.
    void drain() override;
    std::vector<wire::Outgoing> takeMessages() override;
    std::vector<AdmissionDecision> takeDecisions() override;
    /// Whether this VM holds the shares that the VM list assigns to it. False for some seconds after a start, while an
    /// earlier holder could still grant.
    bool isReady() const override;
    bool chargesRepeats() const override;
    WorkspaceStatus status(const base::WorkspaceId &workspace) const override;
    const LimiterCounters &counters() const override;
    std::size_t activeWorkspaces() const override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
