#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/limits/overflowqueue.h"
#include "papayastep/net/endpoint.h"
#include "papayastep/net/httpserver.h"
#include "papayastep/routing/retrybudget.h"
#include "papayastep/routing/transfercost.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayastep::node {

/// Policy by which servers are chosen. Random is the baseline of the benchmarks.
enum class PlacementChoice { TwoChoices, LeastCost, Random };

/// Interfaces that a node uses to callers, backend servers and the platform: those that papayastep defines itself, or
/// those of the operators' platform (folder platform/).
enum class InterfaceChoice { Native, Platform };

/// Handling of a request if the node can't determine whether its workspace is within its rate limit: Strict refuses it,
/// so that no workspace ever exceeds its rate; Pooled serves it within an excess that the operators tolerate.
enum class RateLimitChoice { Strict, Pooled };

/// The settings of a node, read at its start from a JSON file, which is checked against a schema, and from a few
/// command line options, which take precedence over the file.
struct NodeSettings
{
    base::VmId vm;
    base::ZoneId zone;
    net::Endpoint caller; ///< HTTP for callers.
    net::Endpoint hop; ///< HTTP between nodes.
    net::Endpoint peer; ///< Messages between nodes.
    net::Endpoint admin; ///< HTTP for operators.
    std::optional<net::Endpoint> ready; ///< Separate endpoint for readiness checks; none if not set.
    std::string readyPath = "/readyz"; ///< HTTP path of readiness checks.
    std::vector<net::Endpoint> platform;
    base::ServiceId
        service; ///< Service of the backend servers on this VM, sent as the calling service; empty: not sent.
    InterfaceChoice interfaces = InterfaceChoice::Native;
    RateLimitChoice rateLimits = RateLimitChoice::Strict;
    std::optional<routing::FleetRetryLimit>
        retryLimit; ///< If not set, retries are limited to a fifth of each node's own requests.
    std::string secret; ///< Shared secret of the fleet. It is never logged.
    PlacementChoice placement = PlacementChoice::TwoChoices;
    /// Longest time for which an ejected server receives no requests before it is tried again. If not set, it can be
    /// minutes after several ejections.
    std::optional<base::Duration> longestHold;
    /// Whether gray servers are held back by health::GrayFailureEstimator alone. Its holds end after one or two
    /// seconds. The ejections and trials of the slower health::HealthMonitor would leave healthy servers without
    /// requests for ten seconds at a time.
    bool usesOnlyFailureFilter() const
    {
        return placement == PlacementChoice::LeastCost;
    }

    bool asksForFreeSlots
        = false; ///< Whether an entry asks several servers for a free slot before it queues a request at one.
    /// Whether a server that was held back as gray gets requests that can't be repeated only after it has answered
    /// trial requests. Otherwise the hold ends by time.
    bool confirmsRecovery = false;
    /// Which requests wait for a slot beyond the short queue while the demand exceeds the capacity; if not set, none.
    std::optional<limits::OverflowSettings> overflowQueue;
    /// Cost of serving a request in another availability zone by the size of its route's messages; if not set, it is
    /// the same for all routes.
    std::optional<routing::ZoneTransferSettings> zoneTransfer;
    bool ejection = true; ///< False disables ejection, as a baseline for comparison.
    bool noEarlierRuns
        = false; ///< True at the first start of the fleet, when no idempotency key can have been used before.
    net::ServerLimits limits;
    base::Duration acknowledgeAfter
        = std::chrono::milliseconds(10); ///< A hop that is answered sooner is not acknowledged.
    base::Duration drainTimeout
        = std::chrono::seconds(30); ///< Longest time that a planned stop waits for requests in flight.
    /// Time for which new requests are still accepted after a planned stop has been announced. Callers and other nodes
    /// switch to other nodes meanwhile, so that few requests are refused.
    base::Duration announceFirst = std::chrono::milliseconds(500);
};

/// Command line options that override the settings file. An empty value is not set.
struct SettingsOverrides
{
    std::string vm;
    std::string zone;
    std::string caller;
    std::string hop;
    std::string peer;
    std::string admin;
    std::vector<std::string> platform;
    std::string secretFile;
};

/// Environment variable that contains the fleet secret if the settings name no secretFile.
constexpr const char *secretEnvironmentVariable = "PAPAYASTEP_SECRET";

/// Returns the text of a settings file. Throws Error(SettingsUnreadable).
std::string readSettingsText(const std::string &path);

/// Reads a settings file, applies the overrides and checks the result. Throws Error (2xxx) with the file and the JSON
/// pointer.
NodeSettings readSettings(const std::string &path, const SettingsOverrides &overrides);

/// Parses the text of a settings file without reading the secret. Throws Error (2xxx).
NodeSettings parseSettings(std::string_view json, const std::string &file, const SettingsOverrides &overrides);

}
