#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/config/configuration.h"
#include "papayastep/health/attempt.h"
#include "papayastep/health/healthsettings.h"
#include "papayastep/health/messages.h"
#include "papayastep/health/serverview.h"
#include "papayastep/wire/message.h"

#include <memory>
#include <string_view>
#include <vector>

namespace papayastep::health {

/// Identity of the node that a HealthMonitor works for.
struct NodeIdentity
{
    base::VmId vm;
    base::Incarnation incarnation = 0;

    auto operator<=>(const NodeIdentity &) const = default;
};

/// Makes all health decisions of one node: about its own backend servers (from evidence beside the server), about
/// servers elsewhere (from reports of siblings and answers, and from the hops of this entry node), and about the paths
/// to them.
///
/// It takes events and returns views, events and messages. It is not thread-safe, does no input or output, and reads
/// only `clock`. Every method first checks whether the process was paused, so the order of calls after a pause does not
/// matter.
class HealthMonitor
{
public:
    HealthMonitor(const NodeIdentity &self,
                  const base::Clock &clock,
                  std::uint64_t seed,
                  const HealthSettings &settings = {});
    ~HealthMonitor();
    HealthMonitor(const HealthMonitor &) = delete;
    HealthMonitor &operator=(const HealthMonitor &) = delete;

    /// Keeps the evidence about servers that remain configured. New servers start in the state Warming.
    void applyConfiguration(const config::ConfigurationPtr &configuration);
    /// The list lags behind, so it only adds leaving VMs. It never restores a VM that has announced that it leaves.
    void applyVmList(const config::VmList &list);
    /// Gives `vm` no new work from now on. If it is the own VM, the siblings are notified at once.
    void setLeaving(const base::VmId &vm);
    /// Sets whether a backend server of this VM has announced its end. While it has, it counts as draining, here and at
    /// its siblings.
    void setAnnouncedEnd(const base::BackendServerId &server, bool announced);

    // Evidence of the serving node about its own backend servers. Events about other servers are ignored.

    /// Whether an attempt may go to the backend server now. Call it once before each attemptStarted().
    Admission admission(const base::BackendServerId &server) const;
    void attemptStarted(const base::BackendServerId &server, const AttemptKey &key, const base::RouteId &route = {});
    /// `latency` is the time from the first byte sent to the last byte received.
    void attemptFinished(const base::BackendServerId &server,
                         const AttemptKey &key,
                         AttemptOutcome outcome,
                         base::Duration latency);
    /// Sets the number of requests that wait for a slot at this node.
    void setQueueLength(const base::BackendServerId &server, int length);
    /// Records the result of a health endpoint probe. A failed probe lowers the evidence that an ejection needs a
    /// little; probes alone never eject or return a server.
    void probeFinished(const base::BackendServerId &server, bool good);

    // Evidence of the entry node about its hops. An attempt at the own VM needs none of these calls.

    void hopSent(const base::VmId &vm, const base::BackendServerId &server, const AttemptKey &key);
    void hopAcknowledged(const base::VmId &vm, const AttemptKey &key);
    /// Records the end of a hop. `latency` is the time since hopSent().
    void hopEnded(const base::VmId &vm, const AttemptKey &key, HopOutcome outcome, base::Duration latency);

    /// The report to attach to the answer of a hop.
    ServerReport report(const base::BackendServerId &server) const;
    /// Applies a report that arrived with an answer of `from`.
    void applyReport(const base::VmId &from, const ServerReport &report);

    /// Handles a health message. Malformed and late messages, and those of VMs that are no siblings, are counted and
    /// ignored.
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload);
    std::vector<wire::Outgoing> takeMessages();

    /// Does the periodic work. Call it at nextTick() at the latest; calling it earlier is harmless.
    void tick();
    base::TimePoint nextTick() const;

    ServerView view(const base::BackendServerId &server) const;
    /// The median of the latencies that the nodes of the servers of `service` report; 0 if it is not known.
    base::Duration usualLatency(const base::ServiceId &service) const;
    /// Servers of this VM whose health endpoint is to be probed now, because there is no traffic to observe.
    std::vector<base::BackendServerId> serversToProbe() const;
    std::vector<HealthEvent> takeEvents();
    const HealthCounters &counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
