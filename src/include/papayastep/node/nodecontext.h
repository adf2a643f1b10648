#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configuration.h"
#include "papayastep/health/grayfailuretable.h"
#include "papayastep/health/healthmonitor.h"
#include "papayastep/limits/ratelimiter.h"
#include "papayastep/net/httpclient.h"
#include "papayastep/node/interfaces.h"
#include "papayastep/node/metrics.h"
#include "papayastep/node/refusallog.h"
#include "papayastep/node/settings.h"
#include "papayastep/node/transfercounters.h"
#include "papayastep/routing/announcementtable.h"
#include "papayastep/routing/ledgerclient.h"
#include "papayastep/routing/ledgerhome.h"
#include "papayastep/routing/placement.h"
#include "papayastep/routing/retrypolicy.h"
#include "papayastep/routing/routetable.h"
#include "papayastep/routing/serverendtable.h"
#include "papayastep/routing/slotsurvey.h"
#include "papayastep/routing/transfercost.h"
#include "papayastep/wire/hop.h"

#include <functional>
#include <memory>
#include <random>

namespace papayastep::node {

/// The active configuration and the data that is derived from it once per revision.
struct ActiveConfiguration
{
    config::ConfigurationPtr configuration;
    std::shared_ptr<const routing::RouteTable> routes;
};

/// The state that the components of a node share. Only one thread uses it, so nothing here is locked.
struct NodeContext
{
    NodeContext(net::asio::io_context &ioContext,
                const base::Clock &systemClock,
                NodeSettings nodeSettings,
                Interfaces nodeInterfaces,
                std::uint64_t seed);

    const CallerProtocol &callers() const;
    const BackendProtocol &backends() const;

    net::asio::io_context &io;
    const base::Clock &clock;
    NodeSettings settings;
    Interfaces interfaces;
    base::Incarnation incarnation;
    std::mt19937_64 random;
    wire::HopCodec hopCodec;
    net::HttpPool hopPool;
    net::HttpPool backendPool;
    /// Connections for probes. A server may send an answer twice, and that to a probe has no request id: on a
    /// connection of a request, its second copy would be taken for the answer to that request.
    net::HttpPool probePool;
    const std::unique_ptr<limits::RateLimiter> rateLimiter;
    limits::RateLimiter &tokens; ///< The rate limiter under a short name.
    health::HealthMonitor health;
    health::GrayFailureTable gray;
    routing::SilentNodes silence;
    routing::ServerIdleTimes idle;
    routing::AnnouncementTable announcements;
    routing::ServerEndTable serverEnds;
    routing::RetryPolicy retryPolicy;
    routing::LedgerHome ledgerHome;
    routing::LedgerClient ledgerClient;
    std::unique_ptr<routing::PlacementPolicy> placement;
    routing::TransferCost transferCost;
    TransferCounters transfers;
    NodeMetrics metrics;
    RefusalLog refusalLog;
    ActiveConfiguration active; ///< Null pointers until the first configuration.
    config::VmList vms;
    bool stopping = false; ///< A planned stop has begun; new requests are still accepted until draining begins.
    bool draining = false; ///< New requests are refused.

    /// Schedules the message pump, which takes decisions and messages out of the components above. To be called after
    /// every operation that may have produced some.
    std::function<void()> schedulePump;
    /// Whether a VM is about to stop, according to the VM list or to its own announcement.
    std::function<bool(const base::VmId &)> isLeaving;
    /// Sends one message to a VM immediately.
    std::function<void(wire::Outgoing)> send;

    base::RequestId newRequestId();
    /// Whether the VM is in another availability zone; false if it is not known.
    bool isInOtherZone(const base::VmId &vm) const;
};

}
