#include "baselines.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <string>

namespace papayastep::limits {

namespace {

class Bucket
{
public:
    Bucket(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_level(burst)
    {
    }
    bool take(SimTime now)
    {
        m_level = std::min(m_burst, m_level + m_rate * std::chrono::duration<double>(now - m_at).count());
        m_at = now;
        // The sums are rounded, so a level that is short of a token only by rounding counts.
        constexpr double rounding = 1e-9;
        if (m_level + rounding < 1) {
            return false;
        }
        m_level -= 1;
        return true;
    }
    void fill()
    {
        m_level = m_burst;
    }

private:
    double m_rate;
    double m_burst;
    double m_level;
    SimTime m_at{};
};

bool activeAt(const Fault &fault, SimTime time)
{
    return fault.at <= time && time < fault.at + fault.duration;
}

bool stopped(const Fault &fault, int node)
{
    const bool stops
        = fault.kind == FaultKind::Restart || fault.kind == FaultKind::Pause || fault.kind == FaultKind::Suspend;
    return stops && fault.node == node;
}

bool cuts(const Fault &fault, int from, int to)
{
    const bool oneWay = fault.kind == FaultKind::OneWayBreak && fault.node == from && fault.other == to;
    const bool mute = fault.kind == FaultKind::Mute && fault.node == from;
    const bool split = fault.kind == FaultKind::Split && (from < fault.other) != (to < fault.other);
    return oneWay || mute || split;
}

/// Returns the requests of one workspace in order of arrival.
std::vector<RequestRecord> requestsOf(const std::vector<RequestRecord> &requests, std::size_t workspace)
{
    std::vector<RequestRecord> own;
    for (const RequestRecord &request : requests) {
        if (request.workspace == workspace) {
            own.push_back(request);
        }
    }
    std::sort(own.begin(), own.end(), [](const RequestRecord &a, const RequestRecord &b) {
        return a.offeredAt < b.offeredAt;
    });
    return own;
}

/// Whether `node` restarted between two times and so lost its bucket.
bool restarted(const std::vector<Fault> &faults, int node, SimTime from, SimTime to)
{
    return std::any_of(faults.begin(), faults.end(), [&](const Fault &fault) {
        const SimTime end = fault.at + fault.duration;
        return fault.kind == FaultKind::Restart && fault.node == node && from < end && end <= to;
    });
}

}

std::vector<SimTime> idealBucket(const std::vector<RequestRecord> &requests,
                                 const config::Workspace &terms,
                                 std::size_t workspace)
{
    Bucket bucket(terms.rate, terms.burst);
    std::vector<SimTime> admitted;
    for (const RequestRecord &request : requestsOf(requests, workspace)) {
        if (bucket.take(request.offeredAt)) {
            admitted.push_back(request.offeredAt);
        }
    }
    return admitted;
}

EqualSplit::EqualSplit(const FleetShape &shape, const std::vector<config::Workspace> &workspaces)
    : m_nodes(shape.nodes)
    , m_workspaces(workspaces)
{
}

std::vector<SimTime> EqualSplit::replay(const std::vector<RequestRecord> &requests,
                                        const std::vector<Fault> &faults,
                                        std::size_t workspace) const
{
    const config::Workspace &terms = m_workspaces[workspace];
    std::vector<Bucket> buckets(static_cast<std::size_t>(m_nodes),
                                Bucket(terms.rate / m_nodes, std::max(1.0, terms.burst / m_nodes)));
    std::vector<SimTime> lastUse(buckets.size());
    std::vector<SimTime> admitted;
    for (const RequestRecord &request : requestsOf(requests, workspace)) {
        const auto node = static_cast<std::size_t>(request.node);
        const bool down = std::any_of(faults.begin(), faults.end(), [&](const Fault &fault) {
            return stopped(fault, request.node) && activeAt(fault, request.offeredAt);
        });
        if (down) {
            continue;
        }
        if (restarted(faults, request.node, lastUse[node], request.offeredAt)) {
            buckets[node].fill();
        }
        lastUse[node] = request.offeredAt;
        if (buckets[node].take(request.offeredAt)) {
            admitted.push_back(request.offeredAt);
        }
    }
    return admitted;
}

OneOwner::OneOwner(const FleetShape &shape, const std::vector<config::Workspace> &workspaces)
    : m_shape(shape)
    , m_workspaces(workspaces)
{
}

std::vector<SimTime> OneOwner::replay(const std::vector<RequestRecord> &requests,
                                      const std::vector<Fault> &faults,
                                      std::size_t workspace) const
{
    const config::Workspace &terms = m_workspaces[workspace];
    const auto nodes = static_cast<std::uint64_t>(m_shape.nodes);
    const int owner = static_cast<int>(base::stableHash(terms.id.value()) % nodes);
    Bucket bucket(terms.rate, terms.burst);
    SimTime lastUse{};
    std::vector<SimTime> admitted;
    for (const RequestRecord &request : requestsOf(requests, workspace)) {
        const bool unreachable = std::any_of(faults.begin(), faults.end(), [&](const Fault &fault) {
            const bool hit = stopped(fault, owner) || stopped(fault, request.node) || cuts(fault, owner, request.node)
                || cuts(fault, request.node, owner);
            return hit && activeAt(fault, request.offeredAt);
        });
        if (unreachable) {
            continue;
        }
        if (restarted(faults, owner, lastUse, request.offeredAt)) {
            bucket.fill();
        }
        lastUse = request.offeredAt;
        if (bucket.take(request.offeredAt)) {
            admitted.push_back(request.offeredAt + 2 * m_shape.latencyBetweenZones);
        }
    }
    return admitted;
}

}
