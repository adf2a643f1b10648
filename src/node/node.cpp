#include "papayastep/node/node.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/task.h"

#include <algorithm>
#include <malloc.h>

namespace papayastep::embedded {
extern const std::string_view nodeChart;
}

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "node";
constexpr base::Duration longestTick = std::chrono::milliseconds(500);
constexpr base::Duration shortestTick = std::chrono::milliseconds(1);
constexpr base::Duration longestSettling = std::chrono::seconds(12);
constexpr base::Duration sweepEvery = std::chrono::seconds(5);
constexpr base::Duration drainPoll = std::chrono::milliseconds(20);
/// For writing the answers to requests that are still open when a planned stop runs out of patience.
constexpr base::Duration lastAnswers = std::chrono::milliseconds(200);

// After an outage a change must be in force some five seconds later; nodes that ask once a second at least see it in
// time.
constexpr base::Duration longestBackoff = std::chrono::milliseconds(1000);

// Parts of the file descriptors of the process. Callers that open connections without end must not keep the node from
// opening its own: its hops would fail, and healthy servers and paths be taken for sick.
constexpr double callerShare = 0.5;
constexpr double hopShare = 0.25;

net::ServerLimits limitsWithin(double share, net::ServerLimits limits)
{
    limits.connections = net::connectionsWithin(share, limits.connections);
    return limits;
}

std::shared_ptr<const base::StateChart> nodeChart()
{
    return base::StateChart::parse(embedded::nodeChart,
                                   {"starting", "serving", "draining", "stopped"},
                                   {"configured", "stop-requested", "drained", "patience-ended"});
}

membership::SpreadSettings spreadSettings(bool hasDirectory)
{
    membership::SpreadSettings settings;
    settings.buildElsewhere = true;
    if (hasDirectory) {
        // The watch of the directory tells of a new revision too, so no node needs a second watch for it.
        settings.readersPerZone = 0;
        settings.filesComeWithListing = true;
        settings.longestBackoff = longestBackoff;
    }
    return settings;
}

config::VmEntry ownEntry(const NodeSettings &settings)
{
    config::VmEntry entry;
    entry.id = settings.vm;
    entry.zone = settings.zone;
    entry.address = settings.hop.address;
    entry.callerPort = settings.caller.port;
    entry.hopPort = settings.hop.port;
    entry.peerPort = settings.peer.port;
    entry.adminPort = settings.admin.port;
    return entry;
}

membership::FleetPorts fleetPorts(const NodeSettings &settings)
{
    return {settings.caller.port, settings.hop.port, settings.peer.port, settings.admin.port};
}

struct Built
{
    membership::BuildResult result;
    std::shared_ptr<const routing::RouteTable> routes;
};

/// Runs in the builder's thread, out of which any exception ends the process. A revision that can't be built for
/// whatever reason is rejected instead, and the one in force stays.
Built buildAll(const membership::Build &build) noexcept
{
    try {
        Built built;
        built.result = membership::runBuild(build);
        if (built.result.configuration) {
            built.routes = std::make_shared<routing::RouteTable>(built.result.configuration);
        }
        return built;
    } catch (const std::exception &error) {
        return {{nullptr, error.what()}, nullptr};
    }
}

bool isBetween(wire::MessageKind kind, int first, int last)
{
    const int number = static_cast<int>(kind);
    return number >= first && number <= last;
}

}

Node::Node(net::asio::io_context &io,
           const base::Clock &clock,
           SettingsKeeper settingsKeeper,
           NodeSettings settings,
           Interfaces interfaces,
           base::LogOutput &log,
           std::uint64_t seed)
    : m_log(log)
    , m_settingsKeeper(std::move(settingsKeeper))
    , m_context(io, clock, std::move(settings), std::move(interfaces), seed)
    , m_directory(clock)
    , m_processes(clock)
    , m_spread({m_context.settings.vm, m_context.settings.zone, m_context.incarnation},
               m_directory,
               clock,
               seed + 1,
               spreadSettings(m_context.interfaces.servers != nullptr))
    , m_servers(clock)
    , m_roster(clock, ownEntry(m_context.settings), fleetPorts(m_context.settings))
    , m_keeper(m_context, m_spread, *m_context.interfaces.platform)
    , m_serving(m_context)
    , m_prober(m_context)
    , m_entry(m_context, m_serving)
    , m_hop(m_context, m_serving)
    , m_peers(m_context, [this](const wire::Envelope &envelope) { dispatch(envelope); })
    , m_callerServer(io, m_context.settings.caller, limitsWithin(callerShare, m_context.settings.limits), m_entry)
    , m_hopServer(io, m_context.settings.hop, limitsWithin(hopShare, m_context.settings.limits), m_hop)
    , m_adminServer(io, m_context.settings.admin, {}, m_admin)
    , m_tickSignal(io)
    , m_readyAtLatest(clock.now() + longestSettling)
    , m_life(nodeChart())
{
    m_context.schedulePump = [this] { schedulePump(); };
    m_context.isLeaving = [this](const base::VmId &vm) { return m_directory.isLeaving(vm); };
    m_context.send = [this](const wire::Outgoing &message) { m_peers.send(message); };
    addAdminPages();
    if (m_context.settings.ready) {
        m_readyServer
            = std::make_unique<net::HttpServer>(io, *m_context.settings.ready, m_context.settings.limits, m_ready);
    }
    if (m_context.interfaces.servers) {
        m_directoryKeeper = std::make_unique<DirectoryKeeper>(m_context, m_servers, *m_context.interfaces.servers);
        m_directoryKeeper->start([this](base::Revision published, bool changed) {
            m_spread.platformHolds(published);
            m_keeper.wake();
            if (changed) {
                applyDirectory();
            }
        });
        m_keeper.startConfiguration();
    } else {
        m_keeper.start();
    }
    m_prober.start();
    net::spawnDuty(io, "tick", [this] { return tickLoop(); });
    PAPAYASTEP_LOG(INFO, logPrefix) << "Started." << base::field("vm", m_context.settings.vm)
                                    << base::field("zone", m_context.settings.zone)
                                    << base::field("incarnation", m_context.incarnation)
                                    << base::field("caller", net::toString(m_context.settings.caller))
                                    << base::field("admin", net::toString(m_context.settings.admin));
}

Node::~Node()
{
    m_builder.join();
}

void Node::requestStop()
{
    if (!m_life.handle(NodeEvent::StopRequested)) {
        return;
    }
    PAPAYASTEP_LOG(INFO, logPrefix) << "Draining for a planned stop." << base::field("open", m_entry.open())
                                    << base::field("serving", m_serving.inFlight());
    net::spawnTask(m_context.io, "drain", [this] { return drain(); });
}

// Decisions and messages pile up in the packages while events come in; one pump after a burst of events takes them all.
void Node::pump()
{
    m_pumpScheduled = false;
    m_serving.poll();
    sendAll(m_context.tokens.takeMessages());
    for (const limits::AdmissionDecision &decision : m_context.tokens.takeDecisions()) {
        m_entry.deliver(decision);
    }
    sendAll(m_context.ledgerHome.takeMessages());
    sendAll(m_context.ledgerClient.takeMessages());
    for (const routing::LedgerDecision &decision : m_context.ledgerClient.takeDecisions()) {
        m_entry.deliver(decision);
    }
    for (const base::RequestId &recorded : m_context.ledgerClient.takeRecorded()) {
        m_entry.deliver(recorded);
    }
    sendAll(m_context.health.takeMessages());
    countHealthEvents();
    if (m_spread.takeVmListChanged()) {
        applyVmList();
    }
    startBuild();
    while (const auto accepted = m_spread.takeAccepted()) {
        applyConfiguration(*accepted);
    }
    sendAll(m_spread.takeMessages());
    if (nextTick() < m_armedTick) {
        m_tickSignal.notify();
    }
    m_log.flush();
}

void Node::schedulePump()
{
    if (!m_pumpScheduled) {
        m_pumpScheduled = true;
        net::asio::post(m_context.io, [this] { pump(); });
    }
}

void Node::dispatch(const wire::Envelope &envelope)
{
    m_processes.noteHeard(envelope.sender, envelope.incarnation);
    const bool stranger = !m_directory.isListed(envelope.sender);
    if (!stranger) {
        m_directory.noteHeard(envelope.sender, envelope.incarnation);
        m_spread.noteRevision(envelope.sender, envelope.revision);
    }
    if (isBetween(envelope.kind, 10, 19)) {
        m_context.tokens.receive(envelope.sender, envelope.incarnation, envelope.kind, envelope.payload);
    } else if (envelope.kind == wire::MessageKind::GrayNotice) {
        const auto notice = wire::decode<health::GrayNotice>(envelope.payload);
        m_context.gray.update(base::BackendServerId(notice.serverId), std::min<int>(notice.percent, 100) / 100.0);
    } else if (isBetween(envelope.kind, 20, 29)) {
        m_context.health.receive(envelope.sender, envelope.incarnation, envelope.kind, envelope.payload);
    } else if (envelope.kind == wire::MessageKind::DirectoryNews) {
        if (m_directoryKeeper) {
            m_directoryKeeper->receive(wire::decode<membership::DirectoryNews>(envelope.payload));
        }
    } else if (isBetween(envelope.kind, 30, 39)) {
        m_spread.receive(envelope.sender, envelope.kind, envelope.payload);
        m_keeper.wake();
    } else if (envelope.kind == wire::MessageKind::SlotAsk) {
        const wire::SlotOffer offer = m_serving.offerFor(wire::decode<wire::SlotAsk>(envelope.payload));
        m_peers.send(wire::outgoing(envelope.sender, wire::MessageKind::SlotOffer, offer));
    } else if (envelope.kind == wire::MessageKind::SlotOffer) {
        if (m_context.silence.noteHeard(envelope.sender)) {
            PAPAYASTEP_LOG(INFO, "health") << "A node answers again." << base::field("vm", envelope.sender);
        }
        m_entry.deliver(wire::decode<wire::SlotOffer>(envelope.payload));
    } else if (isBetween(envelope.kind, 40, 49)) {
        handleCancel(envelope);
    } else if (envelope.kind == wire::MessageKind::LedgerClaimResult
               || envelope.kind == wire::MessageKind::LedgerCompleteResult) {
        m_context.ledgerClient.receive(envelope.sender, envelope.kind, envelope.payload);
    } else if (isBetween(envelope.kind, 50, 59)) {
        m_context.ledgerHome.receive(envelope.sender, envelope.kind, envelope.payload);
    } else {
        throw base::Error(base::ResultCode::MessageUnknownKind, std::to_string(static_cast<int>(envelope.kind)));
    }
    schedulePump();
}

void Node::handleCancel(const wire::Envelope &envelope)
{
    if (envelope.kind == wire::MessageKind::CancelResult) {
        const auto result = wire::decode<wire::CancelResult>(envelope.payload);
        m_entry.deliver(result, [&](routing::CancelAnswer answer, base::TimePoint sentAt) {
            return m_processes.proven(envelope.sender, envelope.incarnation, answer, sentAt);
        });
        return;
    }
    const auto cancel = wire::decode<wire::CancelAttempt>(envelope.payload);
    const routing::SentStamp stamp{envelope.sender, envelope.incarnation, base::Duration(cancel.sent)};
    wire::CancelResult result;
    result.requestHigh = cancel.requestHigh;
    result.requestLow = cancel.requestLow;
    result.attempt = cancel.attempt;
    result.answer = static_cast<std::uint8_t>(m_serving.cancel(cancel, stamp));
    m_peers.send(wire::outgoing(envelope.sender, wire::MessageKind::CancelResult, result));
}

void Node::sendAll(const std::vector<wire::Outgoing> &messages)
{
    for (const wire::Outgoing &message : messages) {
        m_peers.send(message);
    }
}

void Node::countHealthEvents()
{
    for (const health::HealthEvent &event : m_context.health.takeEvents()) {
        m_context.metrics.countHealthEvent(health::name(event.kind));
    }
}

void Node::startBuild()
{
    auto build = m_spread.takeBuild();
    if (!build) {
        return;
    }
    net::asio::post(m_builder, [this, build = std::move(*build)]() mutable {
        Built built = buildAll(build);
        net::asio::post(m_context.io, [this, build = std::move(build), built = std::move(built)]() mutable {
            m_builtRoutes = built.routes;
            m_spread.finishBuild(std::move(build), built.result);
            schedulePump();
        });
    });
}

void Node::applyConfiguration(const membership::Accepted &accepted)
{
    m_published = accepted.configuration;
    m_context.inForce.routes = m_builtRoutes;
    putInForce();
    applyCallerLimits();
    PAPAYASTEP_LOG(INFO, "config") << "Put a configuration in force."
                                   << base::field("revision", m_published->revision())
                                   << base::field("source", accepted.source)
                                   << base::field("workspaces", m_published->workspaces().size())
                                   << base::field("routes", m_published->routes().size());
    // A build takes some three times the memory of its result and frees it in small pieces, which the allocator keeps:
    // a node of the planned size then shows 92 MB for a configuration of 30 MB. So it is told to give them back.
    net::asio::post(m_builder, [] { malloc_trim(0); });
}

/// The published configuration with the backend servers of the directory, if there is one.
void Node::putInForce()
{
    config::ConfigurationPtr configuration = m_published;
    if (m_directoryKeeper) {
        configuration = m_published->withBackendServers(m_servers.servers());
    }
    m_context.inForce.configuration = configuration;
    m_context.tokens.applyConfiguration(configuration);
    m_context.health.applyConfiguration(configuration);
    if (m_context.callers().hasIdempotencyKeys()) {
        m_context.ledgerClient.applyConfiguration(configuration);
        m_context.ledgerHome.applyConfiguration(configuration);
    }
    m_serving.applyConfiguration();
    if (!m_directoryKeeper || m_servers.isKnown()) {
        m_life.handle(NodeEvent::Configured);
    }
    schedulePump();
}

void Node::applyCallerLimits()
{
    const config::CallerLimits &wanted = m_published->limits();
    net::ServerLimits limits = m_context.settings.limits;
    limits.headerBytes = wanted.headerBytes.value_or(limits.headerBytes);
    limits.bodyBytes = wanted.bodyBytes.value_or(limits.bodyBytes);
    limits.headerTimeout = wanted.headerTimeout.value_or(limits.headerTimeout);
    limits.idleTimeout = wanted.idleTimeout.value_or(limits.idleTimeout);
    m_callerServer.setLimits(limitsWithin(callerShare, limits));
    limits.idleTimeout = m_context.settings.limits.idleTimeout;
    m_hopServer.setLimits(limitsWithin(hopShare, limits));
}

void Node::applyDirectory()
{
    m_spread.localVmList(m_roster.update(m_servers.version(), m_servers.servers()));
    m_context.tokens.applyVmList(m_context.vms, m_directoryKeeper->askedAt());
    if (m_published) {
        putInForce();
    }
    schedulePump();
}

void Node::applyVmList()
{
    m_context.vms = m_directory.list();
    if (m_directoryKeeper) {
        m_directoryKeeper->applyVms(m_directory.present());
    }
    applyRetryLimit();
    m_context.tokens.applyVmList(m_context.vms,
                                 m_directoryKeeper ? m_directoryKeeper->askedAt() : m_keeper.vmListAskedAt());
    m_context.health.applyVmList(m_context.vms);
    if (m_context.callers().hasIdempotencyKeys()) {
        m_context.ledgerHome.applyVmList(m_context.vms);
    }
    PAPAYASTEP_LOG(INFO, "membership") << "Took a VM list." << base::field("version", m_context.vms.version)
                                       << base::field("vms", m_context.vms.vms.size());
    m_keeper.wake();
    schedulePump();
}

void Node::applyRetryLimit()
{
    if (m_context.settings.retryLimit) {
        m_context.retryBudget.setSettings(routing::partOf(*m_context.settings.retryLimit, m_context.vms.vms.size()));
    }
}

// The line stands for every request, also where nothing has changed: whoever sees a process end at the time of a reload
// must be able to tell whether the signal reached it.
void Node::requestReload()
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Asked to reload." << base::field("open", m_entry.open())
                                    << base::field("serving", m_serving.inFlight());
    rereadSettings();
}

void Node::rereadSettings()
{
    try {
        const auto fresh = m_settingsKeeper.changed();
        if (!fresh) {
            return;
        }
        const std::string waiting = changedForNextStart(m_context.settings, *fresh);
        m_context.settings = takenOver(m_context.settings, *fresh);
        applyRetryLimit();
        if (m_published) {
            applyCallerLimits();
        }
        m_context.metrics.countReload("taken");
        PAPAYASTEP_LOG(INFO, logPrefix) << "Took over changed settings." << base::field("atNextStart", waiting);
    } catch (const base::Error &error) {
        m_context.metrics.countReload("kept");
        PAPAYASTEP_LOG(ERROR, logPrefix) << "Kept the settings; the changed file is wrong."
                                         << base::field("code", number(error.code()))
                                         << base::field("detail", error.what());
    }
}

void Node::logFoldedRefusals()
{
    for (const RefusalSummary &summary : m_context.refusals.takeSummaries()) {
        PAPAYASTEP_LOG(WARNING, "routing")
            << "Refused more requests." << base::field("code", number(summary.code))
            << base::field("count", summary.count) << base::field("requests", summary.requests);
    }
}

// Each part by itself: one that fails at every tick would otherwise keep the parts after it from ever having theirs,
// and leases or tokens would run out for no reason of their own.
void Node::tick()
{
    const auto step = [this](const char *part, const auto &run) { net::runStep(m_context.io, part, run); };
    step("tokens", [this] { m_context.tokens.tick(); });
    step("health", [this] { m_context.health.tick(); });
    step("ledger-client", [this] { m_context.ledgerClient.tick(); });
    step("ledger-home", [this] { m_context.ledgerHome.tick(); });
    step("spread", [this] { m_spread.tick(); });
    step("serving", [this] { m_serving.tick(); });
    step("directory", [this] { tickDirectory(); });
    step("refusals", [this] { logFoldedRefusals(); });
    const auto now = m_context.clock.now();
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepEvery;
        step("sweep", [this] { sweep(); });
    }
}

void Node::tickDirectory()
{
    if (m_servers.tick()) {
        applyDirectory();
    }
    if (m_directoryKeeper) {
        m_directoryKeeper->sendNews();
    }
}

void Node::sweep()
{
    rereadSettings();
    m_context.retryBudget.tick();
    m_context.gray.expire();
    m_context.idle.expire();
    m_context.hopPool.sweep();
    m_context.backendPool.sweep();
    m_peers.sweep();
}

base::TimePoint Node::nextTick()
{
    const auto now = m_context.clock.now();
    auto next = now + longestTick;
    next = std::min(next, m_context.tokens.nextTick().value_or(next));
    next = std::min(next, m_context.health.nextTick());
    next = std::min(next, m_context.ledgerClient.nextTick());
    next = std::min(next, m_context.ledgerHome.nextTick());
    next = std::min(next, m_spread.nextTick());
    next = std::min(next, m_serving.nextTick().value_or(next));
    next = std::min(next, m_servers.nextTick().value_or(next));
    if (m_directoryKeeper) {
        next = std::min(next, m_directoryKeeper->nextTick().value_or(next));
    }
    return std::max(next, now + shortestTick);
}

net::Awaitable<void> Node::tickLoop()
{
    while (!m_stopped) {
        m_armedTick = nextTick();
        co_await m_tickSignal.waitUntil(m_armedTick);
        tick();
        net::runStep(m_context.io, "pump", [this] { pump(); });
    }
}

// The process must end whatever fails on the way: one that stays is killed at the end of its grace time, with the
// requests in flight.
net::Awaitable<void> Node::drain()
{
    try {
        co_await finishRequests();
    } catch (...) {
        net::taskFaults(m_context.io).note("drain", std::current_exception());
    }
    net::runStep(m_context.io, "stop", [this] { endDuties(); });
    m_context.io.stop();
}

net::Awaitable<void> Node::finishRequests()
{
    m_context.stopping = true;
    net::runStep(m_context.io, "announce", [this] {
        m_context.health.setLeaving(m_context.settings.vm);
        m_spread.announceLeaving();
        schedulePump();
    });

    net::asio::steady_timer timer(m_context.io);
    net::beast::error_code ignored;
    m_callerServer.closeAfterAnswers();
    timer.expires_after(m_context.settings.announceFirst);
    co_await timer.async_wait(net::into(ignored));

    m_context.draining = true;
    m_callerServer.stop();
    net::runStep(m_context.io, "hand-over", [this] {
        m_context.tokens.drain();
        m_context.ledgerHome.beginHandOver();
        schedulePump();
    });

    const auto patience = m_context.clock.now() + m_context.settings.drainTimeout;
    while (!isIdle() && m_context.clock.now() < patience) {
        timer.expires_after(drainPoll);
        co_await timer.async_wait(net::into(ignored));
        tick();
        net::runStep(m_context.io, "pump", [this] { pump(); });
    }
    co_await answerOpenRequests();
}

/// Callers whose requests are still open when patience ends are told that the outcome is unknown. A connection that
/// closes without an answer would not tell them whether to ask again.
net::Awaitable<void> Node::answerOpenRequests()
{
    if (m_entry.open() == 0) {
        co_return;
    }
    m_entry.expireAll();
    net::asio::steady_timer timer(m_context.io);
    net::beast::error_code ignored;
    const auto patience = m_context.clock.now() + lastAnswers;
    while (m_callerServer.inFlight() > 0 && m_context.clock.now() < patience) {
        timer.expires_after(drainPoll);
        co_await timer.async_wait(net::into(ignored));
    }
}

void Node::endDuties()
{
    m_hopServer.stop();
    m_life.handle(isIdle() ? NodeEvent::Drained : NodeEvent::PatienceEnded);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Stopped." << base::field("open", m_entry.open())
                                    << base::field("serving", m_serving.inFlight());
    m_stopped = true;
    m_keeper.stop();
    if (m_directoryKeeper) {
        m_directoryKeeper->stop();
    }
}

bool Node::isIdle() const
{
    const bool requestsDone
        = m_callerServer.inFlight() == 0 && m_hopServer.inFlight() == 0 && m_serving.inFlight() == 0;
    return requestsDone && m_context.ledgerClient.size() == 0 && m_context.ledgerHome.handOverDone();
}

}
