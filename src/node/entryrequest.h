#pragma once

#include "attemptmonitor.h"
#include "serverselector.h"

#include "papayastep/node/callerprotocol.h"
#include "papayastep/node/entryhandler.h"
#include "papayastep/routing/requestmachine.h"

#include <optional>

namespace papayastep::node {

/// One request of a caller at its entry, from its head to its answer. It exists as long as the coroutine that handles
/// it.
///
/// The request is processed in this order: route, key and workspace, rate limit token, idempotency key, then one
/// attempt after the other. Each step either continues or answers the caller with a refusal that states whether the
/// request ran.
class EntryRequest
{
public:
    EntryRequest(EntryHandler &handler, net::ServerExchange &exchange);
    ~EntryRequest();

    EntryRequest(const EntryRequest &) = delete;
    EntryRequest &operator=(const EntryRequest &) = delete;

    net::Awaitable<void> run();

    /// Moves the deadline to now.
    void expire();

    void admissionDecided(const limits::Admission &admission);
    void ledgerDecided(const routing::ClaimAnswer &answer);
    void ledgerRecorded();
    void cancelAnswered(int attempt, routing::CancelAnswer answer, const EntryHandler::CancelAnswerVerifier &proven);
    void slotOffered(const wire::SlotOffer &offer);

private:
    /// The refusal by a step; without a value the request continues.
    using Step = std::optional<routing::Refusal>;

    net::Awaitable<Step> prepare();
    bool mayBeCall() const;
    bool drawIsCallOfRepeat();
    void reportFailedCall();
    Step identify();
    Step identifyWorkspace();
    void applyRoute(const routing::RouteMatch &match);
    net::Awaitable<Step> readBody();
    routing::RequestDigest digest() const;
    Step checkServerEnds() const;
    void recordServerEnd();
    void notifyServerEnds();
    net::Awaitable<Step> takeToken();
    net::Awaitable<Step> takeRetryToken();
    net::Awaitable<Step> claimKey();
    net::Awaitable<void> runAttempts();

    net::Awaitable<Step> place();
    ServerRequirements serverRequirements() const;
    net::Awaitable<void> moveToOtherServer();
    void begin(const ChosenServer &chosen);
    AttemptPtr makeAttempt(const ChosenServer &chosen);
    net::ClientRequest forwardedRequest() const;
    net::Awaitable<bool> applyDecision(const routing::RetryDecision &decision);
    net::Awaitable<bool> retry(const routing::RetryDecision &decision);

    void keepFailure();
    net::Awaitable<void> forwardAnswer(ServedAnswer answer);
    net::Awaitable<void> sendStoredAnswer();
    net::Awaitable<void> forwardLargeAnswer(ServedAnswer &answer, net::ResponseHead head);
    net::Awaitable<void> refuse(routing::Refusal refusal);
    void logPlacement(const ChosenServer &chosen) const;
    void logAnswer(unsigned status, const base::BackendServerId &server) const;
    net::Awaitable<void> send(net::WholeAnswer answer);
    std::string refusalDetails(const routing::Refusal &refusal) const;
    void logContinuedWait(std::string_view reason) const;
    void abandon(std::string_view reason) const;
    void countOutcome(std::string_view outcome, base::ResultCode code) const;
    void logRefusal(const routing::Refusal &refusal) const;
    void reportToLedger(const routing::Refusal &refusal);
    void reportAnswerToLedger(const ServedAnswer &answer);
    net::Awaitable<void> waitForLedgerRecord();
    /// Returns the caller's own id of the request, or the id of this system if the caller sent none.
    std::string shownId() const;

    EntryHandler &m_handler;
    NodeContext &m_context;
    net::ServerExchange &m_exchange;
    base::RequestId m_id;
    base::TimePoint m_arrived;
    net::Signal m_changed;
    ServerSelector m_serverSelector;
    AttemptMonitor m_attemptMonitor;
    routing::RequestMachine m_machine;
    routing::RequestProgress m_progress;

    ActiveConfiguration m_active; ///< Keeps the configuration alive while the request runs.
    CallerRequest m_caller;
    std::string m_fingerprint;
    base::WorkspaceId m_workspace; ///< Empty for a public route.
    const config::Route *m_route = nullptr;
    bool m_isCall = false; ///< The request may be a call of a backend server of this VM.
    bool m_isCallOfRepeat = false; ///< The request counts as a call of a repeated run, and so as a repeat.
    int m_priority = 0;
    net::SharedBody m_body;

    std::optional<limits::Admission> m_admission;
    std::optional<limits::Token> m_token;
    std::optional<routing::ClaimAnswer> m_claim;
    bool m_claimed = false; ///< The ledger has granted the claim of this request and waits for its end.

    std::optional<ServedAnswer> m_failure; ///< Answer of an attempt that failed, forwarded if no later one is answered.
    std::vector<routing::ServerEnd> m_serverEnds; ///< The ends of servers under attempts of this request.
    base::BackendServerId m_currentServer; ///< Backend server of the last attempt.
    routing::SurveyTally m_surveyTally; ///< Answers to the last survey that found no server.
    std::string m_tokensRefusedBy; ///< The VM that refused, or `nobody-answered`; empty if unknown.
    bool m_callerGone = false;
    std::shared_ptr<bool> m_alive
        = std::make_shared<bool>(true); ///< Expires with the request, for callbacks that may run after its end.
};

}
