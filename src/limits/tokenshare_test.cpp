#include "tokenshare.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <utility>
#include <vector>

using namespace papayastep;
using namespace papayastep::limits;
using namespace std::chrono_literals;

namespace {

struct FullShare
{
    base::TimePoint now{std::chrono::hours(2)};
    TokenShare share{ShareTerms{10 * oneToken, 5 * oneToken}, base::TimePoint(std::chrono::hours(1))};

    FullShare()
    {
        share.refill(now);
    }
    void wait(base::Duration time)
    {
        now += time;
        share.refill(now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(share_afterAnHour_isExactlyFull, FullShare)
{
    BOOST_TEST(share.level() == 5 * oneToken);
    BOOST_TEST(share.isUntouched());
}

// An entry node holds granted tokens while the share refills. If grants did not occupy a part of the burst, these
// tokens and the full share together would exceed it, and a workspace would be admitted more than the operator allows.
BOOST_FIXTURE_TEST_CASE(share_withOpenGrant_doesNotRefillItsPart, FullShare)
{
    share.grant(1, 3 * oneToken, now + 1s);
    wait(900ms);
    BOOST_TEST(share.level() == 2 * oneToken);
    BOOST_TEST(share.outstanding() == 3 * oneToken);
    wait(200ms);
    BOOST_TEST(share.level() == 3 * oneToken);
}

// A report arrives twice, an old one after a newer one, or one that claims more than was granted. If it were counted,
// tokens that were spent would be returned.
BOOST_FIXTURE_TEST_CASE(share_withRepeatedReports_countsOnce, FullShare)
{
    share.grant(1, 3 * oneToken, now + 1s);
    BOOST_TEST(share.report(1, oneToken, oneToken));
    BOOST_TEST(share.level() == 3 * oneToken);
    BOOST_TEST(share.report(1, oneToken, oneToken));
    BOOST_TEST(share.report(1, 0, 0));
    BOOST_TEST(!share.report(1, 2 * oneToken, 2 * oneToken));
    BOOST_TEST(!share.report(1, std::numeric_limits<Tokens>::max(), 1));
    BOOST_TEST(!share.report(1, -1, 3 * oneToken));
    BOOST_TEST(!share.report(7, 0, oneToken));
    BOOST_TEST(share.level() == 3 * oneToken);
    BOOST_TEST(share.outstanding() == oneToken);
}

// A request is refused as not run long after it took its token, and the share has refilled since. Returning the token
// would allow too many requests: five in flight, five more at once, and then the first five again.
BOOST_FIXTURE_TEST_CASE(spend_returnedAfterRefill_isLost, FullShare)
{
    std::array<std::uint64_t, 5> spends{};
    for (std::uint64_t &spend : spends) {
        spend = share.spend(oneToken, now);
    }
    wait(250ms);
    BOOST_TEST(share.level() == 5 * oneToken / 2);
    BOOST_TEST(!share.giveBack(spends[0]));
    BOOST_TEST(!share.giveBack(spends[2]));
    BOOST_TEST(share.giveBack(spends[4]));
    BOOST_TEST(share.level() == 7 * oneToken / 2);
    BOOST_TEST(!share.giveBack(99));
}

// An operator lowers the burst while tokens are granted. The level must drop at once, and no report may raise it above
// the burst.
BOOST_FIXTURE_TEST_CASE(share_withSmallerBurst_shrinksAtOnce, FullShare)
{
    share.grant(1, 2 * oneToken, now + 1s);
    share.setTerms(ShareTerms{10 * oneToken, oneToken});
    BOOST_TEST(share.level() == 0);
    BOOST_TEST(share.report(1, 0, 2 * oneToken));
    BOOST_TEST(share.level() == oneToken);
}

BOOST_AUTO_TEST_CASE(tokensOf_invalidNumbers_returnsNoTokens)
{
    BOOST_TEST(tokensOf(-1) == 0);
    BOOST_TEST(tokensOf(std::nan("")) == 0);
    BOOST_TEST(tokensOf(std::numeric_limits<double>::infinity()) == 1'000'000'000 * oneToken);
    BOOST_TEST(tokensOf(0.5) == oneToken / 2);
}

RC_BOOST_PROP(share_underAnySchedule_keepsEveryWindowWithinItsTerms, (std::uint16_t ratePart, std::uint8_t burstPart))
{
    const ShareTerms terms{(1 + ratePart % 50'000) * (oneToken / 1000), (1 + burstPart % 20) * (oneToken / 2)};
    base::TimePoint now(1h);
    TokenShare share(terms, now - 1h);
    std::vector<std::pair<base::TimePoint, Tokens>> spends;
    std::map<std::uint64_t, OpenGrant> grants;
    std::vector<std::pair<std::uint64_t, std::size_t>> local;
    std::uint64_t lastGrant = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint16_t>>>(
        60, rc::gen::arbitrary<std::pair<std::uint8_t, std::uint16_t>>());
    for (const auto &[action, value] : steps) {
        now += std::chrono::milliseconds(value % 400);
        share.refill(now);
        const Tokens amount = std::min<Tokens>(share.level(), (1 + value % 8) * (oneToken / 4));
        if (action % 5 == 0) {
            share.grant(++lastGrant, amount, now + 1s);
            grants[lastGrant] = OpenGrant{lastGrant, amount, 0, 0, now + 1s, 0};
        } else if (action % 5 == 1 && !grants.empty()) {
            // The receiver spends within the validity, and reports early, late or never.
            OpenGrant &grant = std::next(grants.begin(), value % static_cast<int>(grants.size()))->second;
            const Tokens part = now < grant.expiry ? grant.open() / 2 : 0;
            grant.spent += part;
            spends.emplace_back(now, part);
        } else if (action % 5 == 2 && !grants.empty()) {
            OpenGrant &grant = std::next(grants.begin(), value % static_cast<int>(grants.size()))->second;
            grant.unused += grant.open() / 2;
            share.report(grant.id, grant.spent, grant.unused);
        } else if (action % 5 == 3) {
            local.emplace_back(share.spend(amount, now), spends.size());
            spends.emplace_back(now, amount);
        } else if (!local.empty()) {
            const auto [number, index] = local[value % local.size()];
            share.giveBack(number);
            spends[index].second = 0;
            std::erase_if(local, [number = number](const auto &entry) { return entry.first == number; });
        }
        RC_ASSERT(share.level() >= 0);
        RC_ASSERT(share.level() + share.outstanding() <= terms.burst);
    }
    for (std::size_t first = 0; first < spends.size(); ++first) {
        Tokens sum = 0;
        for (std::size_t last = first; last < spends.size(); ++last) {
            sum += spends[last].second;
            const double window = std::chrono::duration<double>(spends[last].first - spends[first].first).count();
            const double allowed = static_cast<double>(terms.ratePerSecond) * window + static_cast<double>(terms.burst);
            RC_ASSERT(static_cast<double>(sum) <= allowed + 100);
        }
    }
}
