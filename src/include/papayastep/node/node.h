#pragma once

#include "papayastep/base/logoutput.h"
#include "papayastep/base/statechart.h"
#include "papayastep/membership/vmlistbuilder.h"
#include "papayastep/node/adminhandler.h"
#include "papayastep/node/configurationfetcher.h"
#include "papayastep/node/directoryupdater.h"
#include "papayastep/node/entryhandler.h"
#include "papayastep/node/hophandler.h"
#include "papayastep/node/peermessenger.h"
#include "papayastep/node/prober.h"
#include "papayastep/node/servingnode.h"
#include "papayastep/node/settingsreloader.h"
#include "papayastep/routing/processtable.h"

#include <boost/asio/thread_pool.hpp>

#include <memory>

namespace papayastep::node {

/// The states of a node; src/node/node.json defines the state chart.
enum class NodeState { Starting, Serving, Draining, Stopped };
/// The events of the state chart.
enum class NodeEvent { Configured, StopRequested, Drained, DrainTimedOut };

/// A whole node: connects the packages that make the decisions with sockets and timers. It runs in one thread, except
/// for the building of configurations.
class Node
{
public:
    /// Starts to listen immediately. Throws Error (2004, 7001).
    Node(net::asio::io_context &io,
         const base::Clock &clock,
         SettingsReloader settingsReloader,
         NodeSettings settings,
         Interfaces interfaces,
         base::LogOutput &log,
         std::uint64_t seed);
    ~Node();

    /// Begins a planned stop: announces it, refuses new requests, finishes the requests in flight, hands over, then
    /// stops the I/O context.
    void requestStop();

    /// Logs the request and, if the settings file has changed, applies the settings that a running process can change.
    /// A changed file is also detected without a request, within seconds.
    void requestReload();

private:
    void pump();
    void schedulePump();
    void dispatch(const wire::Envelope &envelope);
    void handleCancel(const wire::Envelope &envelope);
    void sendAll(const std::vector<wire::Outgoing> &messages);
    void countHealthEvents();
    void reloadSettings();
    void logRefusalSummaries();
    void logTransfers();
    void startBuild();
    void applyConfiguration(const membership::AcceptedConfiguration &accepted);
    void activateConfiguration();
    void applyVmList();
    void buildVmList();
    void removeExpiredVms();
    void applyDirectory();
    void applyCallerLimits();
    void tick();
    void tickDirectory();
    void sweep();
    base::TimePoint nextTick();
    net::Awaitable<void> tickLoop();
    net::Awaitable<void> drainAndStop();
    net::Awaitable<void> finishRequests();
    net::Awaitable<void> answerOpenRequests();
    void stopTasks();
    bool isIdle() const;

    void addAdminPages();
    net::WholeAnswer readyPage() const;
    net::WholeAnswer statusPage(const AdminHandler::Query &query) const;
    net::WholeAnswer explainPage(const AdminHandler::Query &query);
    net::WholeAnswer metricsPage();
    void collectMetrics();
    void collectConfigurationMetrics();
    void collectTrafficMetrics();
    void collectDecisionMetrics();
    void collectSlotMetrics();
    void collectLocalServerMetrics();

    base::LogOutput &m_log;
    SettingsReloader m_settingsReloader;
    NodeContext m_context;
    membership::VmDirectory m_vmDirectory;
    routing::ProcessTable m_processes;
    membership::ConfigDistributor m_spread;
    membership::ServerDirectory m_serverDirectory; ///< Empty if there is no source of servers.
    membership::VmListBuilder m_roster;
    ConfigurationFetcher m_configurationFetcher;
    std::unique_ptr<DirectoryUpdater> m_directoryUpdater; ///< Null if the configuration lists the backend servers.
    ServingNode m_servingNode;
    Prober m_prober;
    EntryHandler m_entryHandler;
    HopHandler m_hopHandler;
    AdminHandler m_adminHandler;
    AdminHandler m_readyHandler;
    PeerMessenger m_peerMessenger;
    net::HttpServer m_callerServer;
    net::HttpServer m_hopServer;
    net::HttpServer m_adminServer;
    std::unique_ptr<net::HttpServer> m_readyServer; ///< Null if readiness is reported at the admin endpoint only.
    config::ConfigurationPtr m_published; ///< The active revision without the servers of the directory.
    net::Signal m_tickSignal;
    base::TimePoint m_scheduledTick;
    base::TimePoint m_nextSweep;
    /// Bytes exchanged with other zones, by purpose, at the last log line.
    std::array<std::uint64_t, transferPurposes> m_loggedTransfers{};
    base::TimePoint m_readyDeadline; ///< Time from which the node reports ready even without its shares, which a failed
                                     ///< VM that is still listed can withhold.
    base::StateMachine<NodeState, NodeEvent> m_stateMachine;
    /// Parses and checks new revisions in a thread of its own. At the planned size this takes more than a second,
    /// during which the main thread could not answer any request.
    net::asio::thread_pool m_builder{1};
    std::shared_ptr<const routing::RouteTable> m_builtRoutes; ///< Route table of the newest build.
    bool m_pumpScheduled = false;
    bool m_stopped = false;
};

}
