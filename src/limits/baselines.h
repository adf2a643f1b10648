#pragma once

#include "fleetbus.h"

#include <vector>

/// For the measure program only: simpler schemes, fed with the same requests and faults.
namespace papayastep::limits {

/// When one bucket for the whole fleet, which sees every request at once, would admit requests of a workspace.
std::vector<SimTime> idealBucket(const std::vector<RequestRecord> &requests,
                                 const config::Workspace &terms,
                                 std::size_t workspace);

/// Every node has an equal part of rate and burst, but at least a burst of one request.
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

/// One node holds the whole bucket of a workspace and is asked for every request. It starts with a full bucket.
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
