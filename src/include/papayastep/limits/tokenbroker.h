#pragma once

#include "papayastep/base/resultcode.h"
#include "papayastep/config/configuration.h"
#include "papayastep/limits/tokens.h"
#include "papayastep/wire/message.h"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace papayastep::limits {

/// Who this node is.
struct BrokerSelf
{
    base::VmId vm;
    base::ZoneId zone;
    base::Incarnation incarnation = 0;
};

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
struct BrokerCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t admittedWaiting = 0; ///< Of these, after a wait for a holder.
    std::uint64_t refused = 0;
    std::uint64_t refusedSilent = 0; ///< Of these, because no holder answered in time.
    std::uint64_t givenBack = 0;
    std::uint64_t asksSent = 0;
    std::uint64_t grantsMade = 0;
    std::uint64_t loansMade = 0;
    std::uint64_t returnsReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesIgnored = 0; ///< Late, repeated, from a stranger, or malformed.
    std::uint64_t tenuresLost = 0; ///< Times that this node had to stop granting for want of proof.
    std::uint64_t pauses = 0; ///< Times that the node was found to have been asleep.
};

/// The token side of one node: takes tokens for the requests that enter here, and holds the shares that the VM list
/// gives to this VM. Opens no socket; not thread-safe.
///
/// After each call that may have decided something, the caller takes messages and decisions.
class TokenBroker
{
public:
    TokenBroker(const BrokerSelf &self, const base::Clock &clock, BrokerSettings settings = {});
    ~TokenBroker();
    TokenBroker(TokenBroker &&) noexcept;
    TokenBroker &operator=(TokenBroker &&) noexcept;

    /// Puts `configuration` in force. Older revisions than the one in force are ignored.
    void applyConfiguration(config::ConfigurationPtr configuration);

    /// `heardAt`: when the platform was *asked* for the list. Call it for an unchanged list too: a fresh list is proof
    /// that this node still holds its shares. Older versions than the one in force are ignored.
    void applyVmList(const config::VmList &list, base::TimePoint heardAt);

    /// Takes one token for `request`. A wait ends well before `deadline`.
    Admission acquire(const base::WorkspaceId &workspace, const base::RequestId &request, base::TimePoint deadline);

    /// Forgets a waiting request whose caller has gone.
    void cancelWaiting(const base::RequestId &request);

    /// The request of `token` was refused as not run. Call it once for a token. A token whose spending is known to
    /// its holder already is lost: its place may have been refilled.
    void giveBack(const Token &token);

    /// A message of kind 10-19 came in. Never throws for bad payloads; counts them.
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload);

    /// Does what is due. Late calls do no harm to the cap.
    void tick();

    /// When tick() is next needed; nothing while the node has nothing to wait for.
    std::optional<base::TimePoint> nextTick() const;

    /// This node is about to stop: refuses who waits, and grants nothing from now on. Its shares are not handed over;
    /// the next holders start empty.
    void drain();

    std::vector<wire::Outgoing> takeMessages();
    std::vector<AdmissionDecision> takeDecisions();

    /// Whether the shares that the VM list gives to this VM are in its hands. False for some seconds after a start,
    /// while an earlier holder could still grant.
    bool isSettled() const;

    WorkspaceStatus status(const base::WorkspaceId &workspace) const;
    const BrokerCounters &counters() const;

    /// Workspaces that have any state in this broker.
    std::size_t activeWorkspaces() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
