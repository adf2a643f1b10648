#include "papayastep/membership/directoryrelay.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace papayastep;
using namespace papayastep::membership;
using namespace std::chrono_literals;

namespace {

/// Eight nodes with a relay and the version that each holds.
struct RelayFleet
{
    RelayFleet()
    {
        std::vector<base::VmId> present;
        present.reserve(8);
        for (int i = 0; i < 8; ++i) {
            present.emplace_back("vm-" + std::to_string(i));
        }
        for (const base::VmId &vm : present) {
            relays.emplace(vm, std::make_unique<DirectoryRelay>(vm, clock));
            relays.at(vm)->applyVms(present);
            versions[vm] = 10;
        }
        ServerUpdate list;
        list.version = 10;
        list.isComplete = true;
        for (const auto &[vm, relay] : relays) {
            relay->notePlatformAnswer(list);
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
    /// The platform answers a reader, and its messages reach all but `cut`.
    void answer(const base::VmId &reader, const ServerUpdate &news, const base::VmId &cut = {})
    {
        relays.at(reader)->notePlatformAnswer(news);
        versions[reader] = news.version;
        deliver(reader, cut);
    }
    void deliver(const base::VmId &reader, const base::VmId &cut = {})
    {
        for (const wire::Outgoing &message : relays.at(reader)->takeMessages()) {
            if (message.to == cut) {
                continue;
            }
            const auto news
                = relays.at(message.to)->receive(wire::decode<DirectoryNews>(message.payload), versions[message.to]);
            if (news) {
                versions[message.to] = news->version;
                applied[message.to].push_back(*news);
            }
        }
    }
    static ServerUpdate change(std::uint64_t version)
    {
        ServerUpdate news;
        news.version = version;
        config::BackendServer server;
        server.id = base::BackendServerId("counter-1");
        server.drain = true;
        news.changed.push_back(server);
        return news;
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

// In a fleet of the planned size, two readers could not tell all others; each group has its own.
BOOST_AUTO_TEST_CASE(readers_ofALargeFleet_areTwoForEachGroup)
{
    std::vector<base::VmId> present;
    present.reserve(1000);
    for (int i = 0; i < 1000; ++i) {
        present.emplace_back("vm-" + std::to_string(i));
    }
    int count = 0;
    for (const base::VmId &vm : present) {
        DirectoryRelay relay(vm, clock);
        relay.applyVms(present);
        count += relay.isReader() ? 1 : 0;
    }
    BOOST_TEST(count == 20);
}

BOOST_AUTO_TEST_CASE(news_ofAReader_reachAllOthers)
{
    answer(readers().front(), change(11));
    BOOST_TEST(versions[follower()] == 11U);
    BOOST_TEST(applied[follower()].back().changed.front().drain);
    BOOST_TEST(isCovered(follower()));
}

// A server leaves, and the message that says so is lost on its way to one node. It must not go on sending work there
// because later beats tell it that its reader is well.
BOOST_AUTO_TEST_CASE(follower_thatMissedNews_isNotCoveredByLaterBeats)
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

// Both readers lose the platform while their messages still reach the others. Whoever trusted them would miss a server
// that leaves.
BOOST_AUTO_TEST_CASE(followers_ofReadersWithoutAnswers_areSoonOnTheirOwn)
{
    answer(readers().front(), change(11));
    for (int beat = 0; beat < 5; ++beat) {
        clock.advance(300ms);
        deliver(readers().front());
    }
    BOOST_TEST(!isCovered(follower()));
}

BOOST_AUTO_TEST_CASE(beat_withoutChange_keepsCoverage)
{
    for (int round = 0; round < 10; ++round) {
        ServerUpdate nothing;
        nothing.version = 10;
        answer(readers().front(), nothing);
        clock.advance(700ms);
        deliver(readers().front());
        BOOST_TEST(isCovered(follower()));
    }
}

// A third of the nodes is cut off from the platform, so the entries of their servers lapse though the servers are well.
// A node among them that took its reader's word would drop its own server, and its callers be refused.
BOOST_AUTO_TEST_CASE(removal_fromAReader_isAskedForInstead)
{
    ServerUpdate gone;
    gone.version = 11;
    gone.removed.emplace_back("counter-1");
    answer(readers().front(), gone);
    BOOST_TEST(versions[follower()] == 10U);
    BOOST_TEST(applied[follower()].empty());
    BOOST_TEST(!isCovered(follower()));
    clock.advance(300ms);
    deliver(readers().front());
    BOOST_TEST(!isCovered(follower()));
}

// Versions of the platform rise with changes elsewhere too. A node that holds an older version but has missed nothing
// must not fall back on the platform for that.
BOOST_AUTO_TEST_CASE(follower_behindByOtherChangesAlone_takesTheNextNews)
{
    ServerUpdate nothing;
    nothing.version = 15;
    relays.at(readers().front())->notePlatformAnswer(nothing);
    answer(readers().front(), change(16));
    BOOST_TEST(versions[follower()] == 16U);
    BOOST_TEST(isCovered(follower()));
}

// One reader hears of a server that registers from the other reader, and its own next answer begins after that. A node
// that missed the first news must not take the second for all there is: the server would get no request all day.
BOOST_AUTO_TEST_CASE(reader_toldByTheOther_doesNotHideWhatItWasTold)
{
    const base::VmId missed = follower();
    answer(readers().front(), change(11), missed);
    answer(readers().back(), change(12));
    BOOST_TEST(versions[missed] == 10U);
    BOOST_TEST(applied[missed].empty());
}

BOOST_AUTO_TEST_CASE(newsOlderThanOwn_changeNothing)
{
    const base::VmId ahead = follower();
    versions[ahead] = 20;
    answer(readers().front(), change(11));
    BOOST_TEST(versions[ahead] == 20U);
    BOOST_TEST(applied[ahead].back().changed.empty());
}

BOOST_AUTO_TEST_SUITE_END()
