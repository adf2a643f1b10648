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
/// Longest time between two ticks.
constexpr base::Duration maxTickInterval = std::chrono::milliseconds(500);
/// Shortest time between two ticks.
constexpr base::Duration minTickInterval = std::chrono::milliseconds(1);
/// Longest time after the start for which a node waits for its shares before it reports ready.
constexpr base::Duration maxSettlingTime = std::chrono::seconds(12);
/// Interval of maintenance work such as expiring idle connections.
constexpr base::Duration sweepInterval = std::chrono::seconds(5);
/// Interval at which a planned stop checks whether the requests in flight have ended.
constexpr base::Duration drainPollInterval = std::chrono::milliseconds(20);
/// Time for sending the answers to requests that are still open at the drain timeout of a planned stop.
constexpr base::Duration finalAnswerTimeout = std::chrono::milliseconds(200);

// After an outage of the platform a change must become active within about five seconds. Nodes that ask at least once a
// second detect it in time.
constexpr base::Duration maxPlatformBackoff = std::chrono::milliseconds(1000);

// Shares of the file descriptors of the process. Callers that open more and more connections must not prevent the node
// from opening its own: its hops would fail, and healthy servers and paths would be classified as faulty.
constexpr double callerShare = 0.5;
constexpr double hopShare = 0.25;

net::ServerLimits limitsWithin(double share, net::ServerLimits limits)
{
    limits.connections = net::connectionsWithin(share, limits.connections);
    return limits;
}

/// Returns the limits of a listener other than that of the callers: nodes and operators do not pipeline.
net::ServerLimits withoutPipelining(net::ServerLimits limits)
{
    limits.pipelinedRequests = 1;
    return limits;
}

std::shared_ptr<const base::StateChart> nodeChart()
{
    return base::StateChart::parse(embedded::nodeChart,
                                   {"starting", "serving", "draining", "stopped"},
                                   {"configured", "stop-requested", "drained", "patience-ended"});
}

membership::DistributionSettings spreadSettings(const Interfaces &interfaces)
{
    membership::DistributionSettings settings;
    settings.buildInOtherThread = true;
    settings.invalidEntries = interfaces.invalidEntries;
    if (interfaces.servers) {
        // The watch of the directory also reports new revisions, so no node needs a second watch for them.
        settings.readersPerZone = 0;
        settings.listingIncludesFiles = true;
        settings.longestBackoff = maxPlatformBackoff;
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

/// The result of a build and the route table that belongs to it.
struct Built
{
    membership::BuildResult result;
    std::shared_ptr<const routing::RouteTable> routes;
};

/// Builds a configuration. It runs in the builder thread, where an uncaught exception would terminate the process. A
/// revision that can't be built for any reason is rejected instead, and the active revision stays.
Built buildAll(const membership::Build &build, config::InvalidEntries invalidEntries) noexcept
{
    try {
        Built built;
        built.result = membership::runBuild(build, invalidEntries);
        if (built.result.configuration) {
            built.routes = std::make_shared<routing::RouteTable>(built.result.configuration);
        }
        return built;
    } catch (const std::exception &error) {
        return {{nullptr, error.what(), {}}, nullptr};
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
           SettingsReloader settingsReloader,
           NodeSettings settings,
           Interfaces interfaces,
           base::LogOutput &log,
           std::uint64_t seed)
    : m_log(log)
    , m_settingsReloader(std::move(settingsReloader))
    , m_context(io, clock, std::move(settings), std::move(interfaces), seed)
    , m_vmDirectory(clock)
    , m_processes(clock)
    , m_spread({m_context.settings.vm, m_context.settings.zone, m_context.incarnation},
               m_vmDirectory,
               clock,
               seed + 1,
               spreadSettings(m_context.interfaces))
    , m_serverDirectory(clock)
    , m_roster(clock, ownEntry(m_context.settings), fleetPorts(m_context.settings))
    , m_configurationFetcher(m_context, m_spread, *m_context.interfaces.platform)
    , m_servingNode(m_context)
    , m_prober(m_context, m_servingNode)
    , m_entryHandler(m_context, m_servingNode)
    , m_hopHandler(m_context, m_servingNode)
    , m_peerMessenger(m_context, [this](const wire::Envelope &envelope) { dispatch(envelope); })
    , m_callerServer(
          io, m_context.settings.caller, limitsWithin(callerShare, m_context.settings.limits), m_entryHandler)
    , m_hopServer(io,
                  m_context.settings.hop,
                  limitsWithin(hopShare, withoutPipelining(m_context.settings.limits)),
                  m_hopHandler)
    , m_adminServer(io, m_context.settings.admin, {}, m_adminHandler)
    , m_tickSignal(io)
    , m_readyDeadline(clock.now() + maxSettlingTime)
    , m_stateMachine(nodeChart())
{
    m_context.schedulePump = [this] { schedulePump(); };
    m_context.isLeaving = [this](const base::VmId &vm) { return m_vmDirectory.isLeaving(vm); };
    m_context.send = [this](const wire::Outgoing &message) { m_peerMessenger.send(message); };
    addAdminPages();
    if (m_context.settings.ready) {
        m_readyServer = std::make_unique<net::HttpServer>(
            io, *m_context.settings.ready, withoutPipelining(m_context.settings.limits), m_readyHandler);
    }
    if (m_context.interfaces.servers) {
        m_directoryUpdater
            = std::make_unique<DirectoryUpdater>(m_context, m_serverDirectory, *m_context.interfaces.servers);
        m_directoryUpdater->start([this](base::Revision published, bool changed) {
            m_spread.notePlatformRevision(published);
            m_configurationFetcher.wake();
            if (changed) {
                applyDirectory();
            }
        });
        m_configurationFetcher.startConfigurationOnly();
    } else {
        m_configurationFetcher.start();
    }
    m_prober.start();
    net::spawnRestartingTask(io, "tick", [this] { return tickLoop(); });
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
    if (!m_stateMachine.handle(NodeEvent::StopRequested)) {
        return;
    }
    PAPAYASTEP_LOG(INFO, logPrefix) << "Draining for a planned stop."
                                    << base::field("open", m_entryHandler.openRequests())
                                    << base::field("serving", m_servingNode.inFlight());
    net::spawnTask(m_context.io, "drain", [this] { return drainAndStop(); });
}

// Decisions and messages accumulate in the packages while events are handled; a single run of the message pump after a
// burst of events processes all of them.
void Node::pump()
{
    m_pumpScheduled = false;
    m_servingNode.poll();
    m_prober.startDueProbes();
    sendAll(m_context.tokens.takeMessages());
    for (const limits::AdmissionDecision &decision : m_context.tokens.takeDecisions()) {
        m_entryHandler.deliver(decision);
    }
    sendAll(m_context.ledgerHome.takeMessages());
    sendAll(m_context.ledgerClient.takeMessages());
    for (const routing::LedgerDecision &decision : m_context.ledgerClient.takeDecisions()) {
        m_entryHandler.deliver(decision);
    }
    for (const base::RequestId &recorded : m_context.ledgerClient.takeRecorded()) {
        m_entryHandler.deliver(recorded);
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
    for (const base::VmId &silent : m_spread.takeSilentPeers()) {
        m_peerMessenger.reconnect(silent);
    }
    sendAll(m_spread.takeMessages());
    if (nextTick() < m_scheduledTick) {
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
    m_processes.recordMessage(envelope.sender, envelope.incarnation);
    const bool unlisted = !m_vmDirectory.isListed(envelope.sender);
    if (!unlisted) {
        m_vmDirectory.noteMessage(envelope.sender, envelope.incarnation);
        m_spread.notePeerRevision(envelope.sender, envelope.revision);
    }
    if (isBetween(envelope.kind, 10, 19)) {
        m_context.tokens.receive(envelope.sender, envelope.incarnation, envelope.kind, envelope.payload);
    } else if (envelope.kind == wire::MessageKind::GrayNotice) {
        const auto notice = wire::decode<health::GrayNotice>(envelope.payload);
        m_context.gray.update(base::BackendServerId(notice.serverId), std::min<int>(notice.percent, 100) / 100.0);
    } else if (isBetween(envelope.kind, 20, 29)) {
        m_context.health.receive(envelope.sender, envelope.incarnation, envelope.kind, envelope.payload);
    } else if (envelope.kind == wire::MessageKind::DirectoryNews) {
        if (m_directoryUpdater) {
            m_directoryUpdater->receive(wire::decode<membership::DirectoryNews>(envelope.payload));
        }
    } else if (isBetween(envelope.kind, 30, 39)) {
        m_spread.receive(envelope.sender, envelope.kind, envelope.payload);
        m_configurationFetcher.wake();
    } else if (envelope.kind == wire::MessageKind::SlotQuery) {
        const wire::SlotOffer offer = m_servingNode.offerFor(wire::decode<wire::SlotQuery>(envelope.payload));
        m_peerMessenger.send(wire::outgoing(envelope.sender, wire::MessageKind::SlotOffer, offer));
    } else if (envelope.kind == wire::MessageKind::SlotOffer) {
        if (m_context.silence.markResponsive(envelope.sender)) {
            PAPAYASTEP_LOG(INFO, "health") << "A node answers again." << base::field("vm", envelope.sender);
        }
        m_entryHandler.deliver(wire::decode<wire::SlotOffer>(envelope.payload));
    } else if (envelope.kind == wire::MessageKind::ServerEndNotice) {
        m_context.serverEnds.apply(wire::decode<routing::ServerEndNotice>(envelope.payload));
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
        m_entryHandler.deliver(result, [&](routing::CancelAnswer answer, base::TimePoint sentAt) {
            return m_processes.verifiedAnswer(envelope.sender, envelope.incarnation, answer, sentAt);
        });
        return;
    }
    const auto cancel = wire::decode<wire::CancelAttempt>(envelope.payload);
    const routing::SentStamp stamp{envelope.sender, envelope.incarnation, base::Duration(cancel.sent)};
    wire::CancelResult result;
    result.requestHigh = cancel.requestHigh;
    result.requestLow = cancel.requestLow;
    result.attempt = cancel.attempt;
    result.answer = static_cast<std::uint8_t>(m_servingNode.cancel(cancel, stamp));
    m_peerMessenger.send(wire::outgoing(envelope.sender, wire::MessageKind::CancelResult, result));
}

void Node::sendAll(const std::vector<wire::Outgoing> &messages)
{
    for (const wire::Outgoing &message : messages) {
        m_peerMessenger.send(message);
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
    const config::InvalidEntries invalidEntries = m_context.interfaces.invalidEntries;
    net::asio::post(m_builder, [this, invalidEntries, build = std::move(*build)]() mutable {
        Built built = buildAll(build, invalidEntries);
        net::asio::post(m_context.io, [this, build = std::move(build), built = std::move(built)]() mutable {
            m_builtRoutes = built.routes;
            m_spread.finishBuild(std::move(build), built.result);
            schedulePump();
        });
    });
}

void Node::applyConfiguration(const membership::AcceptedConfiguration &accepted)
{
    m_published = accepted.configuration;
    m_context.active.routes = m_builtRoutes;
    activateConfiguration();
    m_context.metrics.observeConfigurationDelay(accepted.delay);
    applyCallerLimits();
    PAPAYASTEP_LOG(INFO, "config") << "Activated a configuration." << base::field("revision", m_published->revision())
                                   << base::field("source", accepted.source)
                                   << base::field(
                                          "delayMs",
                                          std::chrono::duration_cast<std::chrono::milliseconds>(accepted.delay).count())
                                   << base::field("workspaces", m_published->workspaces().size())
                                   << base::field("routes", m_published->routes().size());
    // A build needs about three times the memory of its result and frees it in small pieces, which the allocator
    // retains: a node of the planned size then occupies 92 MB for a configuration of 30 MB. So the allocator is made to
    // return the free memory to the operating system.
    net::asio::post(m_builder, [] { malloc_trim(0); });
}

/// Activates the published configuration, with the backend servers of the directory if there is one.
void Node::activateConfiguration()
{
    config::ConfigurationPtr configuration = m_published;
    if (m_directoryUpdater) {
        configuration = m_published->withBackendServers(m_serverDirectory.servers());
    }
    m_context.active.configuration = configuration;
    m_context.tokens.applyConfiguration(configuration);
    m_context.health.applyConfiguration(configuration);
    if (m_context.callers().hasIdempotencyKeys()) {
        m_context.ledgerClient.applyConfiguration(configuration);
        m_context.ledgerHome.applyConfiguration(configuration);
    }
    m_servingNode.applyConfiguration();
    if (!m_directoryUpdater || m_serverDirectory.hasCompleteList()) {
        m_stateMachine.handle(NodeEvent::Configured);
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
    m_hopServer.setLimits(limitsWithin(hopShare, withoutPipelining(limits)));
}

void Node::buildVmList()
{
    m_spread.applyLocalVmList(m_roster.update(m_serverDirectory.version(), m_serverDirectory.servers()));
}

/// Without this, a VM whose server was the last to leave would stay in the list until the directory changes again.
void Node::removeExpiredVms()
{
    const auto expiry = m_roster.nextExpiry();
    if (expiry && m_context.clock.now() >= *expiry) {
        buildVmList();
        schedulePump();
    }
}

void Node::applyDirectory()
{
    buildVmList();
    m_context.tokens.applyVmList(m_context.vms, m_directoryUpdater->lastRequestedAt());
    if (m_published) {
        activateConfiguration();
    }
    schedulePump();
}

void Node::applyVmList()
{
    m_context.vms = m_vmDirectory.list();
    if (m_directoryUpdater) {
        m_directoryUpdater->applyVms(m_vmDirectory.activeVms());
    }
    m_context.tokens.applyVmList(m_context.vms,
                                 m_directoryUpdater ? m_directoryUpdater->lastRequestedAt()
                                                    : m_configurationFetcher.vmListRequestedAt());
    m_context.health.applyVmList(m_context.vms);
    if (m_context.callers().hasIdempotencyKeys()) {
        m_context.ledgerHome.applyVmList(m_context.vms);
    }
    PAPAYASTEP_LOG(INFO, "membership") << "Activated a VM list." << base::field("version", m_context.vms.version)
                                       << base::field("vms", m_context.vms.vms.size());
    m_configurationFetcher.wake();
    schedulePump();
}

// Every request is logged, even if nothing has changed: an operator who sees a process end at the time of a reload must
// be able to determine whether the signal reached it.
void Node::requestReload()
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Asked to reload." << base::field("open", m_entryHandler.openRequests())
                                    << base::field("serving", m_servingNode.inFlight());
    reloadSettings();
}

void Node::reloadSettings()
{
    try {
        const auto fresh = m_settingsReloader.reloadIfChanged();
        if (!fresh) {
            return;
        }
        const std::string needRestart = settingsNeedingRestart(m_context.settings, *fresh);
        m_context.settings = withReloadableSettings(m_context.settings, *fresh);
        if (m_published) {
            applyCallerLimits();
        }
        m_context.metrics.countReload("taken");
        PAPAYASTEP_LOG(INFO, logPrefix) << "Took over changed settings." << base::field("atNextStart", needRestart);
    } catch (const base::Error &error) {
        m_context.metrics.countReload("kept");
        PAPAYASTEP_LOG(ERROR, logPrefix) << "Kept the previous settings because the changed file is invalid."
                                         << base::field("code", number(error.code()))
                                         << base::field("detail", error.what());
    }
}

void Node::logRefusalSummaries()
{
    for (const RefusalSummary &summary : m_context.refusalLog.takeSummaries()) {
        PAPAYASTEP_LOG(WARNING, "routing")
            << "Refused more requests." << base::field("code", number(summary.code))
            << base::field("count", summary.count) << base::field("requests", summary.requests);
    }
}

// Each component ticks in a separate step. Otherwise a component that fails at every tick would prevent the ticks of
// all components after it, and their leases or tokens would expire without a fault of their own.
void Node::tick()
{
    const auto step = [this](const char *part, const auto &run) { net::runStep(m_context.io, part, run); };
    step("tokens", [this] { m_context.tokens.tick(); });
    step("health", [this] { m_context.health.tick(); });
    step("ledger-client", [this] { m_context.ledgerClient.tick(); });
    step("ledger-home", [this] { m_context.ledgerHome.tick(); });
    step("spread", [this] { m_spread.tick(); });
    step("serving", [this] { m_servingNode.tick(); });
    step("directory", [this] { tickDirectory(); });
    step("refusals", [this] { logRefusalSummaries(); });
    const auto now = m_context.clock.now();
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        step("sweep", [this] { sweep(); });
    }
}

void Node::tickDirectory()
{
    if (m_serverDirectory.tick()) {
        applyDirectory();
    }
    if (m_directoryUpdater) {
        m_directoryUpdater->sendUpdates();
    }
}

void Node::sweep()
{
    reloadSettings();
    removeExpiredVms();
    m_servingNode.sweep();
    m_context.gray.expire();
    m_context.idle.expire();
    m_context.announcements.expire();
    m_context.serverEnds.expire();
    m_context.hopPool.sweep();
    m_context.backendPool.sweep();
    m_context.probePool.sweep();
    m_peerMessenger.sweep();
    logTransfers();
}

/// Logs the bytes that crossed the border of the zone since the last line, by purpose.
void Node::logTransfers()
{
    std::ostringstream fields;
    std::uint64_t sum = 0;
    for (std::size_t number = 0; number < transferPurposes; ++number) {
        const auto purpose = static_cast<TransferPurpose>(number);
        const std::uint64_t bytes = m_context.transfers.bytes(purpose, true);
        const std::uint64_t added = bytes - std::exchange(m_loggedTransfers[number], bytes);
        fields << base::field(name(purpose), added);
        sum += added;
    }
    if (sum > 0) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Exchanged bytes with other availability zones." << fields.str();
    }
}

base::TimePoint Node::nextTick()
{
    const auto now = m_context.clock.now();
    auto next = now + maxTickInterval;
    next = std::min(next, m_context.tokens.nextTick().value_or(next));
    next = std::min(next, m_context.health.nextTick());
    next = std::min(next, m_context.ledgerClient.nextTick());
    next = std::min(next, m_context.ledgerHome.nextTick());
    next = std::min(next, m_spread.nextTick());
    next = std::min(next, m_servingNode.nextTick().value_or(next));
    next = std::min(next, m_serverDirectory.nextTick().value_or(next));
    if (m_directoryUpdater) {
        next = std::min(next, m_directoryUpdater->nextTick().value_or(next));
    }
    return std::max(next, now + minTickInterval);
}

net::Awaitable<void> Node::tickLoop()
{
    while (!m_stopped) {
        m_scheduledTick = nextTick();
        co_await m_tickSignal.waitUntil(m_scheduledTick);
        tick();
        net::runStep(m_context.io, "pump", [this] { pump(); });
    }
}

// The process must end even if a step fails: a process that stays is killed at the end of its grace period, together
// with the requests in flight.
net::Awaitable<void> Node::drainAndStop()
{
    try {
        co_await finishRequests();
    } catch (...) {
        net::taskFaults(m_context.io).record("drain", std::current_exception());
    }
    net::runStep(m_context.io, "stop", [this] { stopTasks(); });
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

    const auto deadline = m_context.clock.now() + m_context.settings.drainTimeout;
    while (!isIdle() && m_context.clock.now() < deadline) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(net::into(ignored));
        tick();
        net::runStep(m_context.io, "pump", [this] { pump(); });
    }
    co_await answerOpenRequests();
}

/// Answers the requests that are still open at the drain timeout with an unknown outcome. If their connections were
/// closed without an answer, the callers would not know whether to retry.
net::Awaitable<void> Node::answerOpenRequests()
{
    if (m_entryHandler.openRequests() == 0) {
        co_return;
    }
    m_entryHandler.expireAll();
    net::asio::steady_timer timer(m_context.io);
    net::beast::error_code ignored;
    const auto deadline = m_context.clock.now() + finalAnswerTimeout;
    while (m_callerServer.inFlight() > 0 && m_context.clock.now() < deadline) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(net::into(ignored));
    }
}

void Node::stopTasks()
{
    m_hopServer.stop();
    m_stateMachine.handle(isIdle() ? NodeEvent::Drained : NodeEvent::DrainTimedOut);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Stopped." << base::field("open", m_entryHandler.openRequests())
                                    << base::field("serving", m_servingNode.inFlight());
    m_stopped = true;
    m_configurationFetcher.stop();
    if (m_directoryUpdater) {
        m_directoryUpdater->stop();
    }
}

bool Node::isIdle() const
{
    const bool requestsDone
        = m_callerServer.inFlight() == 0 && m_hopServer.inFlight() == 0 && m_servingNode.inFlight() == 0;
    return requestsDone && m_context.ledgerClient.size() == 0 && m_context.ledgerHome.handOverDone();
}

}
