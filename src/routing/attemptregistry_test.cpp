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

    /// The entry's clock runs apart from ours by a fixed difference.
    SentStamp stampOf(base::Duration ago = 0s) const
    {
        return SentStamp{entry, 1, clock.now().time_since_epoch() - ago + 77h};
    }
    static AttemptId id(int number, int attempt = 1)
    {
        return AttemptId{base::RequestId{0, static_cast<std::uint64_t>(number)}, attempt};
    }
    RegistrationResult begin(int number, base::Duration remaining = 5s, base::Duration ago = 0s)
    {
        return registry.registerAttempt(id(number), stampOf(ago), remaining).result;
    }
    CancelAnswer cancel(int number, base::Duration remaining = 5s, base::Duration ago = 0s)
    {
        return registry.cancel(id(number), stampOf(ago), remaining);
    }
};

}

BOOST_FIXTURE_TEST_CASE(registry_withAttempt_followsIt, RegistryFixture)
{
    BOOST_TEST((begin(1) == RegistrationResult::Accepted));
    BOOST_TEST((begin(1) == RegistrationResult::Replayed));
    BOOST_TEST(registry.start(id(1)));
    BOOST_TEST(!registry.start(id(1)));
    BOOST_TEST((cancel(1) == CancelAnswer::Started));
    registry.finish(id(1));
    BOOST_TEST((cancel(1) == CancelAnswer::Done));
}

BOOST_FIXTURE_TEST_CASE(registry_withQueuedAttemptCancelled_neverStartsIt, RegistryFixture)
{
    begin(1);
    BOOST_TEST((cancel(1) == CancelAnswer::NeverStarted));
    BOOST_TEST(!registry.start(id(1)));
}

// The hop is slow and the cancel overtakes it. The entry has told the caller not-run by the time the hop arrives, so
// running it then would pay a refund that was refused.
BOOST_FIXTURE_TEST_CASE(registry_withCancelBeforeAttempt_refusesTheAttempt, RegistryFixture)
{
    BOOST_TEST((cancel(1) == CancelAnswer::NeverStarted));
    clock.advance(4s);
    BOOST_TEST((begin(1, 5s, 4s) == RegistrationResult::Cancelled));
}

// The hop is held up for far longer than the request's deadline, by a paused process or a sick network. The promise
// not to start it is forgotten by then, but the delay shows against the clock that the cancel brought.
RC_BOOST_FIXTURE_PROP(registry_withAttemptLateByAnyTime_neverRunsItAfterAPromise, RegistryFixture, ())
{
    const base::Duration remaining = std::chrono::milliseconds(*rc::gen::inRange(1, 10'000));
    const base::Duration cancelAfter = std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
    const base::Duration late = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
    if (*rc::gen::arbitrary<bool>()) {
        begin(2);
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

// A request waits in a queue past its deadline. Its caller has gone, so running it would only do harm.
BOOST_FIXTURE_TEST_CASE(registry_withDeadlinePassedInQueue_doesNotStart, RegistryFixture)
{
    begin(1, 5s);
    clock.advance(5s);
    BOOST_TEST(!registry.start(id(1)));
}

// A node hands a queued request to a sibling, and the entry asks the first to cancel. `Never started` would be
// false: the sibling may be running it.
BOOST_FIXTURE_TEST_CASE(registry_afterHandOver_makesNoPromise, RegistryFixture)
{
    begin(1);
    BOOST_TEST(registry.handOver(id(1)));
    BOOST_TEST((cancel(1) == CancelAnswer::HandedOver));
    registry.drop(id(1));
    BOOST_TEST((cancel(1) == CancelAnswer::NeverStarted));
    BOOST_TEST(!registry.handOver(id(1)));
}

// Attempts and cancels come faster than their deadlines pass. Forgetting a promise to make room would break it, so
// new attempts are refused, and cancels that can't be remembered get no promise.
BOOST_FIXTURE_TEST_CASE(registry_whenFull_refusesInsteadOfForgetting, RegistryFixture)
{
    for (int i = 0; i < 7; ++i) {
        BOOST_TEST((begin(i) == RegistrationResult::Accepted));
    }
    BOOST_TEST((begin(100) == RegistrationResult::Full));
    for (int i = 10; i < 13; ++i) {
        BOOST_TEST((cancel(i) == CancelAnswer::NeverStarted));
    }
    BOOST_TEST((cancel(13) == CancelAnswer::Unconfirmed));
    BOOST_TEST((cancel(3) == CancelAnswer::NeverStarted));
    clock.advance(7s);
    registry.tick();
    BOOST_TEST(registry.size() == 0u);
    BOOST_TEST((begin(100) == RegistrationResult::Accepted));
}

BOOST_FIXTURE_TEST_CASE(hopDelay_withSlowMessage_showsItsDelay, RegistryFixture)
{
    HopDelay delay(clock);
    BOOST_TEST((delay.observe(stampOf(2ms)) == 0s));
    BOOST_TEST((delay.observe(stampOf(1ms)) == 0s));
    BOOST_TEST((delay.observe(stampOf(301ms)) == 300ms));
    clock.advance(2h);
    delay.tick();
    BOOST_TEST(delay.size() == 0u);
}
