#pragma once

#include "papayastep/base/identifiers.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Messages about health between nodes. Siblings are VMs that run backend servers of a common service.
namespace papayastep::health {

/// Median latency of one route at one backend server.
struct RouteLatency
{
    std::uint32_t route = 0; ///< Low 32 bits of base::stableHash() of the RouteId.
    std::uint8_t steps = 0; ///< Median latency, quantised by latencySteps().

    auto operator<=>(const RouteLatency &) const = default;
    MSGPACK_DEFINE(route, steps)
};

/// Status of one backend server as the node beside it determined it.
struct ServerStatus
{
    std::uint32_t server = 0; ///< Low 32 bits of base::stableHash() of the BackendServerId, which is longer.
    std::uint8_t state = 0; ///< A ServerState.
    std::uint16_t severity = 0; ///< Evidence against the server in percent of the ejection threshold.
    bool unhealthy = false; ///< Whether its node would eject it, or keep it ejected, if there were no floor.
    std::uint16_t slotsInUse = 0;
    std::uint16_t queueLength = 0;
    std::uint8_t latencySteps = 0; ///< Recent median latency over all routes, 0 if there is none yet.
    std::uint16_t failurePermille = 0; ///< Recent share of failed attempts in thousandths.
    bool accepting = true; ///< False if it refuses or sheds all requests.
    std::vector<RouteLatency> routes; ///< Only some routes: those that changed, then the others in turn.
    std::string distribution; ///< Encoded LatencyDistribution; empty in most messages.

    auto operator<=>(const ServerStatus &) const = default;
    MSGPACK_DEFINE(server,
                   state,
                   severity,
                   unhealthy,
                   slotsInUse,
                   queueLength,
                   latencySteps,
                   failurePermille,
                   accepting,
                   routes,
                   distribution)
};

/// MessageKind::SiblingState: the health state that one VM sends to another, in one message for all common services.
struct SiblingState
{
    std::uint64_t version = 0; ///< Rises with each message of an incarnation, to detect late messages.
    std::uint16_t intervalMs = 1000; ///< Maximum time until the next message, unless there is a fault.
    std::vector<ServerStatus> servers; ///< The sender's servers of the common services.

    auto operator<=>(const SiblingState &) const = default;
    MSGPACK_DEFINE(version, intervalMs, servers)
};

/// MessageKind::SiblingLeaving: the VM is about to leave and must get no new work.
struct SiblingLeaving
{
    std::string vm;

    auto operator<=>(const SiblingLeaving &) const = default;
    MSGPACK_DEFINE(vm)
};

/// MessageKind::GrayNotice: a gray failure of a backend server beside the sender has begun. It is sent to the entry
/// nodes that have recently used the server, so that they avoid it before one of their requests is refused.
struct GrayNotice
{
    std::string serverId; ///< A BackendServerId.
    std::uint8_t percent = 0; ///< Probability of the gray failure in percent.

    auto operator<=>(const GrayNotice &) const = default;
    MSGPACK_DEFINE(serverId, percent)
};

/// Health report that is attached to the answer of a hop, so that entry nodes need no control traffic.
struct ServerReport
{
    std::uint32_t server = 0; ///< As in ServerStatus.
    std::string serverId; ///< A BackendServerId.
    std::uint8_t state = 0; ///< A ServerState; valid only if `upToDate` is set.
    bool upToDate = false; ///< False after a start or a pause of the process until there is new evidence.
    std::uint16_t slotsInUse = 0;
    std::uint16_t queueLength = 0;
    std::uint8_t latencySteps = 0;
    std::uint64_t ejectedVersion = 0; ///< Rises whenever the reporting node's list of ejected siblings changes.
    std::vector<std::uint32_t> ejected; ///< Servers of the service that the reporting node regards as ejected.

    auto operator<=>(const ServerReport &) const = default;
    MSGPACK_DEFINE(server, serverId, state, upToDate, slotsInUse, queueLength, latencySteps, ejectedVersion, ejected)
};

}
