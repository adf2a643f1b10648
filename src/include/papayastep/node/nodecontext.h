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
#include "papayastep/routing/ledgerclient.h"
#include "papayastep/routing/ledgerhome.h"
#include "papayastep/routing/placement.h"
#include "papayastep/routing/retrypolicy.h"
#include "papayastep/routing/routetable.h"
#include "papayastep/routing/slotsurvey.h"
#include "papayastep/wire/hop.h"

#include <functional>
#include <memory>
#include <random>

namespace papayastep::node {

/// The configuration in force and what is derived from it once per revision.
struct InForce
{
    config::ConfigurationPtr configuration;
    std::shared_ptr<const routing::RouteTable> routes;
};

/// What the parts of a node share. One thread uses all of it, so nothing here is locked.
struct NodeContext
{
    NodeContext(net::asio::io_context &ioContext,
                const base::Clock &systemClock,
                NodeSettings nodeSettings,
                Interfaces outside,
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
    const std::unique_ptr<limits::RateLimiter> rateLimiter;
    limits::RateLimiter &tokens; ///< The same, for short.
    health::HealthMonitor health;
    health::GrayFailureTable gray;
    routing::SilenceBook silence;
    routing::IdleBook idle;
    routing::RetryBudget retryBudget;
    routing::RetryPolicy retryPolicy;
    routing::LedgerHome ledgerHome;
    routing::LedgerClient ledgerClient;
    std::unique_ptr<routing::PlacementPolicy> placement;
    NodeMetrics metrics;
    RefusalLog refusals;
    InForce inForce; ///< Null pointers until the first configuration.
    config::VmList vms;
    bool stopping = false; ///< A planned stop has begun; new requests are still taken for a while.
    bool draining = false; ///< New requests are refused.

    /// Called after anything that may have left decisions or messages in the parts above.
    std::function<void()> schedulePump;
    /// Whether a VM is about to stop, by the list or its own word.
    std::function<bool(const base::VmId &)> isLeaving;
    /// Sends one message to a VM at once.
    std::function<void(wire::Outgoing)> send;

    base::RequestId newRequestId();
};

}
