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

/// One node of a service with four servers. It receives the messages that a test sends for the other nodes.
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

    static ServerStatus statusOf(int index, ServerState state = ServerState::Healthy)
    {
        ServerStatus status;
        status.server = shortHash(serverId(index).value());
        status.state = static_cast<std::uint8_t>(state);
        status.unhealthy = state == ServerState::Ejected;
        status.latencySteps = latencySteps(30ms);
        return status;
    }

    void receiveStatus(int from, const ServerStatus &status, base::Incarnation incarnation = 7)
    {
        SiblingState state;
        state.version = ++version;
        state.servers.push_back(status);
        monitor.receive(vmId(from), incarnation, wire::MessageKind::SiblingState, wire::encode(state));
    }

    void receiveAllHealthy()
    {
        for (int index = 1; index < 4; ++index) {
            receiveStatus(index, statusOf(index));
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

// A server answered a few requests slowly, as this entry node or its own node observed, and there was no report since.
// Guards against regarding it as slow without a limit: it would get no requests that could show that it is not, and the
// others would be overloaded.
BOOST_FIXTURE_TEST_CASE(server_slowSomeTimeAgo_isEstimatedAsFastAsItsSiblings, OneNode)
{
    receiveAllHealthy();
    ServerStatus slow = statusOf(2);
    slow.latencySteps = latencySteps(300ms);
    receiveStatus(2, slow);
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

// A node reports that its server is ejected. Guards against an entry node that continues to send requests there, which
// are refused.
BOOST_FIXTURE_TEST_CASE(sibling_reportingItsEjection_getsNoWork, OneNode)
{
    receiveAllHealthy();
    receiveStatus(2, statusOf(2, ServerState::Ejected));
    BOOST_TEST((availability(2) == Availability::Ejected));
    BOOST_TEST(!monitor.view(serverId(2)).usable());
}

// A VM restarts, and a message of its earlier incarnation arrives after the first one of the new incarnation. Guards
// against ejecting the new server because of the late message.
BOOST_FIXTURE_TEST_CASE(message_ofAnEarlierIncarnation_isIgnored, OneNode)
{
    receiveAllHealthy();
    receiveStatus(2, statusOf(2), 8);
    receiveStatus(2, statusOf(2, ServerState::Ejected), 7);
    BOOST_TEST((availability(2) == Availability::Usable));
    BOOST_TEST(monitor.counters().messagesIgnored == 1U);
}

// A VM that announced that it leaves is replaced under the same name. Guards against applying the announcement to the
// new VM.
BOOST_FIXTURE_TEST_CASE(vm_leavingAndReplaced_isUsedAgain, OneNode)
{
    receiveAllHealthy();
    monitor.receive(vmId(2), 7, wire::MessageKind::SiblingLeaving, wire::encode(SiblingLeaving{vmId(2).value()}));
    BOOST_TEST((availability(2) == Availability::Gone));
    receiveStatus(2, statusOf(2, ServerState::Warming), 7);
    BOOST_TEST((availability(2) == Availability::Gone));
    receiveStatus(2, statusOf(2, ServerState::Warming), 8);
    BOOST_TEST((availability(2) == Availability::Usable));
}

// The VM list, which lags behind, marks a VM as leaving that is no sibling and so sends no message itself. Guards
// against new work for it.
BOOST_FIXTURE_TEST_CASE(vm_listedAsLeaving_getsNoNewWork, OneNode)
{
    config::VmList list;
    list.vms.push_back(config::VmEntry{vmId(11), base::ZoneId("z"), "127.0.0.1", 1, 2, 3, 4, true});
    list.vms.push_back(config::VmEntry{vmId(12), base::ZoneId("z"), "127.0.0.1", 1, 2, 3, 4, false});
    monitor.applyVmList(list);
    BOOST_TEST((availability(11) == Availability::Gone));
    BOOST_TEST((availability(12) == Availability::Usable));
}

// This node itself leaves. Guards against siblings that continue to send requests until the VM list changes.
BOOST_FIXTURE_TEST_CASE(node_leaving_notifiesItsSiblingsAtOnce, OneNode)
{
    monitor.takeMessages();
    monitor.setLeaving(vmId(0));
    int leavingMessages = 0;
    for (const wire::Outgoing &message : monitor.takeMessages()) {
        leavingMessages += message.kind == wire::MessageKind::SiblingLeaving ? 1 : 0;
    }
    BOOST_TEST(leavingMessages == 3);
    BOOST_TEST((monitor.admission(serverId(0)) == Admission::Draining));
}

// Guards against siblings that continue to send requests to a server that has announced its end, until the directory
// reports it.
BOOST_FIXTURE_TEST_CASE(server_thatAnnouncedItsEnd_countsAsDraining, OneNode)
{
    monitor.setAnnouncedEnd(serverId(0), true);
    BOOST_TEST((availability(0) == Availability::Draining));
    BOOST_TEST((monitor.admission(serverId(0)) == Admission::Draining));
    monitor.setAnnouncedEnd(serverId(0), false);
    BOOST_TEST((availability(0) == Availability::Usable));
}

// A sibling wrongly reports to be idle and a hundred times as fast as the others. Guards against sending it all
// traffic.
BOOST_FIXTURE_TEST_CASE(sibling_reportingWrongLoad_isBoundedByOwnObservations, OneNode)
{
    receiveAllHealthy();
    ServerStatus wrong = statusOf(1);
    wrong.latencySteps = 1;
    receiveStatus(1, wrong);
    for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {
        monitor.hopSent(vmId(1), serverId(1), AttemptKey{{}, attempt});
    }
    const ServerView view = monitor.view(serverId(1));
    BOOST_TEST(view.slotsInUse == 3);
    BOOST_TEST((view.latency >= 5ms));
    BOOST_TEST(view.weight <= 1);
}

// A serving node reports a healthy server while all answers that this entry node gets are errors. Guards against using
// the server because of the reports.
BOOST_FIXTURE_TEST_CASE(entry_receivingOnlyErrors_avoidsTheServerDespiteReports, OneNode)
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

// Two nodes of a service of other VMs send contradicting reports about a third server, whose own node reports it as
// healthy. Guards against avoiding the server because of the outdated report.
BOOST_FIXTURE_TEST_CASE(reports_contradictingEachOther_yieldToThatOfTheServersOwnNode, OneNode)
{
    monitor.applyReport(vmId(10), reportOf(10, {12}));
    BOOST_TEST((availability(12) == Availability::Ejected));
    monitor.applyReport(vmId(11), reportOf(11, {}));
    clock.advance(1ms);
    monitor.applyReport(vmId(12), reportOf(12, {}));
    BOOST_TEST((availability(12) == Availability::Usable));
}

// A single node reports all other servers as ejected. Guards against going below the floor of the service.
BOOST_FIXTURE_TEST_CASE(report_ofAllOthersAsEjected_isLimitedByTheFloor, OneNode)
{
    monitor.applyReport(vmId(10), reportOf(10, {11, 12, 13}));
    int usable = 0;
    for (int index = 10; index < 14; ++index) {
        usable += monitor.view(serverId(index)).usable() ? 1 : 0;
    }
    BOOST_TEST(usable >= 2);
}

// The process is paused for ten seconds, so its state is outdated. Guards against misleading entry nodes by reports of
// that state.
BOOST_FIXTURE_TEST_CASE(process_resumedAfterPause_reportsNothingUntilNewEvidence, OneNode)
{
    receiveAllHealthy();
    receiveStatus(2, statusOf(2, ServerState::Ejected));
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
    receiveStatus(1, statusOf(1));
    BOOST_TEST(monitor.report(serverId(0)).upToDate);
}

// Messages can be truncated, malformed because of a bug, or sent by a newer node. Guards against a failure of this node
// because of them.
BOOST_FIXTURE_TEST_CASE(message_malformed_isCountedAndIgnored, OneNode)
{
    monitor.receive(vmId(1), 7, wire::MessageKind::SiblingState, "rubbish");
    monitor.receive(vmId(99), 7, wire::MessageKind::SiblingState, wire::encode(SiblingState{}));
    receiveStatus(1, statusOf(1, static_cast<ServerState>(200)));
    BOOST_TEST(monitor.counters().messagesIgnored == 2U);
    BOOST_TEST((availability(1) == Availability::Usable));
}

// A VM with servers of nine services has 144 siblings. Guards against a message to each of them every second, which
// would exceed the budget of a node for control traffic many times.
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

// Guards against a share of a core that grows with the number of servers of a service: every evaluation compares all.
BOOST_AUTO_TEST_CASE(evaluations_ofAServiceOfHundreds_areRareAndOfASmallOneFrequent)
{
    const auto evaluationsInTenSeconds = [](int servers) {
        base::ManualClock clock;
        HealthMonitor monitor(NodeIdentity{vmId(0), 1}, clock, 1);
        config::Configuration::Parts parts;
        parts.services.push_back(serviceNamed("counter"));
        for (int vm = 0; vm < servers; ++vm) {
            parts.backendServers.push_back(config::BackendServer{base::BackendServerId("s-" + std::to_string(vm)),
                                                                 base::ServiceId("counter"),
                                                                 vmId(vm),
                                                                 base::ZoneId("z"),
                                                                 "127.0.0.1",
                                                                 8000,
                                                                 5,
                                                                 false});
        }
        monitor.applyConfiguration(std::make_shared<const config::Configuration>(1, parts));
        for (int step = 0; step < 200; ++step) {
            clock.advance(50ms);
            monitor.tick();
        }
        return monitor.counters().evaluations;
    };
    BOOST_TEST(evaluationsInTenSeconds(20) == 200U);
    BOOST_TEST(evaluationsInTenSeconds(300) <= 20U);
}
