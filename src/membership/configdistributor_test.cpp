#include "testfleet.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/membership/configdistributor.h"
#include "papayastep/membership/distributiontree.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace papayastep;
using namespace papayastep::membership;
using papayastep::membership::testing::TestFleet;
using namespace std::chrono_literals;

namespace {

struct DistributionFixture
{
    TestFleet fleet{20, 4, 17};

    DistributionFixture()
    {
        FLAGS_minloglevel = google::GLOG_FATAL;
        fleet.publishRate(1);
        fleet.run(5s);
    }
};

std::vector<int> halves()
{
    std::vector<int> sides(20, 0);
    std::fill(sides.begin() + 10, sides.end(), 1);
    return sides;
}

}

BOOST_FIXTURE_TEST_CASE(fleet_afterStart_holdsTheFirstRevision, DistributionFixture)
{
    BOOST_TEST(fleet.nodesAt(1) == 20);
    BOOST_TEST(fleet.nodesAtVmList(1) == 20);
}

BOOST_FIXTURE_TEST_CASE(publication_withGoodLinks_reachesAllNodesWithinASecond, DistributionFixture)
{
    fleet.publishRate(2);
    fleet.run(1s);
    BOOST_TEST(fleet.nodesAt(2) == 20);
    for (int node = 0; node < 20; ++node) {
        BOOST_TEST(fleet.distributor(node).status().buildCount == 2u);
    }
}

// The platform fails right after one reader has read. The other nodes must get the revision from that reader; otherwise
// a withdrawn key would stay valid on the nodes that its pushes did not reach.
BOOST_FIXTURE_TEST_CASE(publication_readByOneNodeBeforeThePlatformFails_reachesAllNodes, DistributionFixture)
{
    for (int node = 0; node < 20; ++node) {
        fleet.platformUp[static_cast<std::size_t>(node)] = false;
    }
    int reader = 0;
    while (!fleet.distributor(reader).isReader()) {
        ++reader;
    }
    fleet.platformUp[static_cast<std::size_t>(reader)] = true;
    fleet.publishRate(2);
    fleet.run(40ms);
    fleet.platformUp[static_cast<std::size_t>(reader)] = false;
    fleet.run(2s);
    BOOST_TEST(fleet.nodesAt(2) == 20);
}

// A replica of the platform that lags answers with an old revision. A node that accepted it would make a withdrawn key
// valid again.
BOOST_FIXTURE_TEST_CASE(staleAnswer_ofThePlatform_neverRevertsANode, DistributionFixture)
{
    fleet.publishRate(2);
    fleet.run(1s);
    for (int node = 0; node < 20; ++node) {
        fleet.platformStale[static_cast<std::size_t>(node)] = true;
    }
    fleet.run(60s);
    BOOST_TEST(fleet.nodesAt(2) == 20);
    BOOST_TEST(!fleet.revisionDecreased);
    int staleCount = 0;
    for (int node = 0; node < 20; ++node) {
        staleCount += fleet.distributor(node).status().platformStale ? 1 : 0;
    }
    BOOST_TEST(staleCount > 0);
}

// Half of the fleet is cut off from the other half and from the platform while a key is withdrawn. It must receive the
// revision soon after the links heal, although the platform stays unreachable.
BOOST_FIXTURE_TEST_CASE(partition_afterItsLinksHeal_catchesUpFromPeers, DistributionFixture)
{
    fleet.partition(halves());
    for (int node = 10; node < 20; ++node) {
        fleet.platformUp[static_cast<std::size_t>(node)] = false;
    }
    fleet.publishRate(2);
    fleet.run(20s);
    BOOST_TEST(fleet.nodesAt(2) == 10);
    BOOST_TEST((*fleet.distributor(15).status().confirmationAge > 15s));
    fleet.platformUp.assign(20, false);
    fleet.heal();
    fleet.run(10s);
    BOOST_TEST(fleet.nodesAt(2) == 20);
}

// An operator's tool publishes an invalid revision without checking it. The active revision must stay in use, the
// invalid one must not be read repeatedly, and the next valid one must be accepted.
BOOST_FIXTURE_TEST_CASE(publication_thatIsInvalid_isIgnoredAndTheNextOneAccepted, DistributionFixture)
{
    fleet.publish({{"10-a.json", "{"}});
    fleet.run(60s);
    BOOST_TEST(fleet.nodesAt(1) == 20);
    for (int node = 0; node < 20; ++node) {
        BOOST_TEST(fleet.distributor(node).status().buildCount <= 2u);
    }
    fleet.publishRate(3);
    fleet.run(2s);
    BOOST_TEST(fleet.nodesAt(3) == 20);
}

// Node 6 is paused while a valid revision is distributed, and then receives an invalid one first. If it requested only
// revisions above the invalid one, it would keep the old revision, and an old key, while all others have moved on.
BOOST_FIXTURE_TEST_CASE(node_thatReceivesAnInvalidRevisionFirst_stillGetsTheValidOneBefore, DistributionFixture)
{
    fleet.paused[6] = true;
    fleet.publishRate(2);
    fleet.run(2s);
    fleet.publish({{"10-a.json", "{"}});
    fleet.run(2s);
    fleet.paused[6] = false;
    const auto files = std::vector<config::ConfigurationFile>{{"10-a.json", "{"}};
    fleet.distributor(6).applyPlatformFiles(config::listingOf(3, files), files);
    BOOST_TEST(fleet.distributor(6).status().rejectedCount == 1u);
    fleet.run(20s);
    BOOST_TEST(fleet.nodesAt(2) == 20);
}

// At the planned size a build takes a second. It runs in another thread, and two newer revisions arrive before it ends;
// only the newest must be built next.
BOOST_FIXTURE_TEST_CASE(build_inAnotherThread_isFollowedByTheNewestRevisionOnly, DistributionFixture)
{
    VmDirectory directory(fleet.clock);
    directory.accept(fleet.directory(0).list());
    DistributionSettings settings;
    settings.buildInOtherThread = true;
    ConfigDistributor slow({TestFleet::vm(0), base::ZoneId("a"), 77}, directory, fleet.clock, 5, settings);
    const auto offer = [&slow](base::Revision revision) {
        const auto files = TestFleet::filesWithRate(static_cast<int>(revision));
        slow.applyPlatformFiles(config::listingOf(revision, files), files);
    };
    offer(1);
    auto first = slow.takeBuild();
    BOOST_REQUIRE(first);
    offer(2);
    offer(3);
    offer(2);
    BOOST_TEST(!slow.takeBuild().has_value());
    slow.finishBuild(*first, runBuild(*first));
    BOOST_TEST(slow.revision() == 1u);
    auto second = slow.takeBuild();
    BOOST_REQUIRE(second);
    slow.finishBuild(*second, runBuild(*second));
    BOOST_TEST(slow.revision() == 3u);
    BOOST_TEST(slow.takeAccepted()->configuration->revision() == 3u);
    BOOST_TEST(!slow.takeBuild().has_value());
    BOOST_TEST(slow.status().buildCount == 2u);
}

BOOST_FIXTURE_TEST_CASE(platform_withoutChanges_isReadRarely, DistributionFixture)
{
    const auto before = fleet.platformReads;
    fleet.run(100s);
    const auto perNodeAndSecond = static_cast<double>(fleet.platformReads - before) / 20 / 100;
    BOOST_TEST(perNodeAndSecond < 0.2);
}

BOOST_FIXTURE_TEST_CASE(confirmation_withoutChanges_isRecentOnAllNodes, DistributionFixture)
{
    for (int minute = 0; minute < 5; ++minute) {
        fleet.run(60s);
        for (int node = 0; node < 20; ++node) {
            BOOST_TEST((fleet.distributor(node).status().confirmationAge.value() < 60s));
        }
    }
}

// The platform is unreachable. Every node must show an operator how long ago its revision was confirmed.
BOOST_FIXTURE_TEST_CASE(confirmationAge_whilePlatformIsUnreachable_grows, DistributionFixture)
{
    fleet.platformUp.assign(20, false);
    fleet.run(120s);
    for (int node = 0; node < 20; ++node) {
        BOOST_TEST((fleet.distributor(node).status().confirmationAge.value() > 60s));
    }
}

// A node starts while the platform is unreachable for hours. Without its peers it could not serve until the platform is
// back.
BOOST_FIXTURE_TEST_CASE(node_startedWithoutConfiguration_getsItFromPeers, DistributionFixture)
{
    VmDirectory directory(fleet.clock);
    directory.accept(fleet.directory(0).list());
    ConfigDistributor starting({TestFleet::vm(0), base::ZoneId("a"), 77}, directory, fleet.clock, 5);
    starting.tick();
    const auto notices = starting.takeMessages();
    BOOST_TEST(notices.size() == 3u);
    fleet.distributor(7).receive(TestFleet::vm(0), notices[0].kind, notices[0].payload);
    for (const auto &answer : fleet.distributor(7).takeMessages()) {
        starting.receive(TestFleet::vm(7), answer.kind, answer.payload);
    }
    fleet.clock.advance(1s);
    starting.tick();
    for (const auto &request : starting.takeMessages()) {
        fleet.distributor(7).receive(TestFleet::vm(0), request.kind, request.payload);
    }
    for (const auto &part : fleet.distributor(7).takeMessages()) {
        starting.receive(TestFleet::vm(7), part.kind, part.payload);
    }
    BOOST_TEST(starting.revision() == 1u);
}

BOOST_FIXTURE_TEST_CASE(vmList_afterAChange_reachesAllNodesWithinASecond, DistributionFixture)
{
    config::VmList list = fleet.directory(0).list();
    list.version = 2;
    list.vms[3].leaving = true;
    fleet.publishVmList(list);
    fleet.run(1s);
    BOOST_TEST(fleet.nodesAtVmList(2) == 20);
    BOOST_TEST(fleet.directory(9).isLeaving(list.vms[3].id));
}

// A VM stops as planned. The platform's list lags by minutes, so without the VM's own announcement it would get new
// work until then.
BOOST_FIXTURE_TEST_CASE(leaving_announcedByAVm_reachesAllOthers, DistributionFixture)
{
    fleet.distributor(5).announceLeaving();
    fleet.run(1s);
    for (int node = 0; node < 20; ++node) {
        BOOST_TEST((node == 5 || fleet.directory(node).isLeaving(TestFleet::vm(5))));
    }
}

// A VM that is not in the list, or no longer, sends a configuration. If it were accepted, that VM would decide which
// keys are valid.
BOOST_FIXTURE_TEST_CASE(configuration_fromAnUnlistedVm_isRefused, DistributionFixture)
{
    const config::ConfigStore newer(9, TestFleet::filesWithRate(9));
    const auto bytes = wire::encode(newer.patchFor({}, {}));
    const auto parts = splitTransfer(TransferContent::Configuration, 9, {}, bytes, 1000);
    const base::VmId unlisted("vm-999");
    BOOST_CHECK_THROW(fleet.distributor(0).receive(unlisted, wire::MessageKind::ConfigurationPart, parts[0]),
                      base::Error);
    BOOST_CHECK_THROW(fleet.distributor(0).receive(unlisted, wire::MessageKind::VmListNotice, parts[0]), base::Error);
    BOOST_TEST(fleet.distributor(0).revision() == 1u);
}

// A VM is replaced while the platform is unreachable. It has no list and no addresses; it must ask the first peer that
// reports a list, or it refuses its callers until the platform is back.
BOOST_FIXTURE_TEST_CASE(start_withoutListOrPlatform_asksTheFirstPeerThatReportsAList, DistributionFixture)
{
    base::ManualClock clock;
    VmDirectory directory(clock);
    ConfigDistributor distributor({TestFleet::vm(3), base::ZoneId("a"), 77}, directory, clock, 1);
    const base::VmId peer("vm-that-is-not-known-yet");
    distributor.receive(peer, wire::MessageKind::RevisionNotice, wire::encode(RevisionNotice{5, 5, 0}));
    clock.advance(1s);
    distributor.tick();
    const auto messages = distributor.takeMessages();
    BOOST_REQUIRE(!messages.empty());
    BOOST_TEST((messages.front().to == peer));
    BOOST_TEST((messages.front().kind == wire::MessageKind::ConfigurationRequest));
}

// A faulty peer starts transfers without end and never finishes one. The memory that it can occupy is bounded, and the
// others' transfers still complete.
BOOST_FIXTURE_TEST_CASE(transfers_neverFinished_doNotBlockOthers, DistributionFixture)
{
    for (std::uint64_t number = 0; number < 1000; ++number) {
        TransferPart part{0, 50, number, 0, 200, {}, std::string(1000, 'x')};
        fleet.distributor(0).receive(TestFleet::vm(1), wire::MessageKind::ConfigurationPart, wire::encode(part));
    }
    fleet.publishRate(2);
    fleet.run(2s);
    BOOST_TEST(fleet.nodesAt(2) == 20);
}

BOOST_FIXTURE_TEST_CASE(readers_ofEachZone_areTwo, DistributionFixture)
{
    int readers = 0;
    for (int node = 0; node < 20; ++node) {
        readers += fleet.distributor(node).isReader() ? 1 : 0;
    }
    BOOST_TEST(readers == 8);
}

RC_BOOST_PROP(tree_ofAnyMembers_reachesEachOnce, (std::uint64_t salt))
{
    const int count = *rc::gen::inRange(1, 60);
    std::vector<base::VmId> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int node = 0; node < count; ++node) {
        members.push_back(TestFleet::vm(node));
    }
    std::map<base::VmId, int> reached;
    for (const base::VmId &member : members) {
        for (const base::VmId &child : treeChildren(members, members[0], salt, member, 3)) {
            ++reached[child];
        }
    }
    RC_ASSERT(reached.size() == members.size() - 1);
    RC_ASSERT(std::all_of(reached.begin(), reached.end(), [](const auto &entry) { return entry.second == 1; }));
}

// Messages are lost, duplicated and late, nodes pause, links break, and the platform fails for some nodes and is stale
// for others, all at random, while operators publish. A withdrawn key must never become valid again (no node returns to
// an older revision), and once all faults end every node must reach the newest revision.
RC_BOOST_PROP(fleet_underRandomFaults_neverRevertsAndConvergesAfterwards, (std::uint64_t seed))
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    TestFleet fleet(20, 4, seed);
    std::mt19937_64 random(seed);
    fleet.publishRate(1);
    fleet.run(2s);
    for (int round = 2; round < 6; ++round) {
        fleet.faults = {0.3, 0.3, 400ms};
        std::vector<int> sides(20);
        for (std::size_t node = 0; node < 20; ++node) {
            sides[node] = static_cast<int>(random() % 2);
            fleet.platformUp[node] = random() % 2 == 0;
            fleet.platformStale[node] = random() % 3 == 0;
            fleet.paused[node] = random() % 5 == 0;
        }
        fleet.partition(sides);
        fleet.publishRate(round);
        fleet.run(std::chrono::milliseconds(random() % 3000));
    }
    fleet.heal();
    fleet.faults = {};
    fleet.platformStale.assign(20, false);
    fleet.platformUp.assign(20, true);
    fleet.paused.assign(20, false);
    fleet.run(40s);
    RC_ASSERT(!fleet.revisionDecreased);
    RC_ASSERT(fleet.nodesAt(fleet.platformRevision) == 20);
}
