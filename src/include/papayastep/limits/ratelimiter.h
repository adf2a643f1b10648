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

/// Who this node is.
struct NodeIdentity
{
    base::VmId vm;
    base::ZoneId zone;
    base::Incarnation incarnation = 0;
};

/// The request may go on, now.
struct Admitted
{
    Token token;
};

/// The verdict comes with TokenBroker::takeDecisions(), at the latest after BrokerSettings::waitLimit.
struct Waiting
{
};

/// The request is refused and has not run.
struct Refused
{
    base::ResultCode code = base::ResultCode::RateExceeded;
    base::Duration retryAfter{}; ///< When a token is expected.
    base::VmId decidedBy{}; ///< Who holds the tokens and decided, where that is known.
    bool unanswered = false; ///< Nobody who holds tokens answered in time, so this node decided alone.
};

using Admission = std::variant<Admitted, Waiting, Refused>;

/// The late verdict on a request that was Waiting. Never Waiting again.
struct AdmissionDecision
{
    base::RequestId request;
    Admission admission;
};

/// One share of a workspace's rate and burst, as this node sees it.
struct ShareStatus
{
    base::ZoneId zone;
    base::VmId holder; ///< Empty: the zone has no VM that could hold it.
    bool held = false; ///< This node is the holder and may grant. The numbers below are only then set.
    double rate = 0; ///< Tokens per second of this share.
    double burst = 0;
    double level = 0; ///< Tokens ready.
    double outstanding = 0; ///< Tokens granted, and neither known to be spent, nor returned, nor expired.
    double borrowed = 0; ///< Tokens of other shares at hand.
};

/// For `papayastep status`.
struct WorkspaceStatus
{
    base::WorkspaceId workspace;
    base::Revision revision = 0;
    double entryTokens = 0; ///< Tokens that this node holds as an entry.
    double demand = 0; ///< Requests per second that came in here lately.
    std::vector<ShareStatus> shares;
};

/// Totals since the start, for metrics.
struct LimiterCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t admittedWaiting = 0; ///< Of these, after a wait for a holder.
    std::uint64_t refused = 0;
    std::uint64_t refusedUnanswered = 0; ///< Of these, because no holder answered in time.
    std::uint64_t givenBack = 0;
    std::uint64_t asksSent = 0;
    std::uint64_t grantsMade = 0;
    std::uint64_t loansMade = 0;
    double tokensGranted
        = 0; ///< Whole tokens in these grants, to this node's own requests too where it holds the share.
    double tokensLent = 0; ///< Whole tokens in these loans.
    std::uint64_t admittedLocally = 0; ///< Of the admitted, without a word of any holder.
    std::uint64_t returnsReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesIgnored = 0; ///< Late, repeated, from a stranger, or malformed.
    std::uint64_t tenuresLost = 0; ///< Times that this node had to stop granting for want of proof.
    std::uint64_t pauses = 0; ///< Times that the node was found to have been asleep.
};

/// Admits the requests that enter at this node, so that all nodes together keep to the rate and burst of each
/// workspace. Ways differ in what they do when they can't know: refuse, so that the cap holds whatever happens
/// (TokenBroker), or serve within an excess that operators tolerate (PooledLimiter).
///
/// Opens no socket; not thread-safe. After each call that may have decided something, the caller takes messages and
/// decisions.
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /// Puts `configuration` in force.
    virtual void applyConfiguration(config::ConfigurationPtr configuration) = 0;

    /// `heardAt`: when the platform was *asked* for the list. Older versions than the one in force are ignored.
    virtual void applyVmList(const config::VmList &list, base::TimePoint heardAt) = 0;

    /// Takes one token for `request`. A wait ends well before `deadline`.
    virtual Admission acquire(const base::WorkspaceId &workspace,
                              const base::RequestId &request,
                              base::TimePoint deadline)
        = 0;

    /// Forgets a waiting request whose caller has gone.
    virtual void cancelWaiting(const base::RequestId &request) = 0;

    /// The request of `token` was refused as not run. Call it once for a token.
    virtual void giveBack(const Token &token) = 0;

    /// A message of kind 10-19 came in. Never throws for bad payloads; counts them.
    virtual void receive(const base::VmId &from,
                         base::Incarnation incarnation,
                         wire::MessageKind kind,
                         std::string_view payload)
        = 0;

    /// Does what is due. Late calls do no harm to the cap.
    virtual void tick() = 0;

    /// When tick() is next needed; nothing while the node has nothing to wait for.
    virtual std::optional<base::TimePoint> nextTick() const = 0;

    /// This node is about to stop: refuses who waits, and grants nothing from now on.
    virtual void drain() = 0;

    virtual std::vector<wire::Outgoing> takeMessages() = 0;
    virtual std::vector<AdmissionDecision> takeDecisions() = 0;

    /// Whether this node can do its part. False for some seconds after a start, where that needs time.
    virtual bool isReady() const = 0;

    /// Whether a repeat on another backend server pays a token of its own.
    virtual bool chargesRepeats() const = 0;

    virtual WorkspaceStatus status(const base::WorkspaceId &workspace) const = 0;
    virtual const LimiterCounters &counters() const = 0;

    /// Workspaces that have any state here.
    virtual std::size_t activeWorkspaces() const = 0;
};

}
