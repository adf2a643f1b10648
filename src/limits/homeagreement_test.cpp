#include "papayastep/limits/homeagreement.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::limits;
using namespace std::chrono_literals;

namespace {

const base::VmId peer("vm-2");
const base::VmId other("vm-3");
const base::WorkspaceId depots("depots");

struct AgreementFixture
{
    base::ManualClock clock;
    HomeAgreement agreement{clock};

    AgreementFixture()
    {
        agreement.setOwnMembers(7);
        agreement.recordMembers(peer, 7);
    }
};

struct DifferingLists : AgreementFixture
{
    DifferingLists()
    {
        agreement.recordMembers(peer, 8);
        clock.advance(1s);
    }
};

}

BOOST_FIXTURE_TEST_CASE(claim_toANodeWithTheSameList_isNotSent, AgreementFixture)
{
    clock.advance(10s);
    BOOST_TEST(!agreement.startClaim(peer, depots, false));
    BOOST_TEST(agreement.differing() == 0U);
}

// Guards against messages to all nodes at each change of the list.
BOOST_FIXTURE_TEST_CASE(claim_whileAChangeIsOnItsWay_isNotSent, AgreementFixture)
{
    agreement.recordMembers(peer, 8);
    BOOST_TEST(!agreement.startClaim(peer, depots, false));
    agreement.setOwnMembers(8);
    clock.advance(1s);
    BOOST_TEST(!agreement.startClaim(peer, depots, false));
}

BOOST_FIXTURE_TEST_CASE(claim_toANodeWithAnotherList_isRepeatedAtIntervals, DifferingLists)
{
    BOOST_TEST(agreement.startClaim(peer, depots, false));
    BOOST_TEST(!agreement.startClaim(peer, depots, false));
    clock.advance(600ms);
    BOOST_TEST(agreement.startClaim(peer, depots, false));
    agreement.recordMembers(peer, 9);
    BOOST_TEST(agreement.startClaim(peer, depots, false));
}

// Guards against two homes that both give tokens while a change of the list is on its way.
BOOST_FIXTURE_TEST_CASE(claim_ofAHomeThatHasJustStarted_isSentAtOnce, AgreementFixture)
{
    agreement.recordMembers(peer, 8);
    BOOST_TEST(agreement.startClaim(peer, depots, true));
}

// Guards against a home that gives the part of a node to which another home gives it.
BOOST_FIXTURE_TEST_CASE(home_deniedByANodeWithAnotherList_isDeniedUntilTheListsAgree, DifferingLists)
{
    BOOST_TEST(!agreement.isDenied(peer, depots));
    agreement.recordDenied(peer, depots, other);
    BOOST_TEST(agreement.isDenied(peer, depots));
    agreement.recordAccepted(peer, depots);
    BOOST_TEST(!agreement.isDenied(peer, depots));
    agreement.recordDenied(peer, depots, other);
    agreement.setOwnMembers(8);
    BOOST_TEST(!agreement.isDenied(peer, depots));
    BOOST_TEST(agreement.differing() == 0U);
}

BOOST_FIXTURE_TEST_CASE(home_deniedByMostNodes_isTheOneThatTheyName, DifferingLists)
{
    agreement.recordDenied(peer, depots, other);
    BOOST_TEST(agreement.namedHome(depots, 1) == other);
    BOOST_TEST(agreement.namedHome(depots, 2).empty());
}

BOOST_FIXTURE_TEST_CASE(node_thatIsNoLongerListed_isForgotten, DifferingLists)
{
    agreement.recordDenied(peer, depots, other);
    agreement.keepOnly({});
    BOOST_TEST(!agreement.isDenied(peer, depots));
    BOOST_TEST(agreement.differing() == 0U);
}
