#include "testfleet.h"

#include "papayastep/base/log.h"
#include "papayastep/membership/configdistributor.h"
#include "papayastep/membership/missingrevisiontimer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace papayastep;
using namespace papayastep::membership;
using papayastep::membership::testing::TestFleet;
using namespace std::chrono_literals;

namespace {

/// Time between two revisions of a stream.
constexpr std::chrono::milliseconds streamGap{80};

/// A node that is a revision behind, and peers whose messages the test sends.
struct NodeBehindFixture
{
    base::ManualClock clock;
    VmDirectory directory{clock};
    ConfigDistributor distributor{{TestFleet::vm(0), base::ZoneId("a"), 77}, directory, clock, 5};
    config::ConfigStore first{1, TestFleet::filesWithRate(1)};

    NodeBehindFixture()
    {
        FLAGS_minloglevel = google::GLOG_FATAL;
        config::VmList list;
        list.version = 1;
        for (int node = 0; node < 4; ++node) {
            list.vms.push_back({TestFleet::vm(node), base::ZoneId("a"), "127.0.0.1", 1, 2, 3, 4, false});
        }
        directory.accept(list);
        distributor.applyPlatformFiles(first.listing(), first.files());
        distributor.takeMessages();
    }

    /// Reports to the node that `peer` holds `revision`.
    void reportRevision(int peer, base::Revision revision)
    {
        distributor.notePeerRevision(TestFleet::vm(peer), revision);
    }

    /// Sends a push from `peer` against a revision that the node does not hold.
    void push(int peer, base::Revision revision)
    {
        const config::ConfigStore older(revision - 1, TestFleet::filesWithRate(static_cast<int>(revision) + 99));
        const config::ConfigStore newer(revision, TestFleet::filesWithRate(static_cast<int>(revision)));
        receive(peer,
                wire::MessageKind::ConfigurationDelta,
                revision,
                newer.patchFor(older.listing(), older),
                TestFleet::vm(peer));
    }

    /// Sends the answer of `peer` to a request that named the files `have`.
    void answer(int peer, base::Revision revision, const config::ConfigStore &have)
    {
        const config::ConfigStore newer(revision, TestFleet::filesWithRate(static_cast<int>(revision)));
        receive(peer, wire::MessageKind::ConfigurationPart, revision, newer.patchFor(have.listing(), have), {});
    }

    /// Returns the peers that are asked for a configuration in the next `duration`, in that order.
    std::vector<base::VmId> askedWithin(std::chrono::milliseconds duration)
    {
        std::vector<base::VmId> asked;
        for (auto passed = 0ms; passed <= duration; passed += 10ms) {
            distributor.tick();
            for (const wire::Outgoing &message : distributor.takeMessages()) {
                if (message.kind == wire::MessageKind::ConfigurationRequest) {
                    asked.push_back(message.to);
                }
            }
            clock.advance(10ms);
        }
        return asked;
    }

private:
    void receive(int peer,
                 wire::MessageKind kind,
                 base::Revision revision,
                 const config::ConfigurationPatch &patch,
                 const base::VmId &treeRoot)
    {
        const auto parts
            = splitTransfer(TransferContent::Configuration, revision, treeRoot, wire::encode(patch), 100'000);
        for (const std::string &part : parts) {
            distributor.receive(TestFleet::vm(peer), kind, part);
        }
    }
};

/// A fleet in which each node receives a message of another one every 20 ms, with the revision of its sender. The first
/// node alone watches the platform; a node that misses a revision for too long reads it there.
class FleetWithTraffic
{
public:
    FleetWithTraffic(TestFleet &fleet, int nodes, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
        , m_timers(static_cast<std::size_t>(nodes), MissingRevisionTimer(600ms))
    {
    }

    void publish()
    {
        m_fleet.publishRate(static_cast<int>(m_fleet.platformRevision) + 1);
        m_fleet.distributor(0).notePlatformRevision(m_fleet.platformRevision);
    }

    void run(std::chrono::milliseconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 20ms) {
            const int nodes = static_cast<int>(m_timers.size());
            for (int node = 0; node < nodes; ++node) {
                receive(node, static_cast<int>(m_random() % m_timers.size()));
            }
            m_fleet.run(20ms);
        }
    }

private:
    void receive(int node, int sender)
    {
        ConfigDistributor &distributor = m_fleet.distributor(node);
        MissingRevisionTimer &timer = m_timers[static_cast<std::size_t>(node)];
        const base::TimePoint now = m_fleet.clock.now();
        if (!m_fleet.losesMessage(sender, node)) {
            distributor.notePeerRevision(TestFleet::vm(sender), m_fleet.distributor(sender).revision());
            timer.noteAnnounced(m_fleet.distributor(sender).revision(), now);
        }
        if (timer.hasExpired(distributor.revision(), now)) {
            timer.notePlatformAsked(now);
            distributor.notePlatformRevision(timer.newestAnnounced());
        }
    }

    TestFleet &m_fleet;
    std::mt19937_64 m_random;
    std::vector<MissingRevisionTimer> m_timers;
};

}

// A peer answers no request but pushes every new revision. If its pushes counted as progress of the request, the node
// would stay behind for as long as the stream lasts.
BOOST_FIXTURE_TEST_CASE(request_toAPeerThatOnlyPushes_timesOutAndAnotherIsAsked, NodeBehindFixture)
{
    reportRevision(1, 5);
    BOOST_REQUIRE((askedWithin(60ms) == std::vector<base::VmId>{TestFleet::vm(1)}));
    reportRevision(2, 5);
    std::vector<base::VmId> asked;
    for (base::Revision revision = 6; revision < 30; ++revision) {
        push(1, revision);
        const auto askedNow = askedWithin(streamGap);
        asked.insert(asked.end(), askedNow.begin(), askedNow.end());
    }
    BOOST_TEST(std::count(asked.begin(), asked.end(), TestFleet::vm(2)) > 0);
}

// Guards against a node that spends the time in which a revision must be active on two peers that do not answer.
BOOST_FIXTURE_TEST_CASE(request_toTwoPeersThatDoNotAnswer_reachesAThirdWithinASecond, NodeBehindFixture)
{
    for (int peer = 1; peer <= 3; ++peer) {
        reportRevision(peer, 5);
    }
    const auto asked = askedWithin(1s);
    BOOST_TEST(std::count(asked.begin(), asked.end(), TestFleet::vm(3)) == 1);
    BOOST_TEST((distributor.takeSilentPeers() == std::vector<base::VmId>{TestFleet::vm(1), TestFleet::vm(2)}));
}

// An answer applies to files that the node no longer holds. If it did not end the request, the node would wait until
// the timeout.
BOOST_FIXTURE_TEST_CASE(answer_thatDoesNotApply_endsTheRequest, NodeBehindFixture)
{
    reportRevision(1, 5);
    BOOST_REQUIRE((askedWithin(60ms) == std::vector<base::VmId>{TestFleet::vm(1)}));
    answer(1, 5, config::ConfigStore(4, TestFleet::filesWithRate(4)));
    BOOST_TEST((askedWithin(100ms) == std::vector<base::VmId>{TestFleet::vm(1)}));
}

// A node receives a request beyond its limit. If it dropped the request without an answer, the sender would wait a
// second for nothing.
BOOST_FIXTURE_TEST_CASE(request_beyondTheLimitOfTheAskedNode_letsAnotherBeAskedAtOnce, NodeBehindFixture)
{
    DistributionSettings settings;
    VmDirectory othersDirectory(clock);
    othersDirectory.accept(directory.list());
    ConfigDistributor asked({TestFleet::vm(1), base::ZoneId("a"), 78}, othersDirectory, clock, 6, settings);
    const config::ConfigStore newer(5, TestFleet::filesWithRate(5));
    asked.applyPlatformFiles(newer.listing(), newer.files());
    ConfigurationRequest request;
    request.wantConfiguration = true;
    for (std::size_t count = 0; count < settings.answersPerSecond; ++count) {
        asked.receive(TestFleet::vm(3), wire::MessageKind::ConfigurationRequest, wire::encode(request));
    }
    asked.takeMessages();
    reportRevision(1, 6);
    reportRevision(2, 5);
    BOOST_REQUIRE((askedWithin(60ms) == std::vector<base::VmId>{TestFleet::vm(1)}));
    asked.receive(TestFleet::vm(0), wire::MessageKind::ConfigurationRequest, wire::encode(request));
    for (const wire::Outgoing &message : asked.takeMessages()) {
        distributor.receive(TestFleet::vm(1), message.kind, message.payload);
    }
    BOOST_TEST((askedWithin(100ms) == std::vector<base::VmId>{TestFleet::vm(2)}));
}

// Nodes receive each revision number with every message and ask the nodes that are ahead. They must not fall behind a
// stream of revisions.
BOOST_AUTO_TEST_CASE(fleet_inAStreamOfRevisionsThatOneNodeReads_isNeverMoreThanTwoSecondsBehind)
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    constexpr int nodes = 24;
    constexpr base::Duration longestLag = 2s;
    DistributionSettings settings;
    settings.readersPerZone = 0;
    TestFleet fleet(nodes, 4, 11, settings);
    fleet.publishRate(1);
    fleet.run(10s);
    std::mt19937_64 random(12);
    std::vector<base::TimePoint> published(2, fleet.clock.now());
    base::Duration lag{};
    for (int round = 0; round < 200; ++round) {
        fleet.publishRate(2 + round);
        published.push_back(fleet.clock.now());
        fleet.distributor(0).notePlatformRevision(fleet.platformRevision);
        for (auto passed = 0ms; passed < streamGap; passed += 20ms) {
            for (int node = 0; node < nodes; ++node) {
                const int sender = static_cast<int>(random() % nodes);
                fleet.distributor(node).notePeerRevision(TestFleet::vm(sender), fleet.distributor(sender).revision());
            }
            fleet.run(20ms);
        }
        for (int node = 0; node < nodes; ++node) {
            const base::Revision held = fleet.distributor(node).revision();
            if (held < fleet.platformRevision) {
                lag = std::max(lag, fleet.clock.now() - published[held + 1]);
            }
        }
    }
    BOOST_TEST(std::chrono::duration<double>(lag).count() <= std::chrono::duration<double>(longestLag).count());
}

// Guards against a revision that is late since nodes wait for one peer after the other over connections that have gone
// silent without an end.
BOOST_AUTO_TEST_CASE(fleet_whoseConnectionsWentSilent_holdsANewRevisionWithinTwoSeconds)
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    constexpr int nodes = 24;
    DistributionSettings settings;
    settings.readersPerZone = 0;
    settings.listingIncludesFiles = true;
    for (const auto &[seed, share, silentFor] :
         {std::tuple(1, 0.7, 4500ms), {2, 0.7, 3000ms}, {3, 0.9, 3000ms}, {4, 1.0, 3000ms}}) {
        TestFleet fleet(nodes, 4, static_cast<std::uint64_t>(seed), settings);
        FleetWithTraffic traffic(fleet, nodes, static_cast<std::uint64_t>(seed));
        traffic.publish();
        traffic.run(10s);
        fleet.silenceConnections(share);
        traffic.run(silentFor);
        traffic.publish();
        traffic.run(2s);
        BOOST_TEST(fleet.nodesAt(2) == nodes, "seed " << seed << ": " << fleet.nodesAt(2) << " nodes");
    }
}

// Newer revisions of a stream are announced while one is missing. If each of them restarted the wait for the peers, a
// node that the peers left out would never read the platform itself.
BOOST_AUTO_TEST_CASE(timer_withAMissingRevision_expiresAlthoughNewerOnesAreAnnounced)
{
    MissingRevisionTimer timer(600ms);
    base::ManualClock clock;
    for (base::Revision revision = 2; revision < 20; ++revision) {
        timer.noteAnnounced(revision, clock.now());
        clock.advance(streamGap);
    }
    BOOST_TEST(timer.hasExpired(1, clock.now()));
}

BOOST_AUTO_TEST_CASE(timer_withEachRevisionActiveSoon_neverExpires)
{
    MissingRevisionTimer timer(600ms);
    base::ManualClock clock;
    for (base::Revision revision = 2; revision < 2000; ++revision) {
        timer.noteAnnounced(revision, clock.now());
        BOOST_TEST(!timer.hasExpired(revision > 4 ? revision - 4 : 1, clock.now()));
        clock.advance(streamGap);
    }
    BOOST_TEST(timer.hasExpired(1998, clock.now() + 1s));
    BOOST_TEST(!timer.hasExpired(1999, clock.now() + 1s));
}

// A read is to return a revision that was announced. If it accepted any revision, an older one would answer it.
BOOST_FIXTURE_TEST_CASE(read_forARevisionThatThePlatformHolds_asksForNothingOlder, NodeBehindFixture)
{
    distributor.notePlatformRevision(7);
    const PlatformCall call = distributor.configurationCall();
    BOOST_TEST((call.kind == PlatformCallKind::Read));
    BOOST_TEST((call.notBefore <= clock.now()));
    BOOST_TEST(call.after == 6U);
}

// A regular read must not accept what an earlier watch has left behind: the platform would look stale.
BOOST_FIXTURE_TEST_CASE(read_ofANodeWhosePeersBringRevisions_asksForNothingOlderThanItHolds, NodeBehindFixture)
{
    answer(1, 5, first);
    BOOST_TEST(distributor.revision() == 5U);
    BOOST_TEST(distributor.configurationCall().after == 4U);
}

// A node reads a revision with all its files. If it delayed its acceptance as for files to be fetched, it would wait
// the longer, the larger the fleet.
BOOST_AUTO_TEST_CASE(listing_withItsFiles_isAcceptedAtOnceInALargeFleet)
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    constexpr int nodes = 300;
    DistributionSettings settings;
    settings.readersPerZone = 0;
    settings.listingIncludesFiles = true;
    TestFleet fleet(nodes, 4, 11, settings);
    fleet.run(2s);
    const auto files = TestFleet::filesWithRate(7);
    for (int node = 0; node < nodes; ++node) {
        const FetchPlan plan = fleet.distributor(node).applyPlatformListing(config::listingOf(7, files));
        BOOST_TEST(plan.isNeeded);
        BOOST_TEST((plan.notBefore <= fleet.clock.now()));
    }
}
