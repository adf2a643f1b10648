#include "latencyscale.h"
#include "serverevidence.h"
#include "syntheticfleet.h"

#include "papayastep/health/healthmonitor.h"
#include "papayastep/health/serverstate.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::health;
using namespace papayastep::health::synthetic;
using namespace std::chrono_literals;

namespace {

config::Service serviceNamed(const std::string &id)
{
    config::Service result;
    result.id = base::ServiceId(id);
    return result;
}

/// One node of a service of four, that hears whatever a test says in the name of the others.
struct OneNode
{
    base::ManualClock clock;
    HealthMonitor monitor{NodeIdentity{vmId(0), 1}, clock, 1};
    config::Configuration::Parts parts;
    std::uint64_t version = 0;

    OneNode()
    {
        parts.services.push_back(serviceNamed("counter"));
        parts.services.push_back(serviceNamed("far"));
        for (int index = 0; index < 4; ++index) {
            parts.backendServers.push_back(server(index, "counter"));
        }
        for (int index = 10; index < 14; ++index) {
            parts.backendServers.push_back(server(index, "far"));
        }
        monitor.applyConfiguration(std::make_shared<const config::Configuration>(1, parts));
    }

    static config::BackendServer server(int index, const std::string &service)
    {
        return config::BackendServer{
            serverId(index), base::ServiceId(service), vmId(index), base::ZoneId("z"), "127.0.0.1", 8000, 5, false};
    }

    void wait(base::Duration length)
    {
        for (base::Duration done{}; done < length; done += 50ms) {
            clock.advance(50ms);
            monitor.tick();
        }
    }

    static ServerStatus claimOf(int index, ServerState state = ServerState::Healthy)
    {
        ServerStatus claim;
        claim.server = shortHash(serverId(index).value());
        claim.state = static_cast<std::uint8_t>(state);
        claim.unhealthy = state == ServerState::Ejected;
        claim.latencySteps = latencySteps(30ms);
        return claim;
    }

    void hear(int from, const ServerStatus &claim, base::Incarnation incarnation = 7)
    {
        SiblingState state;
        state.version = ++version;
        state.servers.push_back(claim);
        monitor.receive(vmId(from), incarnation, wire::MessageKind::SiblingState, wire::encode(state));
    }

    void hearAllHealthy()
    {
        for (int index = 1; index < 4; ++index) {
            hear(index, claimOf(index));
        }
    }

    static ServerReport reportOf(int index, const std::vector<int> &ejected)
    {
        ServerReport report;
        report.serverId = serverId(index).value();
        report.state = static_cast<std::uint8_t>(ServerState::Healthy);
        report.upToDate = true;
        for (const int server : ejected) {
            report.ejected.push_back(shortHash(serverId(server).value()));
        }
        return report;
    }

    Availability availability(int index)
    {
        return monitor.view(serverId(index)).availability;
    }
};

}

// A server answered a few requests slowly, to this entry or by what its node told, and nothing was heard since. As long
// as it is taken for slow it gets nothing, so it would never be seen that it is well: its callers crowd at the others.
BOOST_FIXTURE_TEST_CASE(server_slowSomeTimeAgo_isTakenForAsQuickAsItsSiblings, OneNode)
{
    hearAllHealthy();
    ServerStatus slow = claimOf(2);
    slow.latencySteps = latencySteps(300ms);
    hear(2, slow);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        const AttemptKey key{{1, number}, 1};
        monitor.hopSent(vmId(3), serverId(3), key);
        monitor.hopAcknowledged(vmId(3), key);
        monitor.hopEnded(vmId(3), key, HopOutcome::Answered, 300ms);
    }
    BOOST_TEST((monitor.view(serverId(2)).latency > 250ms));
    BOOST_TEST((monitor.view(serverId(3)).latency > 250ms));
    wait(4s);
    BOOST_TEST((monitor.view(serverId(2)).latency < 50ms));
    BOOST_TEST((monitor.view(serverId(3)).latency < 50ms));
}

// A node tells that its server is ejected; an entry that goes on sending there only collects refusals.
BOOST_FIXTURE_TEST_CASE(sibling_sayingItIsEjected_getsNoWork, OneNode)
{
    hearAllHealthy();
    hear(2, claimOf(2, ServerState::Ejected));
    BOOST_TEST((availability(2) == Availability::Ejected));
    BOOST_TEST(!monitor.view(serverId(2)).usable());
}

// A VM restarts; a message that its old self sent before arrives after the first one of the new self. Believed, it
// would eject the fresh server.
BOOST_FIXTURE_TEST_CASE(message_ofTheOldSelf_isIgnored, OneNode)
{
    hearAllHealthy();
    hear(2, claimOf(2), 8);
    hear(2, claimOf(2, ServerState::Ejected), 7);
    BOOST_TEST((availability(2) == Availability::Usable));
    BOOST_TEST(monitor.counters().messagesIgnored == 1U);
}

// A VM that said farewell is replaced under its old name. The farewell was meant for the old one.
BOOST_FIXTURE_TEST_CASE(vm_leavingAndReplaced_isUsedAgain, OneNode)
{
    hearAllHealthy();
    monitor.receive(vmId(2), 7, wire::MessageKind::SiblingLeaving, wire::encode(SiblingLeaving{vmId(2).value()}));
    BOOST_TEST((availability(2) == Availability::Gone));
    hear(2, claimOf(2, ServerState::Warming), 7);
    BOOST_TEST((availability(2) == Availability::Gone));
    hear(2, claimOf(2, ServerState::Warming), 8);
    BOOST_TEST((availability(2) == Availability::Usable));
}

// The lagging list names a leaving VM that is no sibling and says nothing itself.
BOOST_FIXTURE_TEST_CASE(vm_namedAsLeaving_getsNoNewWork, OneNode)
{
    config::VmList list;
    list.vms.push_back(config::VmEntry{vmId(11), base::ZoneId("z"), "127.0.0.1", 1, 2, 3, 4, true});
    list.vms.push_back(config::VmEntry{vmId(12), base::ZoneId("z"), "127.0.0.1", 1, 2, 3, 4, false});
    monitor.applyVmList(list);
    BOOST_TEST((availability(11) == Availability::Gone));
    BOOST_TEST((availability(12) == Availability::Usable));
}

// This node itself is told to leave: it tells its siblings at once and admits nothing more.
BOOST_FIXTURE_TEST_CASE(self_leaving_tellsItsSiblingsAtOnce, OneNode)
{
    monitor.takeMessages();
    monitor.setLeaving(vmId(0));
    int farewells = 0;
    for (const wire::Outgoing &message : monitor.takeMessages()) {
        farewells += message.kind == wire::MessageKind::SiblingLeaving ? 1 : 0;
    }
    BOOST_TEST(farewells == 3);
    BOOST_TEST((monitor.admission(serverId(0)) == Admission::Draining));
}

// A sibling claims to be idle and a hundred times as quick as the rest. Believed, it would draw all traffic.
BOOST_FIXTURE_TEST_CASE(sibling_lyingAboutItsLoad_isBoundedByWhatIsSeen, OneNode)
{
    hearAllHealthy();
    ServerStatus liar = claimOf(1);
    liar.latencySteps = 1;
    hear(1, liar);
    for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {
        monitor.hopSent(vmId(1), serverId(1), AttemptKey{{}, attempt});
    }
    const ServerView view = monitor.view(serverId(1));
    BOOST_TEST(view.slotsInUse == 3);
    BOOST_TEST((view.latency >= 5ms));
    BOOST_TEST(view.weight <= 1);
}

// A serving node says that all is well while every answer this entry gets from it is an error.
BOOST_FIXTURE_TEST_CASE(entry_seeingOnlyErrors_believesItselfMore, OneNode)
{
    for (std::uint32_t attempt = 0; attempt < 20; ++attempt) {
        for (int index = 10; index < 14; ++index) {
            const AttemptKey key{{1, static_cast<std::uint64_t>(index)}, attempt};
            monitor.hopSent(vmId(index), serverId(index), key);
            monitor.hopAcknowledged(vmId(index), key);
            monitor.hopEnded(vmId(index), key, index == 10 ? HopOutcome::ServerFailed : HopOutcome::Answered, 30ms);
            monitor.applyReport(vmId(index), reportOf(index, {}));
        }
        wait(50ms);
    }
    BOOST_TEST(!monitor.view(serverId(10)).usable());
    BOOST_TEST((availability(10) == Availability::Ejected));
    BOOST_TEST(monitor.view(serverId(11)).usable());
    BOOST_TEST(monitor.counters().entryEjections == 1U);
}

// Two nodes of a service far away contradict each other about a third, which says that it is well.
BOOST_FIXTURE_TEST_CASE(reports_contradictingEachOther_leaveTheWordToTheServerItself, OneNode)
{
    monitor.applyReport(vmId(10), reportOf(10, {12}));
    BOOST_TEST((availability(12) == Availability::Ejected));
    monitor.applyReport(vmId(11), reportOf(11, {}));
    clock.advance(1ms);
    monitor.applyReport(vmId(12), reportOf(12, {}));
    BOOST_TEST((availability(12) == Availability::Usable));
}

// A single reporter accuses all others. Its word must not take a service below its floor.
BOOST_FIXTURE_TEST_CASE(report_accusingAllOthers_isCutByTheFloor, OneNode)
{
    monitor.applyReport(vmId(10), reportOf(10, {11, 12, 13}));
    int usable = 0;
    for (int index = 10; index < 14; ++index) {
        usable += monitor.view(serverId(index)).usable() ? 1 : 0;
    }
    BOOST_TEST(usable >= 2);
}

// The process is stopped for ten seconds. What it believed is old, and a report made from it would mislead entries.
BOOST_FIXTURE_TEST_CASE(process_wokenFromPause_reportsNothingUntilFreshEvidence, OneNode)
{
    hearAllHealthy();
    hear(2, claimOf(2, ServerState::Ejected));
    monitor.attemptStarted(serverId(0), AttemptKey{}, base::RouteId("r"));
    wait(100ms);
    monitor.takeMessages();
    clock.advance(10s);
    BOOST_TEST(!monitor.report(serverId(0)).upToDate);
    monitor.attemptFinished(serverId(0), AttemptKey{}, AttemptOutcome::Timeout, 10s);
    BOOST_TEST(!monitor.report(serverId(0)).upToDate);
    monitor.tick();
    BOOST_TEST(monitor.takeMessages().empty());
    BOOST_TEST((availability(2) != Availability::Ejected));
    hear(1, claimOf(1));
    BOOST_TEST(monitor.report(serverId(0)).upToDate);
}

// Messages can be cut, forged by a bug, or come from a newer node. None of them may stop this one.
BOOST_FIXTURE_TEST_CASE(message_malformed_isCountedAndIgnored, OneNode)
{
    monitor.receive(vmId(1), 7, wire::MessageKind::SiblingState, "rubbish");
    monitor.receive(vmId(99), 7, wire::MessageKind::SiblingState, wire::encode(SiblingState{}));
    hear(1, claimOf(1, static_cast<ServerState>(200)));
    BOOST_TEST(monitor.counters().messagesIgnored == 2U);
    BOOST_TEST((availability(1) == Availability::Usable));
}

// A VM with servers of nine services has 144 siblings. Telling each of them every second would spend many times
// what a node may spend on control.
BOOST_AUTO_TEST_CASE(messages_ofVmWithManySiblings_stayWithinTheBudget)
{
    base::ManualClock clock;
    HealthMonitor monitor(NodeIdentity{vmId(0), 1}, clock, 1);
    config::Configuration::Parts parts;
    for (int service = 0; service < 9; ++service) {
        const base::ServiceId name("service-" + std::to_string(service));
        parts.services.push_back(serviceNamed(name.value()));
        for (int index = 0; index < 17; ++index) {
            const int vm = index == 0 ? 0 : 100 * service + index;
            const std::string id = name.value() + '-' + std::to_string(index);
            parts.backendServers.push_back(config::BackendServer{
                base::BackendServerId(id), name, vmId(vm), base::ZoneId("z"), "127.0.0.1", 8000, 5, false});
        }
    }
    monitor.applyConfiguration(std::make_shared<const config::Configuration>(1, parts));
    const HealthSettings settings;
    double bytes = 0;
    for (int step = 0; step < 20 * 120; ++step) {
        clock.advance(50ms);
        monitor.tick();
        for (const wire::Outgoing &message : monitor.takeMessages()) {
            bytes += step < 20 * 20 ? 0 : static_cast<double>(message.payload.size()) + settings.messageOverheadBytes;
        }
    }
    BOOST_TEST(bytes / 100 <= 1.1 * settings.controlBytesPerSecond);
}
