#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/net/endpoint.h"
#include "papayastep/net/httpserver.h"
#include "papayastep/routing/retrybudget.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayastep::node {

/// How servers are chosen. Random is the baseline of the measures.
enum class PlacementChoice { TwoChoices, LeastCost, Random };

/// What a node speaks with callers, backend servers and the platform: papayastep's own interfaces, or those of the
/// operators' platform (folder platform/).
enum class InterfaceChoice { Own, Platform };

/// What a node does with a request when it can't know whether its workspace is inside its rate: refuse, so that no
/// workspace ever gets more, or serve within an excess that the operators tolerate.
enum class RateLimitChoice { Strict, Pooled };

/// What a node is told at its start: a JSON file, checked against a schema, and a few command line options over it.
struct NodeSettings
{
    base::VmId vm;
    base::ZoneId zone;
    net::Endpoint caller; ///< HTTP for callers.
    net::Endpoint hop; ///< HTTP between nodes.
    net::Endpoint peer; ///< Messages between nodes.
    net::Endpoint admin; ///< HTTP for operators.
    std::optional<net::Endpoint> ready; ///< A listener of its own for the question whether the node is ready.
    std::string readyPath = "/readyz"; ///< Where that question is asked.
    std::vector<net::Endpoint> platform;
    base::ServiceId service; ///< Of the backend servers on this VM, which tells who calls; empty: not told.
    InterfaceChoice interfaces = InterfaceChoice::Own;
    RateLimitChoice rateLimits = RateLimitChoice::Strict;
    std::optional<routing::FleetRetryLimit> retryLimit; ///< Absent: a fifth of each node's own requests.
    std::string secret; ///< Of the fleet. Never logged.
    PlacementChoice placement = PlacementChoice::TwoChoices;
    /// The longest that an ejected server gets no work before it is tried again; absent: minutes, after several
    /// ejections.
    std::optional<base::Duration> longestHold;
    /// Whether gray servers are held back by health::GrayFailureEstimator alone. Its holds end after a second or two;
    /// the slower test's ejections and trials beside it left well servers without work for ten seconds at a time.
    bool holdsByFilter() const
    {
        return placement == PlacementChoice::LeastCost;
    }

    bool asksForFreeSlots = false; ///< Whether a request asks some servers for a free slot before it queues at one.
    bool ejection = true; ///< False: the baseline without ejection.
    bool noEarlierRuns = false; ///< The fleet's first start: no idempotency key can have been used before.
    net::ServerLimits limits;
    base::Duration acknowledgeAfter
        = std::chrono::milliseconds(10); ///< A hop answered sooner needs no acknowledgement.
    base::Duration drainTimeout = std::chrono::seconds(30); ///< A planned stop waits no longer for requests in flight.
    /// At a planned stop: how long new requests are still taken. Until then callers and siblings hear of it and turn
    /// away, so that few requests meet a closed door.
    base::Duration announceFirst = std::chrono::milliseconds(500);
};

/// What stands on the command line beside the file; empty: not given.
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

/// Environment variable with the fleet secret, where no secretFile is named.
constexpr const char *secretVariable = "PAPAYASTEP_SECRET";

/// The text of a settings file. Throws Error(SettingsUnreadable).
std::string settingsText(const std::string &path);

/// Reads, merges and checks. Throws Error (2xxx) naming the file and the JSON pointer.
NodeSettings readSettings(const std::string &path, const SettingsOverrides &overrides);

/// Parses the text of a settings file without its secret. Throws Error (2xxx).
NodeSettings parseSettings(std::string_view json, const std::string &file, const SettingsOverrides &overrides);

}
