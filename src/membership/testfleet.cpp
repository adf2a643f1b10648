#include "testfleet.h"

namespace papayastep::membership::testing {

namespace {

constexpr std::chrono::milliseconds stepLength{20};
/// As in net::PeerSender.
constexpr std::chrono::seconds deadPeerTimeout{1};

base::Incarnation incarnationOf(int node)
{
    return 1000 + static_cast<base::Incarnation>(node);
}

int indexOf(const base::VmId &vm)
{
    return std::stoi(vm.value().substr(3));
}

}

TestFleet::TestFleet(int nodes, int zones, std::uint64_t seed, const DistributionSettings &settings)
    : platformUp(static_cast<std::size_t>(nodes), true)
    , platformStale(static_cast<std::size_t>(nodes), false)
    , paused(static_cast<std::size_t>(nodes), false)
    , m_random(seed)
    , m_sides(static_cast<std::size_t>(nodes), 0)
{
    m_vmList.version = 1;
    for (int node = 0; node < nodes; ++node) {
        const base::ZoneId zone(std::string(1, static_cast<char>('a' + node % zones)));
        m_vmList.vms.push_back({vm(node), zone, "127.0.0.1", 1, 2, 3, 4, false});
    }
    for (int node = 0; node < nodes; ++node) {
        const base::ZoneId zone(std::string(1, static_cast<char>('a' + node % zones)));
        const NodeIdentity self{vm(node), zone, incarnationOf(node)};
        auto directory = std::make_unique<VmDirectory>(clock);
        auto distributor = std::make_unique<ConfigDistributor>(self, *directory, clock, m_random(), settings);
        m_nodes.push_back({std::move(directory), std::move(distributor), 0, clock.now(), clock.now()});
    }
}

base::VmId TestFleet::vm(int node)
{
    return base::VmId("vm-" + std::to_string(100 + node));
}

std::vector<config::ConfigurationFile> TestFleet::filesWithRate(int rate)
{
    return {{"10-service.json", R"({"services":[{"id":"s"}]})"},
            {"20-workspace.json",
             R"({"workspaces":[{"id":"w","keys":[],"burst":9,"rate":)" + std::to_string(rate) + "}]}"}};
}

void TestFleet::publish(const std::vector<config::ConfigurationFile> &files)
{
    m_published[++platformRevision] = files;
}

void TestFleet::publishRate(int rate)
{
    publish(filesWithRate(rate));
}

void TestFleet::publishVmList(config::VmList list)
{
    m_vmList = std::move(list);
}

void TestFleet::run(std::chrono::milliseconds duration)
{
    for (auto passed = std::chrono::milliseconds(0); passed < duration; passed += stepLength) {
        step();
    }
}

void TestFleet::step()
{
    clock.advance(stepLength);
    deliver();
    for (int node = 0; node < static_cast<int>(m_nodes.size()); ++node) {
        if (paused[static_cast<std::size_t>(node)]) {
            continue;
        }
        Node &self = m_nodes[static_cast<std::size_t>(node)];
        pollPlatformConfiguration(node);
        pollPlatformVmList(node);
        if (clock.now() >= self.distributor->nextTick()) {
            self.distributor->tick();
        }
        if (const auto accepted = self.distributor->takeAccepted()) {
            revisionDecreased = revisionDecreased || accepted->configuration->revision() <= self.inForce;
            self.inForce = accepted->configuration->revision();
        }
        send(node);
    }
}

void TestFleet::pollPlatformConfiguration(int node)
{
    Node &self = m_nodes[static_cast<std::size_t>(node)];
    const PlatformCall call = self.distributor->configurationCall();
    if (call.notBefore > clock.now() || m_published.empty()) {
        return;
    }
    if (!platformUp[static_cast<std::size_t>(node)]) {
        self.distributor->notePlatformFailed();
        return;
    }
    const base::Revision offered
        = platformStale[static_cast<std::size_t>(node)] ? m_published.begin()->first : platformRevision;
    if (call.kind == PlatformCallKind::Watch && offered <= call.after) {
        if (clock.now() - self.watchSince > call.wait) {
            self.distributor->notePlatformUnchanged();
        }
        return;
    }
    ++platformReads;
    self.watchSince = clock.now();
    const auto &files = m_published.at(offered);
    const config::FileListing listing = config::listingOf(offered, files);
    const FetchPlan plan = self.distributor->applyPlatformListing(listing);
    if (plan.isNeeded) {
        platformReads += plan.files.size();
        self.distributor->applyPlatformFiles(listing, files);
    }
}

void TestFleet::pollPlatformVmList(int node)
{
    Node &self = m_nodes[static_cast<std::size_t>(node)];
    const PlatformCall call = self.distributor->vmListCall();
    if (call.notBefore > clock.now()) {
        return;
    }
    if (!platformUp[static_cast<std::size_t>(node)]) {
        self.distributor->notePlatformVmListFailed();
        return;
    }
    if (call.kind == PlatformCallKind::Watch && m_vmList.version <= call.after) {
        if (clock.now() - self.vmWatchSince > call.wait) {
            self.distributor->notePlatformVmListUnchanged();
        }
        return;
    }
    ++platformReads;
    self.vmWatchSince = clock.now();
    self.distributor->applyPlatformVmList(m_vmList);
}

void TestFleet::deliver()
{
    std::vector<InFlight> due;
    std::erase_if(m_inFlight, [&](const InFlight &message) {
        const bool isDue
            = message.at <= clock.now() && !paused[static_cast<std::size_t>(indexOf(message.message.to) - 100)];
        if (isDue) {
            due.push_back(message);
        }
        return isDue;
    });
    for (const InFlight &message : due) {
        Node &receiver = m_nodes[static_cast<std::size_t>(indexOf(message.message.to) - 100)];
        const base::VmId from = vm(message.from);
        receiver.directory->noteMessage(from, incarnationOf(message.from));
        try {
            receiver.distributor->receive(from, message.message.kind, message.message.payload);
        } catch (const base::Error &) { // A node counts and drops such messages.
        }
    }
}

void TestFleet::send(int from)
{
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<int> delay(0, static_cast<int>(faults.longestDelay.count()));
    for (wire::Outgoing &message : m_nodes[static_cast<std::size_t>(from)].distributor->takeMessages()) {
        ++messages;
        messageBytes += message.payload.size();
        const int to = indexOf(message.to) - 100;
        if (isPartitioned(from, to) || losesMessage(from, to) || share(m_random) < faults.lossRatio) {
            continue;
        }
        if (share(m_random) < faults.duplicateRatio) {
            m_inFlight.push_back({clock.now() + std::chrono::milliseconds(delay(m_random)), from, message});
        }
        m_inFlight.push_back({clock.now() + std::chrono::milliseconds(delay(m_random)), from, std::move(message)});
    }
}

void TestFleet::partition(const std::vector<int> &sideOfNode)
{
    m_sides = sideOfNode;
}

void TestFleet::silenceConnections(double share)
{
    std::bernoulli_distribution isSilenced(share);
    const int nodes = static_cast<int>(m_nodes.size());
    for (int from = 0; from < nodes; ++from) {
        for (int to = 0; to < nodes; ++to) {
            if (isSilenced(m_random)) {
                m_silent[{from, to}] = std::nullopt;
            }
        }
    }
}

bool TestFleet::losesMessage(int from, int to)
{
    const auto found = m_silent.find({from, to});
    if (found == m_silent.end()) {
        return false;
    }
    found->second = found->second.value_or(clock.now() + deadPeerTimeout);
    if (clock.now() < *found->second) {
        return true;
    }
    m_silent.erase(found);
    return false;
}

void TestFleet::heal()
{
    std::fill(m_sides.begin(), m_sides.end(), 0);
}

bool TestFleet::isPartitioned(int from, int to) const
{
    return m_sides[static_cast<std::size_t>(from)] != m_sides[static_cast<std::size_t>(to)];
}

int TestFleet::nodesAt(base::Revision revision) const
{
    return static_cast<int>(std::count_if(
        m_nodes.begin(), m_nodes.end(), [&](const Node &node) { return node.distributor->revision() == revision; }));
}

int TestFleet::nodesAtVmList(std::uint64_t version) const
{
    return static_cast<int>(std::count_if(
        m_nodes.begin(), m_nodes.end(), [&](const Node &node) { return node.directory->list().version == version; }));
}

ConfigDistributor &TestFleet::distributor(int node)
{
    return *m_nodes[static_cast<std::size_t>(node)].distributor;
}

VmDirectory &TestFleet::directory(int node)
{
    return *m_nodes[static_cast<std::size_t>(node)].directory;
}

}
