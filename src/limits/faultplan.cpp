#include "faultplan.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

namespace papayastep::limits {

namespace {

constexpr int steadyNodes = 3;
constexpr double steadyFraction = 0.7; ///< Fraction of the rate that the nodes with a steady stream receive together.
constexpr double waveSize = 1.5; ///< Requests of a wave, in bursts.
constexpr base::Duration waveLength = std::chrono::milliseconds(40);
constexpr base::Duration waveInterval = std::chrono::milliseconds(2500);

class WaveMaker
{
public:
    WaveMaker(FleetBus &bus, std::size_t workspace, const config::Workspace &terms, int nodes, std::uint64_t seed)
        : m_bus(bus)
        , m_workspace(workspace)
        , m_terms(terms)
        , m_nodes(nodes)
        , m_random(seed)
    {
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    int anyNode()
    {
        return std::uniform_int_distribution<int>(0, m_nodes - 1)(m_random);
    }
    void wave(SimTime at)
    {
        const int count = static_cast<int>(m_terms.burst * waveSize) + 2;
        for (int index = 0; index < count; ++index) {
            m_bus.offer(at + part(waveLength), anyNode(), m_workspace);
        }
    }
    void stream(int node, double perSecond, SimTime from, SimTime to)
    {
        const std::chrono::duration<double> mean(1 / perSecond);
        for (std::chrono::duration<double> time = from + mean * uniform(); time < to; time += 2 * uniform() * mean) {
            m_bus.offer(std::chrono::duration_cast<SimTime>(time), node, m_workspace);
        }
    }

private:
    SimTime part(base::Duration whole)
    {
        return std::chrono::duration_cast<SimTime>(whole * uniform());
    }

    FleetBus &m_bus;
    std::size_t m_workspace;
    const config::Workspace &m_terms;
    int m_nodes;
    std::mt19937_64 m_random;
};

}

std::vector<Fault> randomFaults(int nodes, std::uint64_t seed, int count, SimTime from, SimTime to)
{
    std::mt19937_64 random(seed);
    const auto below = [&random](int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); };
    const auto milliseconds = [](int value) { return SimTime(std::chrono::milliseconds(value)); };
    const int length = static_cast<int>((to - from) / std::chrono::milliseconds(1));
    std::vector<Fault> faults;
    for (int index = 0; index < count; ++index) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(below(static_cast<int>(FaultKind::Reconfigure)));
        fault.at = from + milliseconds(below(length));
        // Half of the faults are short, because a restart or pause within the lifetime of a grant is the hardest case.
        fault.duration = milliseconds(50 + (below(2) == 0 ? below(700) : below(9000)));
        fault.node = below(nodes);
        fault.other = below(nodes);
        faults.push_back(fault);
    }
    return faults;
}

std::vector<config::Workspace> quickWorkspaces()
{
    std::vector<config::Workspace> workspaces;
    const std::pair<double, double> terms[] = {{40, 10}, {30, 30}, {6, 12}, {3, 2}};
    for (const auto &[rate, burst] : terms) {
        config::Workspace workspace;
        workspace.id = base::WorkspaceId("workspace-" + std::to_string(workspaces.size()));
        workspace.rate = rate;
        workspace.burst = burst;
        workspaces.push_back(workspace);
    }
    return workspaces;
}

void offerWaves(FleetBus &bus,
                std::size_t workspace,
                const config::Workspace &terms,
                int nodes,
                const std::vector<Fault> &faults,
                std::uint64_t seed,
                SimTime from,
                SimTime to)
{
    WaveMaker maker(bus, workspace, terms, nodes, seed);
    for (int index = 0; index < steadyNodes; ++index) {
        maker.stream(maker.anyNode(), steadyFraction * terms.rate / steadyNodes, from, to);
    }
    const auto interval = [&maker] { return std::chrono::duration_cast<SimTime>(2 * maker.uniform() * waveInterval); };
    for (SimTime time = from + interval(); time < to; time += interval()) {
        maker.wave(time);
    }
    for (const Fault &fault : faults) {
        for (const SimTime time : {fault.at, fault.at + fault.duration}) {
            if (maker.uniform() < 0.5) {
                maker.wave(time);
            }
        }
    }
}

}
