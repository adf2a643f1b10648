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

/// The node that a monitor works for.
struct NodeIdentity
{
    base::VmId vm;
    base::Incarnation incarnation = 0;

    auto operator<=>(const NodeIdentity &) const = default;
};

/// All of the health decisions of one node: about its own backend servers (evidence beside the server), about
/// servers elsewhere (what siblings and answers tell, and what this entry sees), and about the paths to them.
///
/// Takes events, answers with views, events and messages. Not thread-safe; opens nothing, reads only `clock`.
/// Every method first checks whether the process was paused, so the order of calls after a pause does not matter.
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

    /// Evidence about servers that stay is kept; new servers start warming.
    void applyConfiguration(const config::ConfigurationPtr &configuration);
    /// The list lags: it only adds leaving VMs, it never brings back one that said itself that it leaves.
    void applyVmList(const config::VmList &list);
    /// `vm` gets no new work from now on. For the own VM, the siblings are told at once.
    void setLeaving(const base::VmId &vm);

    // Evidence of the serving node about its own backend servers. Others are ignored.

    /// Whether an attempt may go to the backend server now. Ask once before each attemptStarted().
    Admission admission(const base::BackendServerId &server) const;
    void attemptStarted(const base::BackendServerId &server, const AttemptKey &key, const base::RouteId &route = {});
    /// `latency` from the first byte sent to the last byte received.
    void attemptFinished(const base::BackendServerId &server,
                         const AttemptKey &key,
                         AttemptOutcome outcome,
                         base::Duration latency);
    /// Requests that wait for a slot at this node.
    void setQueueLength(const base::BackendServerId &server, int length);
    /// What the health endpoint said. A hint: shortens the way to an ejection a little, never ejects or returns.
    void probeFinished(const base::BackendServerId &server, bool good);

    // Evidence of the entry about its hops. An attempt at the own VM needs none of these.

    void hopSent(const base::VmId &vm, const base::BackendServerId &server, const AttemptKey &key);
    void hopAcknowledged(const base::VmId &vm, const AttemptKey &key);
    /// The last word about a hop. `latency` since hopSent().
    void hopEnded(const base::VmId &vm, const AttemptKey &key, HopOutcome outcome, base::Duration latency);

    /// The report to put on the answer of a hop.
    ServerReport report(const base::BackendServerId &server) const;
    /// A report that came with an answer of `from`.
    void applyReport(const base::VmId &from, const ServerReport &report);

    /// A message of the range of this package; malformed, late and foreign ones are counted and ignored.
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload);
    std::vector<wire::Outgoing> takeMessages();

    /// Does what is due. Call it at nextTick() at the latest; earlier does no harm.
    void tick();
    base::TimePoint nextTick() const;

    ServerView view(const base::BackendServerId &server) const;
    /// The median of what the servers of `service` take, as their nodes tell; 0: not known.
    base::Duration usualLatency(const base::ServiceId &service) const;
    /// Servers of this VM whose health endpoint is worth asking now, because no traffic tells.
    std::vector<base::BackendServerId> serversToProbe() const;
    std::vector<HealthEvent> takeEvents();
    const HealthCounters &counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
