#include "papayastep/routing/retrybudget.h"
#include "papayastep/routing/retrypolicy.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;
using base::ResultCode;

namespace {

struct RetryFixture
{
    base::ManualClock clock;
    RetryBudget budget{clock};
    RetryPolicy policy{clock};
    RequestProgress progress;

    RetryFixture()
    {
        progress.service = base::ServiceId("counter");
        progress.workspace = base::WorkspaceId("north");
        progress.deadline = clock.now() + 10s;
    }
    RetryDecision after(AttemptEvent event, ResultCode code = ResultCode::Ok)
    {
        policy.beginAttempt(progress);
        return policy.decide(progress, AttemptResult{event, code, {}});
    }
};

const auto allEvents = rc::gen::element(AttemptEvent::ConnectionRefused,
                                        AttemptEvent::NotAcknowledged,
                                        AttemptEvent::AcknowledgedThenSilent,
                                        AttemptEvent::RefusedNotRun,
                                        AttemptEvent::ShedByServer,
                                        AttemptEvent::ServerError,
                                        AttemptEvent::Partial,
                                        AttemptEvent::Complete,
                                        AttemptEvent::DeadlinePassed,
                                        AttemptEvent::CancelNeverStarted,
                                        AttemptEvent::CancelStarted,
                                        AttemptEvent::CancelDone,
                                        AttemptEvent::CancelUnanswered);

/// Returns whether `event` by itself proves that its attempt did not run.
bool isProof(AttemptEvent event)
{
    return event == AttemptEvent::ConnectionRefused || event == AttemptEvent::RefusedNotRun
        || event == AttemptEvent::CancelNeverStarted;
}

}

// The counters must show whether lookups failed because the retry budget of the service or that of the workspace was
// spent, so that the users' engineers can find the cause.
BOOST_FIXTURE_TEST_CASE(retryBudget_whenSpent_countsRefusalsByBudget, RetryFixture)
{
    const base::WorkspaceId south("south");
    BOOST_TEST(budget.availableRetries().empty());
    budget.countRequest(progress.service, progress.workspace);
    const double before = budget.availableRetries().at(progress.service);
    BOOST_TEST(budget.spend(progress.service, progress.workspace));
    BOOST_TEST(budget.availableRetries().at(progress.service) == before - 1, boost::test_tools::tolerance(1e-9));
    while (budget.spend(progress.service, progress.workspace)) {}
    BOOST_TEST(!budget.spend(progress.service, south));

    BOOST_TEST(budget.availableRetries().at(progress.service) < 1);
    BOOST_TEST(budget.counters().spent == 5U);
    BOOST_TEST(budget.counters().refusedByService == 2U);
    const base::ServiceId van("van");
    while (budget.spend(van, progress.workspace)) {}
    BOOST_TEST(budget.counters().refusedByWorkspace == 1U);
}

BOOST_FIXTURE_TEST_CASE(retryPolicy_withIdempotentRequestAndSilence_triesElsewhere, RetryFixture)
{
    progress.idempotent = true;
    const auto decision = after(AttemptEvent::AcknowledgedThenSilent);
    BOOST_TEST((decision.action == RetryAction::RetryElsewhere));
    BOOST_TEST(decision.cancelPrevious);
}

// The link to the serving node fails in one direction after a refund was sent. Without proof a second attempt could pay
// the refund twice, so the node sends a cancel first, and retries only if the answer is that it never started.
BOOST_FIXTURE_TEST_CASE(retryPolicy_withRefundAndSilence_retriesOnlyOnProof, RetryFixture)
{
    BOOST_TEST((after(AttemptEvent::NotAcknowledged).action == RetryAction::CancelFirst));
    auto started = progress;
    const auto wait = policy.decide(started, AttemptResult{AttemptEvent::CancelStarted, ResultCode::Ok, {}});
    BOOST_TEST((wait.action == RetryAction::Wait));
    auto silent = progress;
    const auto lost = policy.decide(silent, AttemptResult{AttemptEvent::CancelUnanswered, ResultCode::Ok, {}});
    BOOST_TEST((lost.refusal
                == Refusal{Outcome::Unknown, ResultCode::OutcomeUnknown, RetryClass::AfterCheck, base::Duration(0)}));
    const auto proof = policy.decide(progress, AttemptResult{AttemptEvent::CancelNeverStarted, ResultCode::Ok, {}});
    BOOST_TEST((proof.action == RetryAction::RetryElsewhere));
}

// The first attempt of a lookup may have run and the second is refused by a full queue. The outcome not-run is true of
// the last refusal, but wrong for the request.
BOOST_FIXTURE_TEST_CASE(retryPolicy_afterAnAttemptThatMayHaveRun_neverReportsNotRun, RetryFixture)
{
    progress.idempotent = true;
    after(AttemptEvent::ServerError);
    RetryDecision decision = after(AttemptEvent::RefusedNotRun, ResultCode::HopQueueFull);
    while (decision.action == RetryAction::RetryElsewhere) {
        BOOST_TEST_REQUIRE(progress.nodeAttempts < RetrySettings().maxNodeAttempts);
        decision = after(AttemptEvent::RefusedNotRun, ResultCode::HopQueueFull);
    }
    BOOST_TEST((decision.action == RetryAction::Refuse));
    BOOST_TEST((decision.refusal.outcome == Outcome::Unknown));
}

// A hop arrives twice and the serving node refuses the second copy. The refusal does not report on the first copy,
// which may have paid the refund.
BOOST_FIXTURE_TEST_CASE(retryPolicy_withReplayRefusal_doesNotTreatItAsProof, RetryFixture)
{
    const auto decision = after(AttemptEvent::RefusedNotRun, ResultCode::HopReplayed);
    BOOST_TEST((decision.action == RetryAction::Refuse));
    BOOST_TEST((decision.refusal.outcome == Outcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(retryPolicy_withWithdrawnKey_refusesPermanently, RetryFixture)
{
    const auto decision = after(AttemptEvent::RefusedNotRun, ResultCode::KeyUnknown);
    BOOST_TEST((decision.refusal.outcome == Outcome::NotRun));
    BOOST_TEST((decision.refusal.retryClass == RetryClass::Never));
}

BOOST_FIXTURE_TEST_CASE(retryPolicy_withRefundAndErrorOfServer_forwardsTheError, RetryFixture)
{
    BOOST_TEST((after(AttemptEvent::ServerError).action == RetryAction::AnswerCaller));
    BOOST_TEST((after(AttemptEvent::ShedByServer).action == RetryAction::AnswerCaller));
    BOOST_TEST((after(AttemptEvent::Partial).refusal.outcome == Outcome::Unknown));
}

RC_BOOST_FIXTURE_PROP(retryPolicy_withAnyHistory_retriesAndReportsCorrectly,
                      RetryFixture,
                      (bool idempotent, bool hasKey))
{
    progress.idempotent = idempotent;
    progress.hasIdempotencyKey = hasKey;
    bool mayHaveRun = false;
    for (int step = 0; step < 6; ++step) {
        const auto event = *allEvents;
        const auto decision = after(event);
        const bool isOpen = decision.action == RetryAction::CancelFirst || decision.action == RetryAction::Wait;
        mayHaveRun = mayHaveRun || (!isProof(event) && !isOpen) || event == AttemptEvent::CancelDone;
        if (decision.action == RetryAction::RetryElsewhere) {
            RC_ASSERT(idempotent || !mayHaveRun);
            RC_ASSERT(progress.serverAttempts < RequestProgress().maxAttempts);
            continue;
        }
        if (decision.action == RetryAction::Refuse && decision.refusal.outcome == Outcome::NotRun) {
            RC_ASSERT(!mayHaveRun);
        }
        if (decision.action != RetryAction::CancelFirst && decision.action != RetryAction::Wait) {
            break;
        }
    }
}

// A service fails every request. To retry each would treble its load when it is least able to serve it, and callers of
// healthy workspaces would wait behind the retries.
BOOST_FIXTURE_TEST_CASE(retryBudget_underSteadyFailure_allowsOnlyItsShare, RetryFixture)
{
    int allowed = 0;
    for (int i = 0; i < 5000; ++i) {
        budget.countRequest(progress.service, progress.workspace);
        allowed += budget.spend(progress.service, progress.workspace) ? 1 : 0;
        clock.advance(10ms);
    }
    BOOST_TEST(allowed > 1000);
    BOOST_TEST(allowed < 1100);
}

BOOST_FIXTURE_TEST_CASE(retryBudget_spentByOneWorkspace_isLeftForAnother, RetryFixture)
{
    const base::WorkspaceId quiet("quiet");
    for (int i = 0; i < 100; ++i) {
        budget.countRequest(progress.service, quiet);
        budget.spend(progress.service, progress.workspace);
    }
    BOOST_TEST(!budget.spend(progress.service, progress.workspace));
    BOOST_TEST(budget.spend(progress.service, quiet));
}

BOOST_FIXTURE_TEST_CASE(retryBudget_withoutTraffic_isRemoved, RetryFixture)
{
    budget.countRequest(progress.service, progress.workspace);
    clock.advance(101s);
    budget.tick();
    BOOST_TEST(budget.size() == 0u);
}

BOOST_FIXTURE_TEST_CASE(timeouts_withAttemptsLeft_giveSilentServerAPartOfTheTime, RetryFixture)
{
    progress.serverAttempts = 1;
    BOOST_TEST((policy.timeouts(progress, 25ms).answer == 100ms));
    BOOST_TEST((policy.timeouts(progress, 2s).answer == 5s));
    BOOST_TEST((policy.timeouts(progress, 4s).answer == 10s));
    BOOST_TEST((policy.timeouts(progress, 0s).answer == 10s));
    progress.serverAttempts = 3;
    BOOST_TEST((policy.timeouts(progress, 25ms).answer == 10s));
}
