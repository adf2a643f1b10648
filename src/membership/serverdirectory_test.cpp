#include "papayastep/membership/serverdirectory.h"
#include "papayastep/membership/vmlistbuilder.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::membership;
using namespace std::chrono_literals;

namespace {

config::BackendServer server(const std::string &id, const std::string &address = "10.0.0.1")
{
    config::BackendServer result;
    result.id = base::BackendServerId(id);
    result.service = base::ServiceId("counter");
    result.vm = base::VmId(address);
    result.zone = base::ZoneId("arima");
    result.address = address;
    result.port = 8080;
    result.incarnation = 1;
    return result;
}

struct DirectoryFixture
{
    base::ManualClock clock;
    ServerDirectory directory{clock};

    ServerUpdate list(std::vector<config::BackendServer> servers, std::uint64_t version = 1)
    {
        return ServerUpdate{version, true, std::move(servers), {}, 0};
    }
    std::size_t size() const
    {
        return directory.servers().size();
    }
};

}

BOOST_FIXTURE_TEST_CASE(directory_withReachablePlatform_removesAServerAtOnce, DirectoryFixture)
{
    directory.apply(list({server("a"), server("b", "10.0.0.2")}));
    BOOST_TEST(directory.apply(ServerUpdate{2, false, {}, {base::BackendServerId("a")}, 0}));
    BOOST_TEST(size() == 1U);
    BOOST_TEST(directory.version() == 2U);
}

// The platform is unreachable and the leases of all entries expire meanwhile. If its list were applied at once when it
// returns, the service would be empty, and callers would be refused until the servers have registered again.
BOOST_FIXTURE_TEST_CASE(directory_afterAnOutage_keepsLapsedEntriesForTheGracePeriod, DirectoryFixture)
{
    directory.apply(list({server("a"), server("b", "10.0.0.2")}));
    directory.noteUnreachable();
    clock.advance(10s);
    BOOST_TEST(!directory.tick());
    BOOST_TEST(size() == 2U);

    BOOST_TEST(!directory.apply(list({}, 7)));
    BOOST_TEST(size() == 2U);
    clock.advance(1s);
    directory.apply(ServerUpdate{8, false, {server("a")}, {}, 0});
    BOOST_REQUIRE(directory.nextTick().has_value());
    clock.advance(1s);
    BOOST_TEST(directory.tick());
    BOOST_REQUIRE(size() == 1U);
    BOOST_TEST(directory.servers().front().id.value() == "a");
}

// A reader sends an answer from before an outage. If it counted as the end of the outage, entries that lapsed would be
// removed too soon.
BOOST_FIXTURE_TEST_CASE(directory_givenAnAnswerFromBeforeTheOutage_staysUnreachable, DirectoryFixture)
{
    directory.apply(list({server("a")}));
    const base::TimePoint answeredAt = clock.now();
    clock.advance(5s);
    directory.noteUnreachable();
    clock.advance(1s);
    directory.apply(ServerUpdate{1, false, {}, {}, 0}, answeredAt);
    BOOST_TEST((directory.timeSinceAnswer() == base::Duration(6s)));
    clock.advance(1s);
    directory.apply(list({}, 7));
    clock.advance(1500ms);
    BOOST_TEST(!directory.tick());
    BOOST_TEST(size() == 1U);
}

// An answer of the platform is on its way while a newer update from a reader arrives. Applied after it, the older
// answer would remove a server that has registered since, and that server would get no requests until its entry changes
// again.
BOOST_FIXTURE_TEST_CASE(directory_givenAnOlderAnswer_keepsTheNewerState, DirectoryFixture)
{
    directory.apply(list({server("a")}, 5));
    directory.apply(ServerUpdate{9, false, {server("b", "10.0.0.2")}, {}, 0});
    BOOST_TEST(!directory.apply(list({server("a")}, 7)));
    BOOST_TEST(!directory.apply(ServerUpdate{8, false, {}, {base::BackendServerId("b")}, 0}));
    BOOST_TEST(size() == 2U);
    BOOST_TEST(directory.version() == 9U);
}

// A crashed server's address is reassigned to another service before its entry has lapsed. Requests for the old server
// would be sent to the new one.
BOOST_FIXTURE_TEST_CASE(directory_withAReusedAddress_listsTheYoungerServerOnly, DirectoryFixture)
{
    auto younger = server("b");
    younger.incarnation = 2;
    directory.apply(list({server("a"), younger}));
    BOOST_REQUIRE(size() == 1U);
    BOOST_TEST(directory.servers().front().id.value() == "b");
}

// A server that is cut off from the platform lapses there, while the node beside it still serves. If peers regarded
// that node as unlisted, it would get no tokens for its callers.
BOOST_FIXTURE_TEST_CASE(vmListBuilder_afterAServerLapsed_keepsItsVmForTheRetentionTime, DirectoryFixture)
{
    config::VmEntry self;
    self.id = base::VmId("10.0.0.9");
    VmListBuilder builder(clock, self, FleetPorts{1, 2, 3, 4});
    BOOST_TEST(builder.update(1, {server("a")}).vms.size() == 2U);
    clock.advance(10s);
    const auto list = builder.update(2, {});
    BOOST_REQUIRE(list.vms.size() == 2U);
    BOOST_TEST(list.vms.front().hopPort == 2);
    clock.advance(30s);
    BOOST_TEST(builder.update(3, {}).vms.size() == 1U);
}

// Guards against lists of one version by which nodes assign the same task to different VMs.
BOOST_FIXTURE_TEST_CASE(vmListBuilder_ofANodeThatHasRestarted_letsTheSameVmsHoldTasks, DirectoryFixture)
{
    const auto holders = [](const config::VmList &list) {
        std::vector<base::VmId> vms;
        for (const config::VmEntry &entry : list.vms) {
            if (entry.canHoldTasks()) {
                vms.push_back(entry.id);
            }
        }
        return vms;
    };
    config::VmEntry self;
    self.id = base::VmId("10.0.0.9");
    VmListBuilder running(clock, self, FleetPorts{1, 2, 3, 4});
    running.update(1, {server("a")});
    VmListBuilder restarted(clock, self, FleetPorts{1, 2, 3, 4});
    BOOST_TEST((holders(running.update(2, {})) == holders(restarted.update(2, {}))));
    BOOST_TEST(holders(running.update(3, {server("a")})).size() == 1U);
}

// Guards against a VM that stays in the list without end because the directory does not change any more.
BOOST_FIXTURE_TEST_CASE(vmListBuilder_withARetainedVm_reportsItsExpiry, DirectoryFixture)
{
    config::VmEntry self;
    self.id = base::VmId("10.0.0.9");
    VmListBuilder builder(clock, self, FleetPorts{1, 2, 3, 4});
    builder.update(1, {server("a")});
    BOOST_TEST(!builder.nextExpiry().has_value());
    const base::TimePoint removedAt = clock.now();
    builder.update(2, {});
    BOOST_REQUIRE(builder.nextExpiry().has_value());
    BOOST_TEST((*builder.nextExpiry() - removedAt == 30s));
    clock.advance(30s);
    BOOST_TEST(builder.update(2, {}).vms.size() == 1U);
    BOOST_TEST(!builder.nextExpiry().has_value());
}

namespace {

struct EvacuatedDirectory : DirectoryFixture
{
    EvacuatedDirectory()
    {
        directory.apply(list({server("a")}));
        directory.apply(evacuation(2));
    }

    static ServerUpdate evacuation(std::uint64_t version)
    {
        ServerUpdate update;
        update.version = version;
        update.evacuated = {base::ZoneId("arima")};
        return update;
    }
    static ServerUpdate restoration(std::uint64_t version)
    {
        ServerUpdate update;
        update.version = version;
        update.restored = {base::ZoneId("arima")};
        return update;
    }
    bool accepts() const
    {
        return directory.servers().front().acceptsRequests();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(evacuation, EvacuatedDirectory)

BOOST_AUTO_TEST_CASE(servers_ofAnEvacuatedZone_acceptNoRequestsUntilItIsRestored)
{
    BOOST_TEST(!accepts());
    BOOST_TEST(!directory.apply(evacuation(3)));
    BOOST_TEST(directory.apply(restoration(4)));
    BOOST_TEST(accepts());
}

BOOST_AUTO_TEST_CASE(server_thatRegistersInAnEvacuatedZone_acceptsNoRequests)
{
    ServerUpdate update;
    update.version = 3;
    update.changed = {server("b", "10.0.0.2")};
    directory.apply(update);
    for (const config::BackendServer &entry : directory.servers()) {
        BOOST_TEST(!entry.acceptsRequests());
    }
}

// Guards against requests to an evacuated zone after an outage, during which only leases expire.
BOOST_AUTO_TEST_CASE(evacuation_duringAnOutageOfThePlatform_staysInForce)
{
    directory.noteUnreachable();
    clock.advance(30s);
    directory.tick();
    BOOST_TEST(!accepts());
}

// Guards against an answer from before the evacuation that arrives after it.
BOOST_AUTO_TEST_CASE(evacuation_beforeAnOlderCompleteList_staysInForce)
{
    BOOST_TEST(!directory.apply(list({server("a")}, 1)));
    BOOST_TEST(!accepts());
}

// Guards against an evacuation that never ends for a node that missed its end because the history was discarded.
BOOST_AUTO_TEST_CASE(evacuation_missingInANewerCompleteList_hasEnded)
{
    ServerUpdate complete = list({server("a")}, 9);
    complete.evacuated = {base::ZoneId("elsewhere")};
    BOOST_TEST(directory.apply(complete));
    BOOST_TEST(accepts());
    BOOST_TEST(directory.evacuatedZones().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a rebuild of the configuration on every node each time a cold server renews its entry.
BOOST_FIXTURE_TEST_CASE(coldServer_thatReportsItsRemainingTime_changesNothing, DirectoryFixture)
{
    config::BackendServer cold = server("a");
    cold.coldUntil = clock.now() + 3s;
    BOOST_TEST(directory.apply(list({cold})));
    clock.advance(1500ms);
    cold.coldUntil = clock.now() + 1600ms;
    BOOST_TEST(!directory.apply(ServerUpdate{2, false, {cold}, {}, 0}));
    clock.advance(1600ms);
    cold.coldUntil = {};
    BOOST_TEST(!directory.apply(ServerUpdate{3, false, {cold}, {}, 0}));
    cold.coldUntil = clock.now() + 3s;
    BOOST_TEST(directory.apply(ServerUpdate{4, false, {cold}, {}, 0}));
}
