#pragma once

#include "fleetbus.h"

#include <vector>

/// Simpler rate limiters that replay the same requests and faults, for the measure program only.
namespace papayastep::limits {

/// Returns the times at which one bucket for the whole fleet, which receives every request without delay, admits
/// requests of a workspace.
std::vector<SimTime> idealBucket(const std::vector<RequestRecord> &requests,
                                 const config::Workspace &terms,
                                 std::size_t workspace);

/// Rate limiter in which every node has an equal part of rate and burst, but at least a burst of one request.
class EqualSplit
{
public:
    EqualSplit(const FleetShape &shape, const std::vector<config::Workspace> &workspaces);

    std::vector<SimTime> replay(const std::vector<RequestRecord> &requests,
                                const std::vector<Fault> &faults,
                                std::size_t workspace) const;

private:
    int m_nodes;
    const std::vector<config::Workspace> &m_workspaces;
};

/// Rate limiter in which one node holds the whole bucket of a workspace and is asked for every request. It starts with
/// a full bucket.
class OneOwner
{
public:
    OneOwner(const FleetShape &shape, const std::vector<config::Workspace> &workspaces);

    std::vector<SimTime> replay(const std::vector<RequestRecord> &requests,
                                const std::vector<Fault> &faults,
                                std::size_t workspace) const;

private:
    FleetShape m_shape;
    const std::vector<config::Workspace> &m_workspaces;
};

}
