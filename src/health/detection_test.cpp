#include "syntheticfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace papayastep;
using namespace papayastep::health;
using namespace papayastep::health::synthetic;
using namespace std::chrono_literals;

namespace {

const base::Duration settled = 30s;

/// A simulated counter service of 8 servers with traffic, and the results.
struct FleetUnderFault
{
    ServiceProfile profile = smallCounter();
    std::unique_ptr<Fleet> fleet;
    double smallestCapacity = 1;

    static ServiceProfile smallCounter()
    {
        ServiceProfile profile = fleetServices("caribrite").front();
        profile.servers = 8;
        return profile;
    }

    void begin(std::uint64_t seed = 1)
    {
        fleet = std::make_unique<Fleet>(profile, seed, [&](const base::ManualClock &clock, Link link) {
            return std::make_unique<MonitorDetector>(profile, clock, seed, std::move(link));
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

    int ejectionsOfOthers(const std::vector<int> &faulty)
    {
        int others = 0;
        for (int server = 0; server < profile.servers; ++server) {
            const bool isFaulty = std::find(faulty.begin(), faulty.end(), server) != faulty.end();
            others += isFaulty ? 0 : count(HealthEventKind::Ejected, server);
        }
        return others;
    }

    /// Starts `fault` of server 0 and checks that only this server is avoided after `limit`.
    void expectFound(Fault fault, base::Duration limit)
    {
        begin();
        run(settled);
        fail(fault, {0});
        run(limit);
        BOOST_TEST(fleet->avoidedShare(0) >= 0.5);
        BOOST_TEST(ejectionsOfOthers({0}) == 0);
        BOOST_TEST(smallestCapacity >= profile.floor);
    }
};

}

// Every answer of a server takes ten times as long because of a failing disk. Guards against sending it requests, which
// callers would wait for, until it fails completely.
BOOST_FIXTURE_TEST_CASE(server_slowTenfold_isEjectedWithinTwoSeconds, FleetUnderFault)
{
    expectFound(Fault::SlowTenfold, 2s);
}

// A noisy neighbour takes half of the processor, and a server is twice as slow. Guards against a slowdown that is too
// small to be ever detected.
BOOST_FIXTURE_TEST_CASE(server_slowTwice_isEjectedWithinFifteenSeconds, FleetUnderFault)
{
    expectFound(Fault::SlowTwice, 15s);
}

// A faulty release on one server fails every third request. Guards against intermittent errors that are not detected
// because the other requests succeed.
BOOST_FIXTURE_TEST_CASE(server_failingAThird_isEjectedWithinTwoSeconds, FleetUnderFault)
{
    expectFound(Fault::ErrorsOnThird, 2s);
}

// A server accepts connections but never answers, because of a deadlock. Guards against evidence from ended attempts
// only, with which a hang would be detected at the first deadline, five seconds later.
BOOST_FIXTURE_TEST_CASE(server_thatHangs_isEjectedBeforeAnyDeadline, FleetUnderFault)
{
    expectFound(Fault::Hang, 1s);
}

// The database connection of a server is lost, and all requests fail. Its health endpoint does not need the database
// and reports success. Guards against keeping the server in use because of the endpoint.
BOOST_FIXTURE_TEST_CASE(server_halfAlive_isEjectedDespiteItsGoodHealthEndpoint, FleetUnderFault)
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

// The health endpoint of a server fails while all its requests succeed. Guards against ejecting a healthy server
// because of its endpoint alone.
BOOST_FIXTURE_TEST_CASE(server_withBadHealthEndpointOnly_staysInUse, FleetUnderFault)
{
    begin();
    run(settled);
    detector().probeFinished(0, false);
    run(60s);
    BOOST_TEST(count(HealthEventKind::Ejected, 0) == 0);
}

// Answers of a server end in the middle, so that callers get incomplete data. Guards against counting them as
// successes.
BOOST_FIXTURE_TEST_CASE(server_answeringPartly_isEjectedWithinASecond, FleetUnderFault)
{
    expectFound(Fault::Partial, 1s);
}

// A switch loses all packets to one VM while packets from it arrive, so its state messages report a healthy server.
// Guards against using the path because of these messages, and against ejecting the server for a fault of the path.
BOOST_FIXTURE_TEST_CASE(path_brokenTowardsVm_isAvoidedAndServerIsNotEjected, FleetUnderFault)
{
    expectFound(Fault::OneWayTo, 3s);
    BOOST_TEST(count(HealthEventKind::Ejected, 0) == 0);
}

// Requests reach the VM and run, but neither acknowledgements nor answers arrive. Guards against ejecting the server
// for a fault of the path.
BOOST_FIXTURE_TEST_CASE(path_brokenFromVm_isAvoidedAndServerIsNotEjected, FleetUnderFault)
{
    expectFound(Fault::OneWayFrom, 3s);
    BOOST_TEST(count(HealthEventKind::Ejected, 0) == 0);
}

// A server fails for three seconds, works for three, and so on. Guards against returning it with its full share each
// time, so that requests would meet the failing phase ten times a minute.
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

// The hypervisor pauses a VM for three seconds, and requests sent to it wait. Guards against ejecting its healthy
// backend server after the pause, because its attempts in flight then look too old.
BOOST_FIXTURE_TEST_CASE(process_pausedAndResumed_isAvoidedMeanwhileAndEjectsNobodyAfter, FleetUnderFault)
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

// All servers of an availability zone become slow. Guards against ejecting only some of them, or more than the floor
// allows.
BOOST_FIXTURE_TEST_CASE(zone_thatIsSlow_isEjectedDownToTheFloorAtMost, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::SlowTenfold, {0, 4});
    run(2s);
    BOOST_TEST(fleet->avoidedShare(0) == 1);
    BOOST_TEST(fleet->avoidedShare(4) == 1);
    BOOST_TEST(ejectionsOfOthers({0, 4}) == 0);
    BOOST_TEST(smallestCapacity >= profile.floor);
}

// The shared database of all servers becomes slow. Guards against ejecting servers for it, which would only put more
// load on the others.
BOOST_FIXTURE_TEST_CASE(allServers_slowAtOnce_ejectNobody, FleetUnderFault)
{
    begin();
    run(settled);
    fail(Fault::SlowTenfold, {0, 1, 2, 3, 4, 5, 6, 7});
    run(30s);
    BOOST_TEST(ejectionsOfOthers({}) == 0);
}

// Two servers become faulty within the same second, in different ways. Guards against detecting only one of them.
BOOST_FIXTURE_TEST_CASE(twoServers_faultyAtOnce_areBothEjected, FleetUnderFault)
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

// Operators publish a new revision in the second in which a server hangs, and another while it is ejected. Guards
// against losing the evidence or the ejection with each revision, so that frequent changes keep a hanging server in
// use.
BOOST_FIXTURE_TEST_CASE(server_hangingWhileConfigurationChanges_isEjectedAndStaysEjected, FleetUnderFault)
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

// Six of eight servers fail one after the other, with a floor of one half. Guards against ejecting all six: the last
// two cannot carry the traffic alone, and most requests would be refused.
BOOST_FIXTURE_TEST_CASE(floor_withMoreFaultyServersThanItAllows_holds, FleetUnderFault)
{
    begin();
    run(settled);
    for (int server = 0; server < 6; ++server) {
        fail(Fault::HalfAlive, {server});
        run(700ms);
    }
    run(5s);
    BOOST_TEST(smallestCapacity >= profile.floor);
    BOOST_TEST(std::any_of(detector().events.begin(), detector().events.end(), [](const HealthEvent &event) {
        return event.kind == HealthEventKind::FloorHeld;
    }));
}

// A server still hangs when its trial begins. Guards against a trial that waits for answers without a limit, so that
// the server stays in trial and loses one request after the other.
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

// The process of a backend server dies while the node beside it continues. Guards against counting its refused
// connections as load: a server that refuses all of them while all siblings accept is dead.
BOOST_FIXTURE_TEST_CASE(server_refusingAllConnections_isEjected, FleetUnderFault)
{
    expectFound(Fault::Refusing, 3s);
}

// A VM is replaced, and its backend server starts cold. Guards against giving it its full share of work at once, which
// it would answer slowly.
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

// A quarter of an hour without any fault, with ordinary stalls and errors. Guards against false ejections.
BOOST_FIXTURE_TEST_CASE(fleet_withoutFault_ejectsNobody, FleetUnderFault)
{
    profile.prefer = config::DetectionPreference::FewEjections;
    begin(7);
    run(15min);
    BOOST_TEST(ejectionsOfOthers({}) == 0);
}
