#pragma once

#include "fleetbus.h"

#include <vector>

/// Random faults and requests that together try to exceed the cap, for tests and the measure program only.
namespace papayastep::limits {

/// Returns random faults between `from` and `to`, of all kinds except changes of configuration, which the baselines do
/// not support.
std::vector<Fault> randomFaults(int nodes, std::uint64_t seed, int count, SimTime from, SimTime to);

/// Returns workspaces whose bursts fill within seconds, so that tokens that are granted twice appear as excess.
std::vector<config::Workspace> quickWorkspaces();

/// Schedules requests of one workspace. A few nodes receive a steady stream, which makes them keep tokens in stock. All
/// other nodes are idle in between, so that the shares fill. From time to time, and with a probability of one half when
/// a fault starts or ends, all nodes together receive more than the burst at once.
void offerWaves(FleetBus &bus,
                std::size_t workspace,
                const config::Workspace &terms,
                int nodes,
                const std::vector<Fault> &faults,
                std::uint64_t seed,
                SimTime from,
                SimTime to);

}
