#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/net/endpoint.h"
#include "papayastep/net/httpserver.h"

#include <string>
#include <string_view>
#include <vector>

namespace papayastep::node {

/// How servers are chosen. Random is the baseline of the measures.
enum class PlacementChoice { TwoChoices, Random };

/// What a node is told at its start: a JSON file, checked against a schema, and a few command line options over it.
struct NodeSettings
{
    base::VmId vm;
    base::ZoneId zone;
    net::Endpoint caller; ///< HTTP for callers.
    net::Endpoint hop; ///< HTTP between nodes.
    net::Endpoint peer; ///< nng between nodes.
    net::Endpoint admin; ///< HTTP for operators.
    std::vector<net::Endpoint> platform;
    std::string secret; ///< Of the fleet. Never logged.
    PlacementChoice placement = PlacementChoice::TwoChoices;
    bool ejection = true; ///< False: the baseline without ejection.
    bool noEarlierRuns = false; ///< The fleet's first start: no idempotency key can have been used before.
    net::ServerLimits limits;
    base::Duration acknowledgeAfter
        = std::chrono::milliseconds(10); ///< A hop answered sooner needs no acknowledgement.
    base::Duration drainTimeout = std::chrono::seconds(30); ///< A planned stop waits no longer for requests in flight.
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

/// Reads, merges and checks. Throws Error (2xxx) naming the file and the JSON pointer.
NodeSettings readSettings(const std::string &path, const SettingsOverrides &overrides);

/// Parses the text of a settings file without its secret. Throws Error (2xxx).
NodeSettings parseSettings(std::string_view json, const std::string &file, const SettingsOverrides &overrides);

}
