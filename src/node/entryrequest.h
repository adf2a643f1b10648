#pragma once

#include "papayastep/net/signal.h"
#include "papayastep/node/attempt.h"
#include "papayastep/node/entryhandler.h"
#include "papayastep/routing/requestmachine.h"

#include <optional>
#include <set>
#include <variant>

namespace papayastep::node {

/// One request of a caller at its entry, from its head to its answer. Lives in the coroutine that handles it.
///
/// The order is: who (key, workspace), where (route), whether (token, idempotency key), then attempt by attempt. Each
/// step either goes on or answers the caller with a refusal that says whether the request ran.
class EntryRequest
{
public:
    EntryRequest(EntryHandler &handler, net::ServerExchange &exchange);
    ~EntryRequest();

    EntryRequest(const EntryRequest &) = delete;
    EntryRequest &operator=(const EntryRequest &) = delete;

    net::Awaitable<void> run();

    void admissionDecided(const limits::Admission &admission);
    void ledgerDecided(const routing::ClaimAnswer &answer);
    void cancelAnswered(int attempt, routing::CancelAnswer answer);

private:
    /// A step's refusal; nothing means to go on.
    using Step = std::optional<routing::Refusal>;

    Step identify();
    Step findRoute();
    net::Awaitable<Step> readBody();
    net::Awaitable<Step> takeToken();
    net::Awaitable<Step> claimKey();
    net::Awaitable<void> runAttempts();

    Step place();
    AttemptPtr makeAttempt(const config::BackendServer &server, bool trial);
    net::ClientRequest forwardedRequest() const;
    net::Awaitable<routing::AttemptResult> waitForAttempt();
    routing::AttemptResult resultOfAttempt();
    std::optional<routing::AttemptResult> timeoutReached(base::TimePoint now);
    base::TimePoint nextTimeout() const;
    net::Awaitable<bool> act(const routing::RetryDecision &decision);
    net::Awaitable<bool> retry(const routing::RetryDecision &decision);

    net::Awaitable<void> passAnswer();
    net::Awaitable<void> passLargeAnswer(ServedAnswer &answer, net::ResponseHead head);
    net::Awaitable<void> refuse(routing::Refusal refusal);
    void reportToLedger(const routing::Refusal &refusal);
    void reportAnswerToLedger(const ServedAnswer &answer);
    void dropAttempt();

    EntryHandler &m_handler;
    NodeContext &m_context;
    net::ServerExchange &m_exchange;
    base::RequestId m_id;
    base::TimePoint m_arrived;
    net::Signal m_changed;
    routing::RequestMachine m_machine;
    routing::RequestProgress m_progress;

    InForce m_inForce; ///< Keeps the configuration of this request alive while it runs.
    std::string m_fingerprint;
    base::WorkspaceId m_workspace;
    const config::Route *m_route = nullptr;
    std::string m_body;
    std::string m_idempotencyKey;

    std::optional<limits::Admission> m_admission;
    std::optional<limits::Token> m_token;
    std::optional<routing::ClaimAnswer> m_claim;
    bool m_claimed = false; ///< The ledger was told that this request runs and waits for its end.

    AttemptPtr m_attempt;
    std::vector<base::BackendServerId> m_tried;
    base::BackendServerId m_advice;
    routing::AttemptTimeouts m_timeouts;
    base::TimePoint m_cancelSince;
    base::TimePoint m_cancelSent;
    std::set<routing::AttemptEvent> m_reported; ///< Timeouts of this attempt that were acted on already.
    bool m_resultTaken = false; ///< The end of the attempt was acted on; what is awaited now is word of a cancel.
    bool m_cancelling = false;
    bool m_callerGone = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< For callbacks that may come after the end.
};

}
