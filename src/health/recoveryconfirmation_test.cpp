#include "papayastep/health/recoveryconfirmation.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace std::chrono_literals;

namespace {

/// A server that has just been held.
struct HeldServer
{
    HeldServer()
    {
        recovery.begin(clock.now());
    }
    bool admits(bool idempotent) const
    {
        return recovery.admits(idempotent, false, clock.now());
    }

    base::ManualClock clock;
    RecoveryConfirmation recovery{RecoverySettings{true}};
};

}

BOOST_FIXTURE_TEST_SUITE(recoveryConfirmation, HeldServer)

// Guards against requests that can't be repeated at a server whose gray failure lasts longer than its hold.
BOOST_AUTO_TEST_CASE(heldServer_whileTrialsFail_getsNoRequestThatCantBeRepeated)
{
    for (int trial = 0; trial < 20; ++trial) {
        clock.advance(1400ms);
        BOOST_TEST(admits(true));
        BOOST_TEST(!admits(false));
        recovery.recordFailure(clock.now());
    }
    BOOST_TEST(recovery.isPending());
    BOOST_TEST((recovery.summary() == RecoverySummary{0, 21, 28s}));
}

// Guards against a hold that ends with a single answer, as servers answer some requests during a gray failure.
BOOST_AUTO_TEST_CASE(recovery_afterTwoAnswersInARow_isConfirmed)
{
    recovery.recordAnswer(clock.now());
    recovery.recordFailure(clock.now());
    recovery.recordAnswer(clock.now());
    BOOST_TEST(recovery.isPending());
    recovery.recordAnswer(clock.now());
    BOOST_TEST(!recovery.isPending());
}

// Guards against a server that stays without work for seconds after the end of its gray failure.
BOOST_AUTO_TEST_CASE(heldServer_whoseTrialWasAnswered_admitsTheNextOneAtOnce)
{
    clock.advance(1s);
    recovery.recordAnswer(clock.now());
    BOOST_TEST(admits(true));
    BOOST_TEST(!recovery.admits(true, true, clock.now()));
}

// Guards against a server that is never used again, because its service gets no requests that can be repeated.
BOOST_AUTO_TEST_CASE(heldServer_withoutOtherRequests_admitsRiskyTrialsAtGrowingIntervals)
{
    for (const base::Duration delay : {2s, 4s, 8s, 8s}) {
        clock.advance(delay - 1ms);
        BOOST_TEST(!admits(false));
        clock.advance(1ms);
        BOOST_TEST(admits(false));
        recovery.recordFailure(clock.now());
    }
}

// Guards against a server that stays without work for seconds after an answered trial, if its service gets only
// requests that can't be repeated.
BOOST_AUTO_TEST_CASE(heldServer_whoseRiskyTrialWasAnswered_admitsTheNextOneSoon)
{
    recovery.recordFailure(clock.now());
    clock.advance(4s);
    recovery.recordAnswer(clock.now());
    BOOST_TEST(!admits(false));
    clock.advance(1s);
    BOOST_TEST(admits(false));
}

BOOST_AUTO_TEST_CASE(server_whereNoConfirmationIsRequired_isNeverPending)
{
    RecoveryConfirmation other;
    other.begin(clock.now());
    BOOST_TEST(!other.isPending());
}

BOOST_AUTO_TEST_SUITE_END()
