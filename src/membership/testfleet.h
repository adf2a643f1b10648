#pragma once

#include "papayastep/membership/configdistributor.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Simulates the distributors of some nodes, joined by faulty links, and a platform that answers from memory. Only for
/// tests.
namespace papayastep::membership::testing {

/// Faults that the links apply to messages. Ratios are between 0 and 1.
struct LinkFaults
{
    double lossRatio = 0;
    double duplicateRatio = 0;
    std::chrono::milliseconds longestDelay{3};
};

/// Runs the distributors of several nodes on a manual clock, with the faults that a test sets.
class TestFleet
{
public:
    TestFleet(int nodes, int zones, std::uint64_t seed, const DistributionSettings &settings = {});

    /// Publishes a revision on the platform; readers with `platformUp` see it.
    void publish(const std::vector<config::ConfigurationFile> &files);
    /// Publishes a valid configuration whose only workspace has `rate`.
    void publishRate(int rate);
    void publishVmList(config::VmList list);

    /// Runs for `duration` in steps of 20 ms. Records in `revisionDecreased` whether a node returned to an older
    /// revision.
    void run(std::chrono::milliseconds duration);

    /// Restricts links to nodes on the same side.
    void partition(const std::vector<int> &sideOfNode);
    void heal();

    /// Silences a `share` of the open connections between two nodes, each in one direction. A connection loses all that
    /// is sent on it until its sender replaces it, a second after the first message that is not acknowledged.
    void silenceConnections(double share);
    /// Returns whether a message that is sent now is lost on a silent connection, and records that it was sent.
    bool losesMessage(int from, int to);

    int nodesAt(base::Revision revision) const;
    int nodesAtVmList(std::uint64_t version) const;
    ConfigDistributor &distributor(int node);
    VmDirectory &directory(int node);
    static base::VmId vm(int node);
    static std::vector<config::ConfigurationFile> filesWithRate(int rate);

    LinkFaults faults;
    std::vector<bool> platformUp; ///< For each node: whether it reaches the platform.
    /// For each node: whether the platform answers it with the first publication.
    std::vector<bool> platformStale;
    std::vector<bool> paused; ///< For each node: whether it is stopped; messages to it wait.
    base::Revision platformRevision = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t messages = 0;
    std::uint64_t messageBytes = 0;
    bool revisionDecreased = false;
    base::ManualClock clock;

private:
    struct Node
    {
        std::unique_ptr<VmDirectory> directory;
        std::unique_ptr<ConfigDistributor> distributor;
        base::Revision inForce = 0;
        base::TimePoint watchSince{};
        base::TimePoint vmWatchSince{};
    };
    struct InFlight
    {
        base::TimePoint at;
        int from;
        wire::Outgoing message;
    };

    void step();
    void pollPlatformConfiguration(int node);
    void pollPlatformVmList(int node);
    void deliver();
    void send(int from);
    bool isPartitioned(int from, int to) const;

    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::vector<InFlight> m_inFlight;
    std::vector<int> m_sides;
    /// The silent connections, by sender and receiver, with the time at which they are replaced if it is known.
    std::map<std::pair<int, int>, std::optional<base::TimePoint>> m_silent;
    std::map<base::Revision, std::vector<config::ConfigurationFile>> m_published;
    config::VmList m_vmList;
};

}
