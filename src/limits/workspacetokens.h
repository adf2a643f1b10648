#pragma once

#include "brokercontext.h"
#include "decayingrate.h"
#include "lotstore.h"
#include "tokenshare.h"

#include <memory>
#include <optional>
#include <vector>

namespace papayastep::limits {

/// All that one broker knows of one workspace: requests that wait, tokens granted to this node, and the share, if this
/// node holds one. Exists only while the workspace is in use here.
///
/// A node plays up to two parts. As *entry* it asks the holder of its zone. As *gatherer* (the holder of its zone, or
/// whoever is asked as such) it answers entries from its share and from loans of the other shares. Loans are never
/// borrowed on, so no wish runs in circles.
class WorkspaceTokens
{
public:
    WorkspaceTokens(base::WorkspaceId id, BrokerContext &context);

    const base::WorkspaceId &id() const;

    Admission acquire(const base::RequestId &request, base::TimePoint deadline);
    /// False if the request does not wait here.
    bool cancelWaiting(const base::RequestId &request);
    bool giveBack(const Token &token);

    void receive(const base::VmId &from, base::Incarnation incarnation, const TokenAsk &ask);
    /// False for an answer that nobody waits for.
    bool receive(const base::VmId &from, base::Incarnation incarnation, const GrantAnswer &answer);
    /// False for a grant that is not open.
    bool receive(const GrantUse &use);

    /// Does what is due.
    void service();
    base::TimePoint nextDue() const;

    /// Nothing would be lost by forgetting this workspace.
    bool isIdle() const;
    /// This node holds a share of it.
    bool holdsShare() const;

    /// The clock stood still: everything may have expired. Refuses who waits.
    void forgetTokens();
    /// Gives loans back and stops granting.
    void drain();

    WorkspaceStatus status();

private:
    /// One share, as seen from here.
    struct ShareView
    {
        base::ZoneId zone;
        base::VmId holder;
        double rate = 0; ///< Tokens (billionths) per second.
        Tokens burst = 0;
        Tokens level = 0; ///< When last told.
        base::TimePoint levelReceivedAt; ///< Long ago: never told, taken for full.
        base::TimePoint busyUntil;
        bool unanswered = false; ///< Did not answer the requests that wait now.
    };

    /// Somebody who waits for tokens here: a request, or the ask of another node.
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
    void forgetAsks(Condition condition);

    Tokens ownLevel() const;
    Tokens available() const;
    std::optional<Token> takeToken();
    bool isGatherer() const;

    void serveWaiters();
    bool serveFirst();
    void refuseAll(base::ResultCode code);
    void refuse(const Waiter &need, base::ResultCode code);
    void refuseExpired();

    void requestMissing();
    Tokens uncovered() const;
    void askEntryHolder(Tokens urgent, Tokens extra);
    void borrow(Tokens urgent, Tokens extra);
    void send(std::size_t site, Tokens urgent, Tokens wanted, bool loan);
    void prefetch();
    bool hasOpenAsks() const;

    void answer(const Waiter &need, Tokens amount);
    Tokens grantParts(GrantAnswer &answer, Tokens amount);
    void answerLoan(const base::VmId &from, base::Incarnation incarnation, const TokenAsk &ask);
    std::uint32_t reportWithin() const;

    Tokens expectedLevel(const ShareView &site) const;
    base::Duration retryAfter() const;
    bool isOverloaded() const;

    base::WorkspaceId m_id;
    BrokerContext &m_context;
    std::uint64_t m_topology = 0;
    std::uint64_t m_term = 0;
    double m_rate = 0;
    std::vector<ShareView> m_views;
    std::size_t m_ownView = 0; ///< The site that this node turns to.
    std::unique_ptr<TokenShare> m_share;
    base::TimePoint m_shareSince; ///< The share was empty then.
    bool m_shareChecked = false; ///< Since the last change of list or configuration.
    LotStore m_lots;
    std::vector<Waiter> m_waiters; ///< In the order of their coming.
    std::vector<PendingAsk> m_asks;
    bool m_answeredShort = false; ///< For the requests that wait now, a holder said that there is no more.
    int m_loanRounds = 0; ///< Rounds of loans asked for the requests that wait now.
    base::Duration m_receivedRetryAfter{}; ///< What the holder said last.
    base::TimePoint m_refusedUntil; ///< Asking before would be in vain.
    base::TimePoint m_lastUse;
    DecayingRate m_requestedRate; ///< Tokens that were asked for here.
    DecayingRate m_refusedRate; ///< Of these, refused.
};

}
