#pragma once

#include "brokercontext.h"
#include "decayingrate.h"
#include "lotstore.h"
#include "tokenshare.h"

#include <memory>
#include <optional>
#include <vector>

namespace papayastep::limits {

/// State of one workspace at one broker: waiting requests, tokens granted to this node, and the share if this node
/// holds one. It exists only while the workspace is in use at this node.
///
/// A node has up to two roles. As *entry* it asks the holder of its zone. As *gatherer* (the holder of its zone, or a
/// node that is asked as such) it answers entries from its share and from loans of the other shares. A holder answers
/// an ask for a loan from its own level only, so asks cannot loop.
class WorkspaceTokens
{
public:
    WorkspaceTokens(base::WorkspaceId id, BrokerContext &context);

    const base::WorkspaceId &id() const;

    Admission acquire(const base::RequestId &request, base::TimePoint deadline);
    /// Returns false if the request is not waiting here.
    bool cancelWaiting(const base::RequestId &request);
    bool giveBack(const Token &token);

    void receive(const base::VmId &from, base::Incarnation incarnation, const TokenAsk &ask);
    /// Returns false for an answer to an unknown ask.
    bool receive(const base::VmId &from, base::Incarnation incarnation, const GrantAnswer &answer);
    /// Returns false for a report on a grant that is not open.
    bool receive(const GrantUse &use);

    /// Handles timers that are due.
    void service();
    base::TimePoint nextDue() const;

    /// Whether the state of this workspace can be removed without loss.
    bool isIdle() const;
    /// Whether this node holds a share of the workspace.
    bool holdsShare() const;

    /// Removes all tokens and refuses the waiting requests. Called after a clock stop, when all tokens may have
    /// expired.
    void dropTokens();
    /// Refuses the waiting requests and stops granting.
    void drain();

    WorkspaceStatus status();

private:
    /// One share of the workspace, as known at this node.
    struct ShareView
    {
        base::ZoneId zone;
        base::VmId holder;
        double rate = 0; ///< Tokens (billionths) per second.
        Tokens burst = 0;
        Tokens level = 0; ///< Level in the last answer of the holder.
        /// Time of the last answer; the default, long ago, makes the share count as full.
        base::TimePoint levelReceivedAt;
        base::TimePoint busyUntil;
        bool unanswered = false; ///< The holder did not answer an ask for the requests that are waiting now.
    };

    /// A request of this node or an ask of another node that waits for tokens.
    struct Waiter
    {
        bool remote = false;
        base::RequestId request;
        base::VmId from;
        base::Incarnation incarnation = 0;
        std::uint64_t askId = 0;
        Tokens urgent = 0;
        Tokens wanted = 0;
        base::TimePoint until;
    };

    struct PendingAsk
    {
        std::uint64_t id = 0;
        std::size_t view = 0;
        base::VmId to;
        Tokens urgent = 0;
        Tokens wanted = 0;
        bool loan = false;
        bool timedOut = false;
        base::TimePoint askedAt;
    };

    base::TimePoint idleAt() const;
    void refresh();
    void rebuildViews(const config::Workspace &workspace);
    void refreshShare();
    void updateShare(base::TimePoint now);
    void dropAll(base::ResultCode code);
    template<typename Condition>
    void removeAsks(Condition condition);

    Tokens ownLevel() const;
    Tokens available() const;
    std::optional<Token> takeToken();
    bool isGatherer() const;

    void serveWaiters();
    bool serveFirst();
    void refuseAll(base::ResultCode code);
    void refuse(const Waiter &waiter, base::ResultCode code);
    void refuseExpired();

    void requestMissing();
    Tokens uncovered() const;
    void askEntryHolder(Tokens urgent, Tokens extra);
    void borrow(Tokens urgent, Tokens extra);
    void send(std::size_t view, Tokens urgent, Tokens wanted, bool loan);
    void prefetch();
    bool hasOpenAsks() const;

    void answer(const Waiter &waiter, Tokens amount);
    Tokens grantParts(GrantAnswer &answer, Tokens amount);
    void answerLoan(const base::VmId &from, base::Incarnation incarnation, const TokenAsk &ask);
    std::uint32_t reportWithin() const;

    Tokens expectedLevel(const ShareView &view) const;
    base::Duration retryAfter() const;
    bool isOverloaded() const;

    base::WorkspaceId m_id;
    BrokerContext &m_context;
    std::uint64_t m_topology = 0;
    std::uint64_t m_term = 0;
    double m_rate = 0;
    std::vector<ShareView> m_views;
    std::size_t m_ownView = 0; ///< Index of the share whose holder this node asks first.
    std::unique_ptr<TokenShare> m_share;
    base::TimePoint m_shareSince; ///< Time at which the share was empty.
    bool m_shareChecked = false; ///< The share was updated after the last change of VM list or configuration.
    LotStore m_lots;
    std::vector<Waiter> m_waiters; ///< In order of arrival.
    std::vector<PendingAsk> m_asks;
    bool m_answeredShort = false; ///< A holder granted less than was urgent for the requests that are waiting now.
    int m_loanRounds = 0; ///< Number of rounds of loan asks for the requests that are waiting now.
    base::Duration m_receivedRetryAfter{}; ///< Retry time in the last answer, or of the last refusal.
    base::TimePoint m_refusedUntil; ///< Time until which requests are refused without an ask.
    base::TimePoint m_lastUse;
    DecayingRate m_requestedRate; ///< Rate of tokens requested at this node.
    DecayingRate m_refusedRate; ///< Rate of requested tokens that were refused.
};

}
