#pragma once

#include "papayastep/base/identifiers.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// What nodes tell each other about health. Siblings are VMs that carry backend servers of a common service.
namespace papayastep::health {

/// The usual latency of one route at one backend server.
struct RouteLatency
{
    std::uint32_t route = 0; ///< Low bits of base::stableHash() of the RouteId.
    std::uint8_t steps = 0; ///< Median latency as quantised by latencySteps().

    auto operator<=>(const RouteLatency &) const = default;
    MSGPACK_DEFINE(route, steps)
};

/// One backend server, as the node beside it sees it.
struct ServerStatus
{
    std::uint32_t server = 0; ///< Low bits of base::stableHash() of the BackendServerId: shorter than the name.
    std::uint8_t state = 0; ///< ServerState.
    std::uint16_t severity = 0; ///< Evidence of sickness in percent of the ejection threshold.
    bool unhealthy = false; ///< Whether its node wants it ejected (or keeps it ejected), were it not for the floor.
    std::uint16_t slotsInUse = 0;
    std::uint16_t queueLength = 0;
    std::uint8_t latencySteps = 0; ///< Recent median latency over all routes; 0: none yet.
    std::uint16_t failurePermille = 0; ///< Recent share of failed attempts.
    bool accepting = true; ///< False: refuses or sheds whatever comes.
    std::vector<RouteLatency> routes; ///< Only some of the routes: those that changed, then the others in turn.
    std::string distribution; ///< Distribution of latency around the route's usual one; empty most of the time.

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

/// MessageKind::SiblingState: everything one VM tells another in one message, however many services they share.
struct SiblingState
{
    std::uint64_t version = 0; ///< Rises with each message of an incarnation; tells a late message from a new one.
    std::uint16_t intervalMs = 1000; ///< When the next one will come at the latest, if all is well.
    std::vector<ServerStatus> servers; ///< The sender's servers of services that the receiver has a server of, too.

    auto operator<=>(const SiblingState &) const = default;
    MSGPACK_DEFINE(version, intervalMs, servers)
};

/// MessageKind::SiblingLeaving: the VM is about to go and must get no new work.
struct SiblingLeaving
{
    std::string vm;

    auto operator<=>(const SiblingLeaving &) const = default;
    MSGPACK_DEFINE(vm)
};

/// MessageKind::GrayNotice: a backend server beside the sender has begun a spell of gray failure. Sent to the entries
/// that have lately used it, so that each need not find out by a refusal.
struct GrayNotice
{
    std::string serverId; ///< BackendServerId.
    std::uint8_t percent = 0; ///< How likely it is.

    auto operator<=>(const GrayNotice &) const = default;
    MSGPACK_DEFINE(serverId, percent)
};

/// Rides on the answer of a hop: what an entry learns about a service without any control traffic.
struct ServerReport
{
    std::uint32_t server = 0; ///< As in ServerStatus.
    std::string serverId; ///< BackendServerId.
    std::uint8_t state = 0; ///< ServerState; trust it only if `informed`.
    bool upToDate = false; ///< False after a pause or start, until fresh evidence has come.
    std::uint16_t slotsInUse = 0;
    std::uint16_t queueLength = 0;
    std::uint8_t latencySteps = 0;
    std::uint64_t ejectedVersion = 0; ///< Rises whenever the reporter's list of ejected siblings changes.
    std::vector<std::uint32_t> ejected; ///< Ejected siblings of the service, as the reporter believes.

    auto operator<=>(const ServerReport &) const = default;
    MSGPACK_DEFINE(server, serverId, state, upToDate, slotsInUse, queueLength, latencySteps, ejectedVersion, ejected)
};

}
