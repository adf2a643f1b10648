#include "syntheticfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace papayastep;
using namespace papayastep::health;
using namespace papayastep::health::synthetic;
using namespace std::chrono_literals;

namespace {

const base::Duration settled = 30s;

/// A counter service of 8 servers on the manual clock, with traffic, and what became of it.
struct FleetUnderFault
{
    ServiceProfile shape = smallCounter();
    std::unique_ptr<Fleet> fleet;
    double smallestCapacity = 1;

    static ServiceProfile smallCounter()
    {
        ServiceProfile shape = fleetServices("caribrite").front();
        shape.servers = 8;
        return shape;
    }

    void begin(std::uint64_t seed = 1)
    {
        fleet = std::make_unique<Fleet>(shape, seed, [&](const base::ManualClock &clock, Link link) {
            return std::make_unique<MonitorDetector>(shape, clock, seed, std::move(link));
        });
        fleet->onTick
            = [this](base::Duration) { smallestCapacity = std::min(smallestCapacity, fleet->smallestCapacity()); };
    }

    MonitorDetector &detector()
    {
        return dynamic_cast<MonitorDetector &>(fleet->detector());
    }

    void fail(Fault fault, const std::vector<int> &servers, base::Duration length = 10h)
    {
        fleet->addFault(FaultPlan{fault, servers, fleet->elapsed(), fleet->elapsed() + length});
    }

    void run(base::Duration length)
    {
        fleet->runUntil(fleet->elapsed() + length);
    }

    int count(HealthEventKind kind, int server)
    {
        const auto &events = detector().events;
        return static_cast<int>(std::count_if(events.begin(), events.end(), [&](const HealthEvent &event) {
            return event.kind == kind && event.server == serverId(server);
        }));
    }

    int ejectionsOfOthers(const std::vector<int> &sick)
    {
        int others = 0;
        for (int server = 0; server < shape.servers; ++server) {
            const bool isSick = std::find(sick.begin(), sick.end(), server) != sick.end();
            others += isSick ? 0 : count(HealthEventKind::Ejected, server);
        }
        return others;
    }

    /// Runs into `fault` of server 0 and checks that just this server is avoided after `limit`.
    void expectFound(Fault fault, base::Duration limit)
    {
        begin();
        run(settled);
        fail(fault, {0});
        run(limit);
        BOOST_TEST(fleet->avoidedShare(0) >= 0.5);
        BOOST_TEST(ejectionsOfOthers({0}) == 0);
        BOOST_TEST(smallestCapacity >= shape.floor);
    }
};

}

// A disk dies slowly and every answer takes ten times as long. A vendor waits at the counter for each lookup that
// lands on this server.
BOOST_FIXTURE_TEST_CASE(server_slowTenfold_isEjectedWithinTwoSeconds, FleetUnderFault)
{
    expectFound(Fault::SlowTenfold, 2s);
}

// A noisy neighbour takes half of the processor. Users notice only that some pages are sluggish.
BOOST_FIXTURE_TEST_CASE(server_slowTwice_isEjectedInTheEnd, FleetUnderFault)
{
    expectFound(Fault::SlowTwice, 15s);
}

// A bad release on one server fails every third request, the others work. Callers see errors that come and go.
BOOST_FIXTURE_TEST_CASE(server_failingAThird_isEjectedWithinTwoSeconds, FleetUnderFault)
{
    expectFound(Fault::ErrorsOnThird, 2s);
}

// A deadlock: connections are taken and nothing comes back. Without looking at attempts in flight it would be seen
// only when the first deadline passes, five seconds later.
BOOST_FIXTURE_TEST_CASE(server_thatHangs_isEjectedBeforeAnyDeadline, FleetUnderFault)
{
    expectFound(Fault::Hang, 1s);
}

// The database connection of one server is gone. Its health endpoint does not need it and says all is well.
BOOST_FIXTURE_TEST_CASE(server_halfAlive_isEjectedAgainstItsGoodHealthEndpoint, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::HalfAlive, {0});
    for (int step = 0; step < 10; ++step) {
        detector().probeFinished(0, true);
        run(100ms);
    }
    BOOST_TEST(count(HealthEventKind::Ejected, 0) == 1);
    BOOST_TEST(ejectionsOfOthers({0}) == 0);
}

// A health endpoint answers badly on a server that does all its work well. Ejected for that, a good server would be
// lost to a broken page.
BOOST_FIXTURE_TEST_CASE(server_withBadHealthEndpointOnly_staysInUse, FleetUnderFault)
{
    begin();
    run(settled);
    detector().probeFinished(0, false);
    run(60s);
    BOOST_TEST(count(HealthEventKind::Ejected, 0) == 0);
}

// Answers break off in the middle. A caller gets half a voucher list.
BOOST_FIXTURE_TEST_CASE(server_answeringPartly_isEjectedWithinASecond, FleetUnderFault)
{
    expectFound(Fault::Partial, 1s);
}

// A switch loses all packets to one VM, while packets from it arrive: its own state messages say that all is well.
BOOST_FIXTURE_TEST_CASE(path_brokenTowardsVm_isAvoidedAndServerIsNotBlamed, FleetUnderFault)
{
    expectFound(Fault::OneWayTo, 3s);
    BOOST_TEST(count(HealthEventKind::Ejected, 0) == 0);
}

// Requests reach the VM and run, but neither acknowledgement nor answer comes back.
BOOST_FIXTURE_TEST_CASE(path_brokenFromVm_isAvoidedAndServerIsNotBlamed, FleetUnderFault)
{
    expectFound(Fault::OneWayFrom, 3s);
    BOOST_TEST(count(HealthEventKind::Ejected, 0) == 0);
}

// A server is sick for three seconds, well for three, and so on. If each return were taken at its word, callers
// would meet the sick phase ten times a minute.
BOOST_FIXTURE_TEST_CASE(server_thatFlaps_isHeldLongerEachTime, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::Flapping, {0});
    run(3min);
    const int away = count(HealthEventKind::Ejected, 0) + count(HealthEventKind::TrialFailed, 0);
    BOOST_TEST(away >= 2);
    BOOST_TEST(away <= 8);
    BOOST_TEST(ejectionsOfOthers({0}) == 0);
}

// The hypervisor stops a VM for three seconds. Requests sent to it wait; after it wakes its own attempts look ages
// old, and believed they would eject its healthy backend server.
BOOST_FIXTURE_TEST_CASE(process_pausedAndWoken_isAvoidedMeanwhileAndBlamesNobodyAfter, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::Paused, {0}, 3s);
    run(2900ms);
    BOOST_TEST(fleet->avoidedShare(0) >= 0.5);
    run(20s);
    BOOST_TEST(detector().monitor(0).counters().pauses == 1U);
    BOOST_TEST(ejectionsOfOthers({}) == 0);
    BOOST_TEST(fleet->avoidedShare(0) == 0);
}

// A whole availability zone becomes slow. All its servers are worse than the median and leave, the floor holds.
BOOST_FIXTURE_TEST_CASE(zone_thatIsSlow_isEjectedDownToTheFloorAtMost, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::SlowTenfold, {0, 4});
    run(2s);
    BOOST_TEST(fleet->avoidedShare(0) == 1);
    BOOST_TEST(fleet->avoidedShare(4) == 1);
    BOOST_TEST(ejectionsOfOthers({0, 4}) == 0);
    BOOST_TEST(smallestCapacity >= shape.floor);
}

// The shared database of all servers becomes slow. Ejecting any of them would only load the others more.
BOOST_FIXTURE_TEST_CASE(allServers_slowAtOnce_ejectNobody, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::SlowTenfold, {0, 1, 2, 3, 4, 5, 6, 7});
    run(30s);
    BOOST_TEST(ejectionsOfOthers({}) == 0);
}

// Two servers fall sick within the same second, in different ways.
BOOST_FIXTURE_TEST_CASE(twoServers_sickAtOnce_areBothEjected, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::Hang, {1});
    fail(Fault::ErrorsOnThird, {6});
    run(2s);
    BOOST_TEST(fleet->avoidedShare(1) == 1);
    BOOST_TEST(fleet->avoidedShare(6) == 1);
    BOOST_TEST(ejectionsOfOthers({1, 6}) == 0);
}

// Operators publish a new revision in the very second in which a server hangs, and one more while it is ejected.
// If evidence or ejection were lost with each revision, a busy day of changes would keep a sick server in use.
BOOST_FIXTURE_TEST_CASE(server_sickWhileConfigurationChanges_isEjectedAndStaysEjected, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::Hang, {0});
    run(200ms);
    detector().publish();
    run(800ms);
    BOOST_TEST(fleet->avoidedShare(0) == 1);
    detector().publish();
    BOOST_TEST(fleet->avoidedShare(0) == 1);
}

// Six of eight servers hang one after the other, with a floor of half. The last two can't carry the traffic alone;
// ejecting all six would refuse most requests.
BOOST_FIXTURE_TEST_CASE(floor_withMoreSickServersThanItAllows_holds, FleetUnderFault)
{
    begin();
    run(settled);
    for (int server = 0; server < 6; ++server) {
        fail(Fault::HalfAlive, {server});
        run(700ms);
    }
    run(5s);
    BOOST_TEST(smallestCapacity >= shape.floor);
    BOOST_TEST(std::any_of(detector().events.begin(), detector().events.end(), [](const HealthEvent &event) {
        return event.kind == HealthEventKind::FloorHeld;
    }));
}

// A server hangs, recovers, and hangs again just as its trial begins. A trial that waits for answers which never
// come would leave it in trial for ever, eating one request after the other.
BOOST_FIXTURE_TEST_CASE(server_whoseTrialHangs_isEjectedAgain, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::Hang, {0}, 60s);
    run(40s);
    BOOST_TEST(count(HealthEventKind::Trial, 0) >= 1);
    BOOST_TEST(count(HealthEventKind::TrialFailed, 0) >= 1);
    BOOST_TEST(count(HealthEventKind::Returned, 0) == 0);
    run(120s);
    BOOST_TEST(count(HealthEventKind::Returned, 0) == 1);
    BOOST_TEST(fleet->avoidedShare(0) == 0);
}

// The process of a backend server dies while the node beside it lives on. One refused connection is load and says
// nothing; refusing everything while all siblings accept is death.
BOOST_FIXTURE_TEST_CASE(server_refusingAllConnections_isEjected, FleetUnderFault)
{
    expectFound(Fault::Refusing, 3s);
}

// A VM is replaced and its backend server comes up cold. Given its full share at once it would answer the first
// requests slowly, just when many wait for it.
BOOST_FIXTURE_TEST_CASE(server_ofRestartedNode_getsItsShareStepByStep, FleetUnderFault)
{
    begin();
    run(settled);
    BOOST_TEST(detector().weight(1, 0) == 1);
    detector().restart(0);
    run(2s);
    BOOST_TEST(detector().weight(1, 0) < 0.5);
    run(10s);
    BOOST_TEST(detector().weight(1, 0) == 1);
    BOOST_TEST(ejectionsOfOthers({}) == 0);
}

// A quarter of an hour without any fault, with stalls and errors as they happen every day.
BOOST_FIXTURE_TEST_CASE(fleet_withoutFault_ejectsNobody, FleetUnderFault)
{
    shape.prefer = config::DetectionPreference::FewEjections;
    begin(7);
    run(15min);
    BOOST_TEST(ejectionsOfOthers({}) == 0);
}
