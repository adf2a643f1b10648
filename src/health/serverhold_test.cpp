#include "papayastep/health/serverhold.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

namespace {

/// A server that has answered a few requests.
struct AnsweringServer
{
    AnsweringServer()
    {
        for (int i = 0; i < 5; ++i) {
            run(AttemptOutcome::Success);
        }
    }
    HoldChange run(AttemptOutcome outcome)
    {
        const AttemptKey attempt{base::RequestId{1, ++number}, 1};
        hold.started(attempt, clock.now());
        clock.advance(100ms);
        return hold.ended(attempt, outcome, 1, clock.now());
    }

    base::ManualClock clock;
    ServerHold hold{clock.now()};
    std::uint64_t number = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(serverHold, AnsweringServer)

BOOST_AUTO_TEST_CASE(server_withIncompleteAnswers_isHeldAndReturnsAfterACompleteOne)
{
    BOOST_TEST((run(AttemptOutcome::Partial) == HoldChange::Held));
    BOOST_TEST(hold.isHeldBack());
    BOOST_TEST((run(AttemptOutcome::Partial) == HoldChange::None));
    BOOST_TEST((run(AttemptOutcome::Success) == HoldChange::Returned));
    BOOST_TEST(!hold.isHeldBack());
    BOOST_TEST((run(AttemptOutcome::Success) == HoldChange::None));
}

// Guards against many requests that meet the gray failure at once when the first trial request is admitted.
BOOST_AUTO_TEST_CASE(heldServer_withATrialRequestInFlight_admitsNoOther)
{
    run(AttemptOutcome::Partial);
    clock.advance(1s);
    BOOST_TEST(hold.admits(true, clock.now()));
    BOOST_TEST(!hold.admits(false, clock.now()));
    const AttemptKey trial{base::RequestId{2, 1}, 1};
    hold.started(trial, clock.now());
    BOOST_TEST(!hold.admits(true, clock.now()));
    hold.ended(trial, AttemptOutcome::CancelledByUs, 1, clock.now());
    BOOST_TEST(hold.admits(true, clock.now()));
}

// Guards against holding a server for load, or for failures outside the server.
BOOST_AUTO_TEST_CASE(server_whoseRunsEndForOtherReasons_isNotHeld)
{
    for (const auto outcome : {AttemptOutcome::CallFailed,
                               AttemptOutcome::Shed,
                               AttemptOutcome::ConnectionRefused,
                               AttemptOutcome::CancelledByUs}) {
        BOOST_TEST((run(outcome) == HoldChange::None));
        BOOST_TEST(hold.admits(false, clock.now()));
    }
}

BOOST_AUTO_TEST_CASE(server_withOverdueRuns_isHeld)
{
    BOOST_TEST((hold.recordOverdue(clock.now()) == HoldChange::None));
    int held = 0;
    for (int i = 0; i < 3; ++i) {
        held += hold.recordOverdue(clock.now()) == HoldChange::Held ? 1 : 0;
    }
    BOOST_TEST(held == 1);
    BOOST_TEST(!hold.admits(true, clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A server that has answered a few requests, was then held, and must answer trial requests to return.
struct ServerToBeConfirmed
{
    ServerToBeConfirmed()
    {
        for (int i = 0; i < 5; ++i) {
            run(AttemptOutcome::Success);
        }
        hold.started(earlier, clock.now());
        run(AttemptOutcome::Partial);
    }
    HoldChange run(AttemptOutcome outcome)
    {
        const AttemptKey attempt{base::RequestId{1, ++number}, 1};
        hold.started(attempt, clock.now());
        clock.advance(100ms);
        return hold.ended(attempt, outcome, 1, clock.now());
    }

    base::ManualClock clock;
    ServerHold hold{clock.now(), RecoverySettings{true}};
    const AttemptKey earlier{base::RequestId{2, 1}, 1}; ///< An attempt that was started before the hold.
    std::uint64_t number = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(serverToBeConfirmed, ServerToBeConfirmed)

// Guards against requests that can't be repeated at a server whose hold has merely become old.
BOOST_AUTO_TEST_CASE(heldServer_afterManySeconds_stillHasToAnswerTrials)
{
    clock.advance(1900ms);
    BOOST_TEST(!hold.admits(false, clock.now()));
    BOOST_TEST(hold.admits(true, clock.now()));
    clock.advance(1min);
    BOOST_TEST(hold.grayProbability(clock.now()) > GrayFailureEstimatorSettings().trialThreshold);
    BOOST_TEST(hold.grayProbability(clock.now()) < GrayFailureEstimatorSettings().holdThreshold);
    BOOST_TEST((run(AttemptOutcome::Success) == HoldChange::None));
    BOOST_TEST((run(AttemptOutcome::Success) == HoldChange::Returned));
    BOOST_TEST(hold.admits(false, clock.now()));
}

// Guards against a hold that ends by answers to requests that the gray failure did not affect.
BOOST_AUTO_TEST_CASE(heldServer_thatAnswersEarlierRequests_remainsHeld)
{
    BOOST_TEST((hold.ended(earlier, AttemptOutcome::Success, 1, clock.now()) == HoldChange::None));
    BOOST_TEST((run(AttemptOutcome::Success) == HoldChange::None));
    BOOST_TEST(hold.recovery().isPending());
}

// Guards against servers that stay without work after a start, because all runs count as overdue until the usual run
// time is known.
BOOST_AUTO_TEST_CASE(server_heldForOverdueRuns_needsNoConfirmation)
{
    ServerHold other(clock.now(), RecoverySettings{true});
    other.recordOverdue(clock.now());
    other.recordOverdue(clock.now());
    BOOST_TEST(!other.admits(false, clock.now()));
    BOOST_TEST(!other.recovery().isPending());
    clock.advance(10s);
    BOOST_TEST(other.admits(false, clock.now()));
}

// Guards against entries that ask a held server in vain, because it seems to take trial requests all the time.
BOOST_AUTO_TEST_CASE(heldServer_whoseNextTrialIsNotDue_reportsAHighProbability)
{
    BOOST_TEST(hold.grayProbability(clock.now()) > GrayFailureEstimatorSettings().holdThreshold);
    clock.advance(1s);
    BOOST_TEST(hold.grayProbability(clock.now()) < GrayFailureEstimatorSettings().holdThreshold);
    hold.started({base::RequestId{3, 1}, 1}, clock.now());
    BOOST_TEST(hold.grayProbability(clock.now()) > GrayFailureEstimatorSettings().holdThreshold);
}

// Guards against a recovery that is confirmed by two answers with a hanging trial between them.
BOOST_AUTO_TEST_CASE(heldServer_whoseTrialHangs_startsOverWithItsAnswers)
{
    run(AttemptOutcome::Success);
    hold.started({base::RequestId{3, 1}, 1}, clock.now());
    hold.recordOverdue(clock.now());
    BOOST_TEST((run(AttemptOutcome::Success) == HoldChange::None));
    BOOST_TEST(hold.recovery().isPending());
}

BOOST_AUTO_TEST_SUITE_END()
