#include "papayastep/limits/coldstartlimiter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace papayastep;
using namespace papayastep::limits;
using namespace std::chrono_literals;

namespace {

/// A server that is cold for three seconds after its start and bears eleven requests a second meanwhile.
struct ColdServer
{
    ColdServer()
    {
        limiter.setColdStart({3s, 11});
    }

    /// Starts an attempt every 5 ms if the limit allows it, and returns the times of the starts.
    std::vector<base::TimePoint> pressFor(base::Duration duration)
    {
        std::vector<base::TimePoint> starts;
        const base::TimePoint end = clock.now() + duration;
        while (clock.now() < end) {
            if (limiter.wait(0) == base::Duration::zero()) {
                limiter.recordStart();
                starts.push_back(clock.now());
            }
            clock.advance(5ms);
        }
        return starts;
    }

    static std::size_t mostInOneSecond(const std::vector<base::TimePoint> &starts)
    {
        std::size_t most = 0;
        for (auto first = starts.begin(); first != starts.end(); ++first) {
            const auto end = std::lower_bound(first, starts.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    base::ManualClock clock;
    ColdStartLimiter limiter{clock};
};

}

BOOST_FIXTURE_TEST_SUITE(coldStartLimiter, ColdServer)

// Guards against a cold server that fails because it receives more than the published rate in some second.
BOOST_AUTO_TEST_CASE(starts_whileServerIsCold_stayWithinRateInEverySecond)
{
    limiter.setColdUntil(clock.now() + 3s);
    const auto starts = pressFor(2990ms);
    BOOST_TEST(mostInOneSecond(starts) == 11U);
    BOOST_TEST(starts.size() >= 30U);
    clock.advance(20ms);
    BOOST_TEST(pressFor(1s).size() == 200U);
}

// Guards against starts just before a server becomes cold that are not counted for its first second.
BOOST_AUTO_TEST_CASE(server_thatTurnsColdWhileBusy_getsNoMoreUntilTheSecondHasPassed)
{
    pressFor(500ms);
    limiter.setColdUntil(clock.now() + 3s);
    BOOST_TEST(pressFor(900ms).empty());
}

// Guards against a restart that goes unnoticed because the directory reports it seconds later.
BOOST_AUTO_TEST_CASE(server_thatAnswersAfterASuspectedRestart_isColdFromItsFirstAnswer)
{
    limiter.suspectRestart();
    clock.advance(10s);
    BOOST_TEST(limiter.isUnverified());
    BOOST_TEST(limiter.isCold());
    limiter.recordAnswer();
    BOOST_TEST(!limiter.isUnverified());
    clock.advance(2990ms);
    BOOST_TEST(limiter.isCold());
    clock.advance(20ms);
    BOOST_TEST(!limiter.isCold());
}

BOOST_AUTO_TEST_CASE(server_thatReportsToBeWarmAfterASuspectedRestart_isNotLimited)
{
    limiter.suspectRestart();
    limiter.setColdUntil(clock.now());
    BOOST_TEST(!limiter.isCold());
}

// Guards against a limit on healthy servers whose connections break now and then.
BOOST_AUTO_TEST_CASE(lostAttempts_withAnswersBetween_areNoSuspicion)
{
    for (int round = 0; round < 10; ++round) {
        limiter.recordLostAttempt();
        limiter.recordAnswer();
    }
    BOOST_TEST(!limiter.isCold());
    limiter.recordLostAttempt();
    limiter.recordLostAttempt();
    BOOST_TEST(limiter.isUnverified());
}

BOOST_AUTO_TEST_CASE(wait_behindOthers_isTheTimeOfTheNextFreeStart)
{
    limiter.setColdUntil(clock.now() + 30s);
    BOOST_TEST((limiter.wait(10) == 0s));
    BOOST_TEST((limiter.wait(11) == 1s));
    BOOST_TEST((limiter.wait(22) == 2s));
    limiter.recordStart();
    clock.advance(400ms);
    BOOST_TEST((limiter.wait(9) == 0s));
    BOOST_TEST((limiter.wait(10) == 600ms));
    limiter.setColdUntil(clock.now() + 250ms);
    BOOST_TEST((limiter.wait(10) == 250ms));
}

BOOST_AUTO_TEST_CASE(server_withoutPublishedRate_isNotLimited)
{
    limiter.setColdStart({});
    limiter.suspectRestart();
    limiter.setColdUntil(clock.now() + 3s);
    BOOST_TEST(!limiter.isCold());
    BOOST_TEST(pressFor(1s).size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
