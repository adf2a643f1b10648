#pragma once

#include "papayastep/base/resultcode.h"
#include "papayastep/config/configuration.h"
#include "papayastep/limits/tokens.h"
#include "papayastep/wire/message.h"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace papayastep::limits {

/// Identity of a node in the messages of its rate limiter.
struct NodeIdentity
{
    base::VmId vm;
    base::ZoneId zone;
    base::Incarnation incarnation = 0;
};

/// The request is admitted.
struct Admitted
{
    Token token;
};

/// The request waits for a token. takeDecisions() returns its decision, with TokenBroker after at most
/// BrokerSettings::waitLimit.
struct Waiting
{
};

/// The request is refused and has not run.
struct Refused
{
    base::ResultCode code = base::ResultCode::RateExceeded;
    base::Duration retryAfter{}; ///< Time until a token is expected.
    base::VmId decidedBy{}; ///< VM that holds the tokens and refused the request; empty if unknown.
    bool unanswered = false; ///< No holder of tokens answered in time, so this node decided locally.
};

using Admission = std::variant<Admitted, Waiting, Refused>;

/// The decision on a request that was Waiting. `admission` is Admitted or Refused.
struct AdmissionDecision
{
    base::RequestId request;
    Admission admission;
};

/// One share of a workspace's rate and burst, as known at this node.
struct ShareStatus
{
    base::ZoneId zone;
    base::VmId holder; ///< VM that holds the share; empty if the zone has no VM that can hold it.
    /// This node holds the share and may grant. `level`, `outstanding` and `borrowed` are meaningful only then.
    bool held = false;
    double rate = 0; ///< Tokens per second of this share.
    double burst = 0;
    double level = 0; ///< Tokens available.
    double outstanding = 0; ///< Tokens granted that are neither reported as spent, nor returned, nor expired.
    double borrowed = 0; ///< Tokens borrowed from other shares that are still available.
};

/// State of one workspace at this node, as `papayastep status` prints it.
struct WorkspaceStatus
{
    base::WorkspaceId workspace;
    base::Revision revision = 0;
    double entryTokens = 0; ///< Tokens that this node has received as an entry and not spent.
    double demand = 0; ///< Recent requests per second at this node.
    std::vector<ShareStatus> shares;
};

/// Totals since the start of the node, exported as metrics.
struct LimiterCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t admittedWaiting = 0; ///< Requests among `admitted` that waited for a holder.
    std::uint64_t refused = 0;
    std::uint64_t refusedUnanswered = 0; ///< Requests among `refused` for which no holder answered in time.
    std::uint64_t givenBack = 0;
    std::uint64_t asksSent = 0;
    std::uint64_t grantsMade = 0;
    std::uint64_t loansMade = 0;
    /// Whole tokens in these grants, including those for this node's own requests if it holds the pool.
    double tokensGranted = 0;
    double tokensLent = 0; ///< Whole tokens in the loans counted by `loansMade`.
    /// Requests among `admitted` that were admitted locally because no holder answered.
    std::uint64_t admittedLocally = 0;
    std::uint64_t returnsReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesIgnored = 0; ///< Messages that were late, duplicated, malformed or from an unexpected sender.
    /// Number of times that this node stopped granting because its proof of being the holder had expired.
    std::uint64_t tenuresLost = 0;
    /// Claims of this node to be the home of a pool that nodes with another VM list have denied.
    std::uint64_t claimsDenied = 0;
    std::uint64_t pauses = 0; ///< Number of times that a stopped clock was detected.
};

/// Admits or refuses the requests that arrive at this node, so that all nodes together keep to the rate and burst of
/// each workspace. The implementations differ in what they do while they cannot reach a holder of tokens: TokenBroker
/// refuses, so that the cap always holds; PooledLimiter admits within an excess that operators tolerate.
///
/// Opens no socket and is not thread-safe. After each call that may have changed its state, the caller takes messages
/// and decisions.
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /// Applies `configuration`.
    virtual void applyConfiguration(config::ConfigurationPtr configuration) = 0;

    /// Applies a VM list. `requestedAt` is the time at which the list was requested from the platform, not of the
    /// answer. Versions older than the current one are ignored.
    virtual void applyVmList(const config::VmList &list, base::TimePoint requestedAt) = 0;

    /// Takes one token for `request`. If the request waits, the wait ends well before `deadline`.
    virtual Admission acquire(const base::WorkspaceId &workspace,
                              const base::RequestId &request,
                              base::TimePoint deadline)
        = 0;

    /// Removes a waiting request whose caller has disconnected. It gets no decision.
    virtual void cancelWaiting(const base::RequestId &request) = 0;

    /// Returns `token` because its request was refused and not run. Called at most once for each token.
    virtual void giveBack(const Token &token) = 0;

    /// Handles a received message of kind 10-19. Malformed payloads are counted and do not throw.
    virtual void receive(const base::VmId &from,
                         base::Incarnation incarnation,
                         wire::MessageKind kind,
                         std::string_view payload)
        = 0;

    /// Handles timers that are due. Late calls do not break the cap.
    virtual void tick() = 0;

    /// Time at which tick() is due next; nullopt if no timer is pending.
    virtual std::optional<base::TimePoint> nextTick() const = 0;

    /// Prepares for the stop of this node, which grants no tokens to other nodes from now on.
    virtual void drain() = 0;

    virtual std::vector<wire::Outgoing> takeMessages() = 0;
    virtual std::vector<AdmissionDecision> takeDecisions() = 0;

    /// Whether this node can hold and grant tokens. With TokenBroker this is false for some seconds after a start.
    virtual bool isReady() const = 0;

    /// Whether a retry on another backend server takes a token of its own.
    virtual bool chargesRepeats() const = 0;

    virtual WorkspaceStatus status(const base::WorkspaceId &workspace) const = 0;
    virtual const LimiterCounters &counters() const = 0;

    /// Number of workspaces for which this node keeps state.
    virtual std::size_t activeWorkspaces() const = 0;
};

}
