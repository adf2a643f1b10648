#include "papayastep/routing/attemptregistry.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct RegistryFixture
{
    base::ManualClock clock;
    AttemptRegistry registry{clock, AttemptRegistrySettings{10, 3}};
    base::VmId entry{"entry"};

    /// Returns a stamp of the entry, whose clock differs from the registry's by a fixed offset.
    SentStamp stampOf(base::Duration ago = 0s) const
    {
        return SentStamp{entry, 1, clock.now().time_since_epoch() - ago + 77h};
    }
    static AttemptId id(int number, int attempt = 1)
    {
        return AttemptId{base::RequestId{0, static_cast<std::uint64_t>(number)}, attempt};
    }
    RegistrationResult registerAttempt(int number, base::Duration remaining = 5s, base::Duration ago = 0s)
    {
        return registry.registerAttempt(id(number), stampOf(ago), remaining).result;
    }
    CancelAnswer cancel(int number, base::Duration remaining = 5s, base::Duration ago = 0s)
    {
        return registry.cancel(id(number), stampOf(ago), remaining);
    }
};

}

BOOST_FIXTURE_TEST_CASE(registry_withAttempt_tracksItsState, RegistryFixture)
{
    BOOST_TEST((registerAttempt(1) == RegistrationResult::Accepted));
    BOOST_TEST((registerAttempt(1) == RegistrationResult::Replayed));
    BOOST_TEST(registry.start(id(1)));
    BOOST_TEST(!registry.start(id(1)));
    BOOST_TEST((cancel(1) == CancelAnswer::Started));
    registry.finish(id(1));
    BOOST_TEST((cancel(1) == CancelAnswer::Done));
}

BOOST_FIXTURE_TEST_CASE(registry_withQueuedAttemptCancelled_neverStartsIt, RegistryFixture)
{
    registerAttempt(1);
    BOOST_TEST((cancel(1) == CancelAnswer::NeverStarted));
    BOOST_TEST(!registry.start(id(1)));
}

// The hop is delayed and the cancel arrives first. The entry has answered the caller with not-run when the hop arrives,
// so that running it would pay a refund that was refused.
BOOST_FIXTURE_TEST_CASE(registry_withCancelBeforeAttempt_refusesTheAttempt, RegistryFixture)
{
    BOOST_TEST((cancel(1) == CancelAnswer::NeverStarted));
    clock.advance(4s);
    BOOST_TEST((registerAttempt(1, 5s, 4s) == RegistrationResult::Cancelled));
}

// A paused process or a network fault delays the hop for far longer than the request's deadline. The record of the
// cancel is removed by then, but the sending time of the cancel shows that the hop is late.
RC_BOOST_FIXTURE_PROP(registry_withAttemptLateByAnyTime_neverRunsItAfterItsCancel, RegistryFixture, ())
{
    const base::Duration remaining = std::chrono::milliseconds(*rc::gen::inRange(1, 10'000));
    const base::Duration cancelAfter = std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
    const base::Duration late = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
    if (*rc::gen::arbitrary<bool>()) {
        registerAttempt(2);
        clock.advance(1s);
    }
    const auto sent = stampOf();
    clock.advance(cancelAfter);
    RC_ASSERT(registry.cancel(id(1), stampOf(), remaining - cancelAfter) == CancelAnswer::NeverStarted);
    clock.advance(late);
    registry.tick();
    const auto result = registry.registerAttempt(id(1), sent, remaining).result;
    RC_ASSERT(result == RegistrationResult::Cancelled || result == RegistrationResult::TooLate);
}

// A request waits in a queue until after its deadline. Its caller has disconnected, so running it would only do harm.
BOOST_FIXTURE_TEST_CASE(registry_withDeadlinePassedInQueue_doesNotStart, RegistryFixture)
{
    registerAttempt(1, 5s);
    clock.advance(5s);
    BOOST_TEST(!registry.start(id(1)));
}

// A node hands a queued request over to a sibling, and the entry sends the node a cancel. The answer `never started`
// would be wrong, as the sibling may be running the request.
BOOST_FIXTURE_TEST_CASE(registry_afterHandOver_doesNotConfirmTheCancel, RegistryFixture)
{
    registerAttempt(1);
    BOOST_TEST(registry.handOver(id(1)));
    BOOST_TEST((cancel(1) == CancelAnswer::HandedOver));
    registry.drop(id(1));
    BOOST_TEST((cancel(1) == CancelAnswer::NeverStarted));
    BOOST_TEST(!registry.handOver(id(1)));
}

// Attempts and cancels arrive faster than their deadlines pass. If a cancel's record were removed to make room, its
// attempt could still run. So new attempts are refused, and cancels that can't be recorded are not confirmed.
BOOST_FIXTURE_TEST_CASE(registry_whenFull_refusesInsteadOfRemovingRecords, RegistryFixture)
{
    for (int i = 0; i < 7; ++i) {
        BOOST_TEST((registerAttempt(i) == RegistrationResult::Accepted));
    }
    BOOST_TEST((registerAttempt(100) == RegistrationResult::Full));
    for (int i = 10; i < 13; ++i) {
        BOOST_TEST((cancel(i) == CancelAnswer::NeverStarted));
    }
    BOOST_TEST((cancel(13) == CancelAnswer::Unconfirmed));
    BOOST_TEST((cancel(3) == CancelAnswer::NeverStarted));
    clock.advance(7s);
    registry.tick();
    BOOST_TEST(registry.size() == 0u);
    BOOST_TEST((registerAttempt(100) == RegistrationResult::Accepted));
}

BOOST_FIXTURE_TEST_CASE(hopDelay_withSlowMessage_returnsItsDelay, RegistryFixture)
{
    HopDelay delay(clock);
    BOOST_TEST((delay.observe(stampOf(2ms)) == 0s));
    BOOST_TEST((delay.observe(stampOf(1ms)) == 0s));
    BOOST_TEST((delay.observe(stampOf(301ms)) == 300ms));
    clock.advance(2h);
    delay.tick();
    BOOST_TEST(delay.size() == 0u);
}
