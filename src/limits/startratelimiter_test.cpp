#include "papayastep/limits/startratelimiter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace papayastep;
using namespace papayastep::limits;
using namespace std::chrono_literals;

namespace {

struct LimitedServer
{
    /// Starts attempts every 5 ms, as many as the limit allows, up to `slots` at a time.
    void pressFor(base::Duration duration, int slots = 20)
    {
        for (const base::TimePoint end = clock.now() + duration; clock.now() < end; clock.advance(5ms)) {
            for (int slot = 0; slot < slots && limiter.wait(0) == base::Duration::zero(); ++slot) {
                limiter.recordStart();
                starts.push_back(clock.now());
            }
        }
    }

    std::size_t mostWithin(base::Duration window) const
    {
        std::size_t most = 0;
        for (auto first = starts.begin(); first != starts.end(); ++first) {
            const auto last = std::lower_bound(first, starts.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    base::ManualClock clock;
    StartRateLimiter limiter{clock};
    std::vector<base::TimePoint> starts;
};

}

BOOST_FIXTURE_TEST_SUITE(startRateLimiter, LimitedServer)

BOOST_AUTO_TEST_CASE(server_withoutLimit_isNotDelayed)
{
    limiter.recordStart();
    BOOST_TEST((limiter.wait(1000) == base::Duration::zero()));
}

// Guards against a limit that is rounded to whole requests, kept in single seconds only or exceeded after a pause.
BOOST_AUTO_TEST_CASE(starts_underSteadyPressure_stayWithinTheLimitInAnyWindow)
{
    for (const double rate : {0.5, 1.0, 3.4, 10.0, 250.0}) {
        starts.clear();
        limiter.setRate(rate);
        pressFor(10s);
        clock.advance(30s);
        pressFor(10s);
        BOOST_TEST(static_cast<double>(mostWithin(4s)) <= 4.25 * rate + 2, "rate " << rate);
        BOOST_TEST(static_cast<double>(mostWithin(1s)) <= 1.25 * rate + 2, "rate " << rate);
        BOOST_TEST(static_cast<double>(starts.size()) >= 19 * rate - 2, "rate " << rate);
    }
}

// Guards against a burst of starts at the moment at which a server names a limit for the first time.
BOOST_AUTO_TEST_CASE(firstLimit_afterATimeWithoutOne_givesNoStartAtOnce)
{
    clock.advance(1h);
    limiter.setRate(2);
    BOOST_TEST((limiter.wait(0) == 500ms));
    BOOST_TEST((limiter.wait(3) == 2s));
}

BOOST_AUTO_TEST_CASE(lowerLimit_appliesToAllStartsFromThenOn)
{
    limiter.setRate(100);
    clock.advance(1s);
    limiter.setRate(1);
    BOOST_TEST((limiter.wait(0) == base::Duration::zero()));
    BOOST_TEST((limiter.wait(1) == 1s));
    limiter.setRate(std::nullopt);
    BOOST_TEST((limiter.wait(1000) == base::Duration::zero()));
}

// Guards against a server that gets nothing for ever, because it can't report that its limit has ended.
BOOST_AUTO_TEST_CASE(limitOfZero_stillGivesAStartInFiveSeconds)
{
    limiter.setRate(0);
    pressFor(20s);
    BOOST_TEST(starts.size() >= 3U);
    BOOST_TEST(starts.size() <= 5U);
    BOOST_TEST(limiter.rate().value() == 0);
}

// Guards against a server that gets nothing for a long time because it was probed often while it was down.
BOOST_AUTO_TEST_CASE(starts_beyondTheLimit_delayFurtherOnesByOneAtMost)
{
    limiter.setRate(1);
    for (int probe = 0; probe < 100; ++probe) {
        limiter.recordStart();
    }
    BOOST_TEST((limiter.wait(0) == 2s));
}

BOOST_AUTO_TEST_CASE(waits_ofAnyLength_doNotOverflow)
{
    limiter.setRate(0);
    BOOST_TEST((limiter.wait(1'000'000'000) == 1h));
    limiter.setRate(1e300);
    clock.advance(1ms);
    BOOST_TEST((limiter.wait(1'000'000) == base::Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
