#pragma once

#include "papayastep/base/statechart.h"
#include "papayastep/node/adminhandler.h"
#include "papayastep/node/configurationkeeper.h"
#include "papayastep/node/entryhandler.h"
#include "papayastep/node/hophandler.h"
#include "papayastep/node/peerlink.h"
#include "papayastep/node/prober.h"
#include "papayastep/node/servingnode.h"

#include <boost/asio/thread_pool.hpp>

#include <memory>

namespace papayastep::node {

/// The life of a node, as src/node/node.json draws it.
enum class NodeState { Starting, Serving, Draining, Stopped };
enum class NodeEvent { Configured, StopRequested, Drained, PatienceEnded };

/// A whole node: joins the deciding packages with sockets and timers. One thread.
class Node
{
public:
    /// Listens at once. Throws Error (2004, 7001).
    Node(net::asio::io_context &io, const base::Clock &clock, NodeSettings settings, std::uint64_t seed);
    ~Node();

    /// Begins a planned stop: announces it, refuses new requests, finishes those in flight, hands over, then stops
    /// the context.
    void requestStop();

private:
    void pump();
    void schedulePump();
    void dispatch(const wire::Envelope &envelope);
    void handleCancel(const wire::Envelope &envelope);
    void sendAll(const std::vector<wire::Outgoing> &messages);
    void logHealthEvents();
    void startBuild();
    void applyConfiguration(const membership::Accepted &accepted);
    void applyVmList();
    void tick();
    base::TimePoint nextTick() const;
    net::Awaitable<void> tickLoop();
    net::Awaitable<void> drain();
    bool isIdle() const;

    void addAdminPages();
    net::WholeAnswer readyPage() const;
    net::WholeAnswer statusPage(const AdminHandler::Query &query) const;
    net::WholeAnswer explainPage(const AdminHandler::Query &query);
    net::WholeAnswer metricsPage();
    void collectMetrics();

    NodeContext m_context;
    membership::VmDirectory m_directory;
    membership::ConfigSpread m_spread;
    net::HttpPlatformClient m_platform;
    ConfigurationKeeper m_keeper;
    ServingNode m_serving;
    Prober m_prober;
    EntryHandler m_entry;
    HopHandler m_hop;
    AdminHandler m_admin;
    PeerLink m_peers;
    net::HttpServer m_callerServer;
    net::HttpServer m_hopServer;
    net::HttpServer m_adminServer;
    net::Signal m_tickSignal;
    base::TimePoint m_armedTick;
    base::TimePoint m_nextSweep;
    base::TimePoint m_readyAtLatest; ///< Even without its shares: a dead VM that is still listed can keep them from it.
    base::StateMachine<NodeState, NodeEvent> m_life;
    /// Parses and checks new revisions: at the planned size that takes more than a second, in which the node's own
    /// thread would answer nobody.
    net::asio::thread_pool m_builder{1};
    std::shared_ptr<const routing::RouteTable> m_builtRoutes; ///< Of the newest build.
    bool m_pumpScheduled = false;
    bool m_stopped = false;
};

}
