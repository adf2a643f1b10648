#include "papayastep/membership/directoryrelay.h"
#include "papayastep/membership/directoryschedule.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace papayastep;
using namespace papayastep::membership;
using namespace std::chrono_literals;

namespace {

/// Eight nodes, each with a relay and the version that it holds.
struct RelayFleet
{
    RelayFleet()
    {
        std::vector<base::VmId> activeVms;
        activeVms.reserve(8);
        for (int i = 0; i < 8; ++i) {
            activeVms.emplace_back("vm-" + std::to_string(i));
        }
        for (const base::VmId &vm : activeVms) {
            relays.emplace(vm, std::make_unique<DirectoryRelay>(vm, clock));
            relays.at(vm)->applyVms(activeVms);
            versions[vm] = 10;
        }
        ServerUpdate list;
        list.version = 10;
        list.isComplete = true;
        for (const auto &[vm, relay] : relays) {
            relay->notePlatformAnswer(list);
        }
        clock.advance(DirectoryRelaySettings().settlingTime);
        for (const auto &[vm, relay] : relays) {
            BOOST_TEST_REQUIRE(relay->isSettled());
        }
    }

    std::vector<base::VmId> readers() const
    {
        std::vector<base::VmId> found;
        for (const auto &[vm, relay] : relays) {
            if (relay->isReader()) {
                found.push_back(vm);
            }
        }
        return found;
    }
    /// The platform answers a reader, and the reader's messages reach all nodes but `cut`.
    void answer(const base::VmId &reader, const ServerUpdate &update, const base::VmId &cut = {})
    {
        relays.at(reader)->notePlatformAnswer(update);
        versions[reader] = update.version;
        deliver(reader, cut);
    }
    void deliver(const base::VmId &reader, const base::VmId &cut = {})
    {
        for (const wire::Outgoing &message : relays.at(reader)->takeMessages()) {
            if (message.to == cut) {
                continue;
            }
            const auto update
                = relays.at(message.to)->receive(wire::decode<DirectoryNews>(message.payload), versions[message.to]);
            if (update) {
                versions[message.to] = update->version;
                applied[message.to].push_back(*update);
            }
        }
    }
    static ServerUpdate change(std::uint64_t version)
    {
        ServerUpdate update;
        update.version = version;
        config::BackendServer server;
        server.id = base::BackendServerId("counter-1");
        server.drain = true;
        update.changed.push_back(server);
        return update;
    }
    bool isCovered(const base::VmId &vm) const
    {
        return clock.now() < relays.at(vm)->freshUntil();
    }
    base::VmId follower() const
    {
        for (const auto &[vm, relay] : relays) {
            if (!relay->isReader()) {
                return vm;
            }
        }
        return {};
    }

    base::ManualClock clock;
    std::map<base::VmId, std::unique_ptr<DirectoryRelay>> relays;
    std::map<base::VmId, std::uint64_t> versions;
    std::map<base::VmId, std::vector<ServerUpdate>> applied;
};

}

BOOST_FIXTURE_TEST_SUITE(directoryRelay, RelayFleet)

BOOST_AUTO_TEST_CASE(readers_ofOneList_areTwoForAll)
{
    BOOST_TEST(readers().size() == 2U);
}

// In a fleet of the planned size two readers could not update all others, so each group has its own.
BOOST_AUTO_TEST_CASE(readers_ofALargeFleet_areTwoForEachGroup)
{
    std::vector<base::VmId> activeVms;
    activeVms.reserve(1000);
    for (int i = 0; i < 1000; ++i) {
        activeVms.emplace_back("vm-" + std::to_string(i));
    }
    int count = 0;
    for (const base::VmId &vm : activeVms) {
        DirectoryRelay relay(vm, clock);
        relay.applyVms(activeVms);
        count += relay.isReader() ? 1 : 0;
    }
    BOOST_TEST(count == 20);
}

BOOST_AUTO_TEST_CASE(update_ofAReader_reachesAllOthers)
{
    answer(readers().front(), change(11));
    BOOST_TEST(versions[follower()] == 11U);
    BOOST_TEST(applied[follower()].back().changed.front().drain);
    BOOST_TEST(isCovered(follower()));
}

// Guards against a node whose platform calls fail and which never receives that an availability zone is evacuated.
BOOST_AUTO_TEST_CASE(evacuation_readByAReader_reachesAllOthers)
{
    ServerUpdate update;
    update.version = 11;
    update.evacuated = {base::ZoneId("arima")};
    answer(readers().front(), update);
    BOOST_TEST(versions[follower()] == 11U);
    BOOST_CHECK(applied[follower()].back().evacuated == update.evacuated);
    clock.advance(300ms);
    ServerUpdate end;
    end.version = 12;
    end.restored = update.evacuated;
    answer(readers().front(), end);
    BOOST_CHECK(applied[follower()].back().restored == update.evacuated);
}

// A server leaves, and the message that says so is lost on its way to one node. That node must not send work to the
// server any longer because later heartbeats show that its reader is well.
BOOST_AUTO_TEST_CASE(follower_thatMissedAnUpdate_isNotCoveredByLaterHeartbeats)
{
    const base::VmId missed = follower();
    answer(readers().front(), change(11));
    clock.advance(300ms);
    answer(readers().front(), change(12), missed);
    clock.advance(900ms);
    deliver(readers().front());
    BOOST_TEST(versions[missed] == 11U);
    clock.advance(200ms);
    BOOST_TEST(!isCovered(missed));
}

// Both readers lose the platform while their messages still reach the others. Nodes that relied on them would miss a
// server that leaves.
BOOST_AUTO_TEST_CASE(followers_ofReadersWithoutAnswers_areSoonNotCovered)
{
    answer(readers().front(), change(11));
    for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
        clock.advance(300ms);
        deliver(readers().front());
    }
    BOOST_TEST(!isCovered(follower()));
}

BOOST_AUTO_TEST_CASE(heartbeat_withoutChange_keepsFollowersCovered)
{
    for (int round = 0; round < 10; ++round) {
        ServerUpdate noChange;
        noChange.version = 10;
        answer(readers().front(), noChange);
        clock.advance(700ms);
        deliver(readers().front());
        BOOST_TEST(isCovered(follower()));
    }
}

// A third of the nodes is cut off from the platform, so the entries of their servers lapse although the servers are
// well. If a node among them applied its reader's removals unchecked, it would drop its own server, and its callers
// would be refused.
BOOST_AUTO_TEST_CASE(removal_fromAReader_needsACheckOfTheOwnNode)
{
    DirectoryNews news;
    news.from = 10;
    news.to = 11;
    BOOST_TEST(!DirectoryRelay::needsCheck(news, 10));
    news.removed.emplace_back("counter-1");
    BOOST_TEST(DirectoryRelay::needsCheck(news, 10));
    BOOST_TEST(!DirectoryRelay::needsCheck(news, 11));
    BOOST_TEST(!DirectoryRelay::needsCheck(news, 9));
    relays.at(follower())->endCoverage();
    BOOST_TEST(!isCovered(follower()));
}

// Both readers are cut off. Guards against hundreds of nodes that all call the platform until they return.
BOOST_AUTO_TEST_CASE(followers_withoutReaders_getFurtherReaders)
{
    answer(readers().front(), change(11));
    clock.advance(DirectoryRelaySettings().maxAnswerAge + DirectoryRelaySettings().standInDelay);
    BOOST_TEST(readers().size() == 4U);
    for (const base::VmId &reader : readers()) {
        answer(reader, change(12));
    }
    BOOST_TEST(isCovered(follower()));
    BOOST_TEST(readers().size() == 2U);
}

// Versions of the platform also rise with changes elsewhere. A node that holds an older version but has missed nothing
// must not ask the platform for that reason.
BOOST_AUTO_TEST_CASE(follower_behindByOtherChangesAlone_appliesTheNextUpdate)
{
    ServerUpdate noChange;
    noChange.version = 15;
    relays.at(readers().front())->notePlatformAnswer(noChange);
    answer(readers().front(), change(16));
    BOOST_TEST(versions[follower()] == 16U);
    BOOST_TEST(isCovered(follower()));
}

// One reader receives from the other that a server has registered, and its own next answer starts after that. A node
// that missed the first update must not take the second for complete: the server would get no request all day.
BOOST_AUTO_TEST_CASE(reader_updatedByAnotherReader_doesNotHideThatUpdate)
{
    const base::VmId missed = follower();
    answer(readers().front(), change(11), missed);
    answer(readers().back(), change(12));
    BOOST_TEST(versions[missed] == 10U);
    BOOST_TEST(applied[missed].empty());
}

BOOST_AUTO_TEST_CASE(update_olderThanTheOwnVersion_changesNothing)
{
    const base::VmId ahead = follower();
    versions[ahead] = 20;
    answer(readers().front(), change(11));
    BOOST_TEST(versions[ahead] == 20U);
    BOOST_TEST(applied[ahead].back().changed.empty());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A fleet whose servers register one after the other while its nodes start. The platform answers at once.
class StartingFleet
{
public:
    StartingFleet()
    {
        for (int i = 0; i < nodeCount; ++i) {
            m_nodes.push_back(std::make_unique<Node>(m_clock, base::VmId("vm-" + std::to_string(i))));
        }
    }

    void run(base::Duration duration)
    {
        const base::TimePoint end = m_clock.now() + duration;
        for (; m_clock.now() < end; m_clock.advance(step)) {
            for (const auto &node : m_nodes) {
                call(*node);
            }
            for (const auto &node : m_nodes) {
                deliverFrom(*node);
            }
        }
    }

    static constexpr int nodeCount = 300;
    int calls = 0;
    std::size_t fewestKnown() const
    {
        const auto fewest = std::min_element(
            m_nodes.begin(), m_nodes.end(), [](const auto &a, const auto &b) { return a->known < b->known; });
        return (*fewest)->known;
    }
    int uncovered() const
    {
        return static_cast<int>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [this](const auto &node) { return !isCovered(*node); }));
    }

private:
    static constexpr base::Duration step = 20ms;
    /// All servers register within this time after the first second.
    static constexpr base::Duration registrationTime = 2s;

    struct Node
    {
        Node(const base::Clock &nodeClock, const base::VmId &vm)
            : id(vm)
            , relay(vm, nodeClock)
            , nextCall(nodeClock.now())
        {
        }
        base::VmId id;
        DirectoryRelay relay;
        DirectorySchedule schedule;
        base::TimePoint nextCall;
        std::size_t known = 0; ///< Servers that it has received, in the order of their registration.
        bool hasList = false;
    };

    std::size_t registered() const
    {
        const auto passed = m_clock.now() - m_begin - 1s;
        const double share = std::chrono::duration<double>(passed) / std::chrono::duration<double>(registrationTime);
        return static_cast<std::size_t>(std::clamp(share, 0.0, 1.0) * nodeCount);
    }
    bool isCovered(const Node &node) const
    {
        return !node.relay.isReader() && node.hasList && m_clock.now() < node.relay.freshUntil();
    }
    void learn(Node &node, std::size_t servers)
    {
        if (servers <= node.known && node.hasList) {
            return;
        }
        node.known = std::max(node.known, servers);
        std::vector<base::VmId> present{node.id};
        for (std::size_t i = 0; i < node.known; ++i) {
            if (m_nodes[i]->id != node.id) {
                present.push_back(m_nodes[i]->id);
            }
        }
        std::sort(present.begin(), present.end());
        node.relay.applyVms(present);
    }
    void call(Node &node)
    {
        if (m_clock.now() < node.nextCall || isCovered(node)) {
            return;
        }
        ++calls;
        ServerUpdate update;
        update.version = registered();
        update.isComplete = !node.hasList;
        if (!update.isComplete && update.version > node.known) {
            update.changed.emplace_back();
        }
        learn(node, registered());
        node.hasList = true;
        node.relay.notePlatformAnswer(update);
        // A watch ends with the first change, or after its wait.
        const base::Duration waited = update.isComplete || !update.changed.empty() ? 0ms : 600ms;
        node.nextCall
            = m_clock.now() + waited + node.schedule.answered(node.relay.isSettled(), node.relay.isReader(), false);
    }
    void deliverFrom(Node &sender)
    {
        for (const wire::Outgoing &message : sender.relay.takeMessages()) {
            Node &receiver = *m_nodes[std::stoul(message.to.value().substr(3))];
            if (!receiver.hasList) {
                continue;
            }
            const auto news = wire::decode<DirectoryNews>(message.payload);
            if (receiver.relay.receive(news, receiver.known)) {
                learn(receiver, news.to);
            }
        }
    }

    base::ManualClock m_clock;
    base::TimePoint m_begin = m_clock.now();
    std::vector<std::unique_ptr<Node>> m_nodes;
};

}

// Guards against a start in which each node that has received few of the servers takes itself for a reader, calls the
// platform for each batch of registrations, and sends all of them to all others.
BOOST_FIXTURE_TEST_CASE(directory_ofAFleetThatStarts_isCompleteWithFewCallsOfEachNode, StartingFleet)
{
    run(8s);
    BOOST_TEST(fewestKnown() == static_cast<std::size_t>(nodeCount));
    BOOST_TEST(uncovered() <= 6);
    BOOST_TEST(calls <= 7 * nodeCount);
}

// All VMs lose power, and their servers start again under new ids. Guards against requests to the former servers until
// a node that waits for the list to settle reads again.
BOOST_AUTO_TEST_CASE(relay_whoseFirstListHasServers_isSettledAtOnce)
{
    base::ManualClock clock;
    DirectoryRelay relay(base::VmId("vm-1"), clock);
    BOOST_TEST(!relay.isSettled());
    ServerUpdate list;
    list.isComplete = true;
    list.changed.emplace_back();
    relay.notePlatformAnswer(list);
    BOOST_TEST(relay.isSettled());
}
