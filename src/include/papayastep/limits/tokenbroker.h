#pragma once

#include "papayastep/limits/ratelimiter.h"

#include <memory>

namespace papayastep::limits {

/// Times of the token protocol. All nodes of a fleet need the same grantValidity, evidenceLifetime, shareGrowthDelay,
/// clockDriftBound and clockStopBound: the cap rests on these.
struct BrokerSettings
{
    base::Duration grantValidity = std::chrono::seconds(1); ///< How long a granted token may be spent.
    base::Duration evidenceLifetime = std::chrono::seconds(3); ///< How long proof of being the holder lasts.
    double clockDriftBound = 0.001; ///< The most that two clocks drift apart, as a fraction of the time passed.
    base::Duration clockStopBound = std::chrono::milliseconds(200); ///< A clock that stood still longer is noticed.
    base::Duration shareGrowthDelay = std::chrono::seconds(10); ///< A configuration is in force everywhere after it.
    base::Duration waitLimit = std::chrono::milliseconds(90); ///< A request waits no longer for a token.
    base::Duration askTimeout = std::chrono::milliseconds(40); ///< A silent holder is passed over after it.
    base::Duration loanTimeout = std::chrono::milliseconds(25); ///< A holder waits no longer for other shares.
    base::Duration prefetch = std::chrono::milliseconds(250); ///< An entry node asks for this much of its demand.
};

/// The token side of one node: takes tokens for the requests that enter here, and holds the shares that the VM list
/// gives to this VM. Opens no socket; not thread-safe.
///
/// After each call that may have decided something, the caller takes messages and decisions.
class TokenBroker final : public RateLimiter
{
public:
    TokenBroker(const NodeIdentity &self, const base::Clock &clock, BrokerSettings settings = {});
    ~TokenBroker() override;
    TokenBroker(TokenBroker &&) noexcept;
    TokenBroker &operator=(TokenBroker &&) noexcept;

    /// Older revisions than the one in force are ignored.
    void applyConfiguration(config::ConfigurationPtr configuration) override;
    /// A fresh list is proof that this node still holds its shares, so call it for an unchanged list too.
    void applyVmList(const config::VmList &list, base::TimePoint heardAt) override;
    Admission acquire(const base::WorkspaceId &workspace,
                      const base::RequestId &request,
                      base::TimePoint deadline) override;
    void cancelWaiting(const base::RequestId &request) override;
    /// A token whose spending is known to its holder already is lost: its place may have been refilled.
    void giveBack(const Token &token) override;
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload) override;
    void tick() override;
    std::optional<base::TimePoint> nextTick() const override;
    /// Its shares are not handed over; the next holders start empty.
    void drain() override;
    std::vector<wire::Outgoing> takeMessages() override;
    std::vector<AdmissionDecision> takeDecisions() override;
    /// Whether the shares that the VM list gives to this VM are in its hands. False for some seconds after a start,
    /// while an earlier holder could still grant.
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
