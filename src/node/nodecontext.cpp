#include "papayastep/node/nodecontext.h"

#include "papayastep/limits/pooledlimiter.h"
#include "papayastep/limits/tokenbroker.h"
#include "papayastep/routing/leastcostplacement.h"

namespace papayastep::node {

namespace {

routing::LedgerSettings ledgerSettings(const NodeSettings &settings)
{
    routing::LedgerSettings ledger;
    ledger.noEarlierRuns = settings.noEarlierRuns;
    return ledger;
}

std::unique_ptr<limits::RateLimiter> makeRateLimiter(const NodeSettings &settings,
                                                     base::Incarnation incarnation,
                                                     const base::Clock &clock)
{
    const limits::NodeIdentity self{settings.vm, settings.zone, incarnation};
    if (settings.rateLimits == RateLimitChoice::Pooled) {
        return std::make_unique<limits::PooledLimiter>(self, clock);
    }
    return std::make_unique<limits::TokenBroker>(self, clock);
}

health::HealthSettings healthSettings(const NodeSettings &settings)
{
    health::HealthSettings health;
    if (settings.placement == PlacementChoice::LeastCost) {
        // Entries receive the state of servers with each answer and by notices, so siblings need to exchange their
        // states only rarely: with one state per second these messages were a sixth of the bytes between the zones of a
        // fleet of 22 nodes.
        health.siblingInterval = std::chrono::seconds(3);
        health.controlBytesPerSecond = 500;
    }
    if (settings.longestHold) {
        health.maxEjectionTime = *settings.longestHold;
        health.baseEjectionTime = std::min(health.baseEjectionTime, health.maxEjectionTime);
        health.maxPathEjectionTime = std::min(health.maxPathEjectionTime, health.maxEjectionTime);
    }
    return health;
}

routing::RetrySettings retrySettings()
{
    routing::RetrySettings settings;
    settings.answerTimeoutFactor = 0; // ServingNode detects attempts that hang.
    return settings;
}

std::unique_ptr<routing::PlacementPolicy> placementPolicy(const NodeSettings &settings)
{
    if (settings.placement == PlacementChoice::LeastCost) {
        return std::make_unique<routing::LeastCostPlacement>(settings.vm);
    }
    if (settings.placement == PlacementChoice::Random) {
        return std::make_unique<routing::RandomPlacement>();
    }
    return std::make_unique<routing::TwoChoicePlacement>();
}

}

NodeContext::NodeContext(net::asio::io_context &ioContext,
                         const base::Clock &systemClock,
                         NodeSettings nodeSettings,
                         Interfaces nodeInterfaces,
                         std::uint64_t seed)
    : io(ioContext)
    , clock(systemClock)
    , settings(std::move(nodeSettings))
    , interfaces(std::move(nodeInterfaces))
    , incarnation(std::mt19937_64(seed)())
    , random(seed)
    , hopCodec(settings.secret)
    , hopPool(io, clock, {})
    , backendPool(io, clock, {})
    , probePool(io, clock, {})
    , rateLimiter(makeRateLimiter(settings, incarnation, clock))
    , tokens(*rateLimiter)
    , health({settings.vm, incarnation}, clock, random(), healthSettings(settings))
    , gray(clock)
    , silence(clock)
    , idle(clock)
    , announcements(clock)
    , serverEnds(clock)
    , retryPolicy(clock, retrySettings())
    , ledgerHome(clock, settings.vm, incarnation, ledgerSettings(settings))
    , ledgerClient(clock, settings.vm, ledgerHome, ledgerSettings(settings))
    , placement(placementPolicy(settings))
    , transferCost(settings.zoneTransfer)
    , refusalLog(clock)
{
}

const CallerProtocol &NodeContext::callers() const
{
    return *interfaces.callers;
}

const BackendProtocol &NodeContext::backends() const
{
    return *interfaces.backends;
}

bool NodeContext::isInOtherZone(const base::VmId &vm) const
{
    const config::VmEntry *entry = vms.find(vm);
    return entry != nullptr && entry->zone != settings.zone;
}

base::RequestId NodeContext::newRequestId()
{
    return {random(), random()};
}

}
