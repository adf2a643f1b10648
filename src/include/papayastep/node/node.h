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

/// The life of a node, as src/node/node.json draws it.
enum class NodeState { Starting, Serving, Draining, Stopped };
enum class NodeEvent { Configured, StopRequested, Drained, DrainTimedOut };

/// A whole node: joins the deciding packages with sockets and timers. One thread.
class Node
{
public:
    /// Listens at once. Throws Error (2004, 7001).
    Node(net::asio::io_context &io,
         const base::Clock &clock,
         SettingsReloader settingsReloader,
         NodeSettings settings,
         Interfaces interfaces,
         base::LogOutput &log,
         std::uint64_t seed);
    ~Node();

    /// Begins a planned stop: announces it, refuses new requests, finishes those in flight, hands over, then stops
    /// the context.
    void requestStop();

    /// Takes over the settings file if it has changed, as far as a running process can, and logs that it was asked to.
    /// A changed file is also found without being asked, within seconds.
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
    void applyRetryLimit();
    void startBuild();
    void applyConfiguration(const membership::AcceptedConfiguration &accepted);
    void activateConfiguration();
    void applyVmList();
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

    base::LogOutput &m_log;
    SettingsReloader m_settingsReloader;
    NodeContext m_context;
    membership::VmDirectory m_vmDirectory;
    routing::ProcessTable m_processes;
    membership::ConfigDistributor m_spread;
    membership::ServerDirectory m_serverDirectory; ///< Empty without a source of servers.
    membership::VmListBuilder m_roster;
    ConfigurationFetcher m_configurationFetcher;
    std::unique_ptr<DirectoryUpdater> m_directoryUpdater; ///< Null: backend servers stand in the configuration.
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
    std::unique_ptr<net::HttpServer> m_readyServer; ///< Null: asked at the admin endpoint only.
    config::ConfigurationPtr m_published; ///< The revision in force without the servers of the directory.
    net::Signal m_tickSignal;
    base::TimePoint m_scheduledTick;
    base::TimePoint m_nextSweep;
    base::TimePoint m_readyDeadline; ///< Even without its shares: a dead VM that is still listed can keep them from it.
    base::StateMachine<NodeState, NodeEvent> m_stateMachine;
    /// Parses and checks new revisions: at the planned size that takes more than a second, in which the node's own
    /// thread would answer nobody.
    net::asio::thread_pool m_builder{1};
    std::shared_ptr<const routing::RouteTable> m_builtRoutes; ///< Of the newest build.
    bool m_pumpScheduled = false;
    bool m_stopped = false;
};

}
