#pragma once

#include "fleetbus.h"

#include <vector>

/// For tests and the measure program only: faults and requests that together look for a way round the cap.
namespace papayastep::limits {

/// Random faults of all kinds but changes of configuration, which the baselines don't know, between `from` and `to`.
std::vector<Fault> randomFaults(int nodes, std::uint64_t seed, int count, SimTime from, SimTime to);

/// Workspaces whose bursts fill within seconds, so that tokens granted twice show up as excess.
std::vector<config::Workspace> quickWorkspaces();

/// Requests of one workspace: a few hot nodes see a steady stream, which makes them keep tokens in stock; in between
/// all nodes are idle, so that the shares fill; and now and then, and whenever a fault begins or ends, all nodes see
/// many times the burst at once.
void offerWaves(FleetBus &bus,
                std::size_t workspace,
                const config::Workspace &terms,
                int nodes,
                const std::vector<Fault> &faults,
                std::uint64_t seed,
                SimTime from,
                SimTime to);

}
