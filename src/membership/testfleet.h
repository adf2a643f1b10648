#pragma once

#include "papayastep/membership/configdistributor.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// A few nodes' decisions joined by a faulty link and a platform that answers from memory. Only for tests.
namespace papayastep::membership::testing {

/// What happens to messages. Shares are between 0 and 1.
struct LinkFaults
{
    double lossRatio = 0;
    double duplicateRatio = 0;
    std::chrono::milliseconds longestDelay{3};
};

class TestFleet
{
public:
    TestFleet(int nodes, int zones, std::uint64_t seed, const DistributionSettings &settings = {});

    /// The platform publishes; readers with `platformUp` see it.
    void publish(const std::vector<config::ConfigurationFile> &files);
    /// Publishes a valid configuration whose only workspace has `rate`.
    void publishRate(int rate);
    void publishVmList(config::VmList list);

    /// Runs for `duration` in steps of 20 ms. Checks that no node ever goes back.
    void run(std::chrono::milliseconds duration);

    /// Links work only between nodes on the same side.
    void partition(const std::vector<int> &sideOfNode);
    void heal();

    int nodesAt(base::Revision revision) const;
    int nodesAtVmList(std::uint64_t version) const;
    ConfigDistributor &spread(int node);
    VmDirectory &directory(int node);
    static base::VmId vm(int node);
    static std::vector<config::ConfigurationFile> filesWithRate(int rate);

    LinkFaults faults;
    std::vector<bool> platformUp; ///< By node: whether it reaches the platform.
    std::vector<bool> platformStale; ///< By node: whether it is answered from the first publication.
    std::vector<bool> paused; ///< By node: whether it runs at all; messages to it wait.
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
        std::unique_ptr<ConfigDistributor> spread;
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
    bool isCut(int from, int to) const;

    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::vector<InFlight> m_inFlight;
    std::vector<int> m_sides;
    std::map<base::Revision, std::vector<config::ConfigurationFile>> m_published;
    config::VmList m_vmList;
};

}
