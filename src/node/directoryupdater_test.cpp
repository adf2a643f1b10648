#include "papayastep/base/error.h"
#include "papayastep/base/hashing.h"
#include "papayastep/net/task.h"
#include "papayastep/node/directoryupdater.h"

#include <boost/test/unit_test.hpp>

#include <system_error>

using namespace papayastep;

namespace {

/// A server source with one server that answers lists and, if it is reachable, checks.
class OneServer final : public net::ServerSource
{
public:
    net::Awaitable<membership::ServerUpdate> listServers(bool) override
    {
        ++lists;
        membership::ServerUpdate update;
        update.version = 10;
        update.isComplete = true;
        update.changed.emplace_back();
        update.changed.front().id = base::BackendServerId("counter-1");
        co_return update;
    }

    net::Awaitable<membership::ServerUpdate> watchServers(std::uint64_t, std::chrono::milliseconds) override
    {
        ++watches;
        if (!reachable) {
            throw base::Error(base::ResultCode::PlatformUnreachable, "cut off");
        }
        membership::ServerUpdate update;
        update.version = 10;
        co_return update;
    }

    net::Awaitable<void> checkReachable() override
    {
        ++checks;
        if (!reachable) {
            throw base::Error(base::ResultCode::PlatformUnreachable, "cut off");
        }
        co_return;
    }

    bool reachable = true;
    int lists = 0;
    int watches = 0;
    int checks = 0;
};

/// A server source whose first read fails because no file descriptors are left. The second read stops the event loop.
class FailsOnce final : public net::ServerSource
{
public:
    explicit FailsOnce(net::asio::io_context &context)
        : m_context(context)
    {
    }

    net::Awaitable<membership::ServerUpdate> listServers(bool) override
    {
        if (++m_reads == 1) {
            throw std::system_error(std::make_error_code(std::errc::too_many_files_open));
        }
        m_context.stop();
        co_return membership::ServerUpdate{};
    }

    net::Awaitable<membership::ServerUpdate> watchServers(std::uint64_t, std::chrono::milliseconds) override
    {
        return listServers(false);
    }

    net::Awaitable<void> checkReachable() override
    {
        co_return;
    }

    int reads() const
    {
        return m_reads;
    }

private:
    net::asio::io_context &m_context;
    int m_reads = 0;
};

node::NodeSettings testSettings()
{
    node::NodeSettings settings;
    settings.secret = "a secret of the tests";
    return settings;
}

struct DirectoryUpdaterFixture
{
    base::SystemClock clock;
    net::asio::io_context io{1};
    node::NodeContext context{io, clock, testSettings(), node::Interfaces{}, 1};
    membership::ServerDirectory directory{clock};
    FailsOnce source{io};
    node::DirectoryUpdater updater{context, directory, source};
};

}

// Guards against an update loop that ends silently when a read of the directory throws an unexpected exception. The
// node would then keep its list of servers, send requests to servers that have left, and never detect new ones.
BOOST_FIXTURE_TEST_CASE(directory_readThrowsUnexpectedException_isReadAgain, DirectoryUpdaterFixture)
{
    updater.start([](base::Revision, bool) {});
    io.run_for(std::chrono::seconds(10));
    BOOST_TEST(source.reads() == 2);
    BOOST_TEST(net::taskFaults(io).count() == 1U);
}

namespace {

/// A node that is covered by two readers of its group.
struct CoveredNode
{
    CoveredNode()
    {
        const base::VmId self = context.settings.vm;
        // The own VM has the least weight of the list, so that the others are the readers.
        for (int i = 0; present.size() < 3; ++i) {
            const base::VmId vm("vm-" + std::to_string(i));
            const bool isAhead = base::rendezvousWeight("directory reader", vm.value())
                > base::rendezvousWeight("directory reader", self.value());
            if (isAhead) {
                present.push_back(vm);
            }
        }
        updater.applyVms(present);
        updater.start([](base::Revision, bool) {});
        runUntil([this] { return source.lists > 0 && directory.hasCompleteList(); });
    }

    /// A heartbeat that covers the node, followed by an update that removes the server.
    void reportRemoval()
    {
        heartbeat(10, 10, {});
        heartbeat(10, 11, {base::BackendServerId("counter-1")});
    }

    void heartbeat(std::uint64_t from, std::uint64_t to, const std::vector<base::BackendServerId> &removed)
    {
        membership::DirectoryNews news;
        news.from = from;
        news.to = to;
        news.removed = removed;
        updater.receive(news);
    }
    template<typename Condition>
    void runUntil(const Condition &condition)
    {
        for (int i = 0; i < 500 && !condition(); ++i) {
            io.run_for(std::chrono::milliseconds(10));
        }
    }

    base::SystemClock clock;
    net::asio::io_context io{1};
    node::NodeContext context{io, clock, testSettings(), node::Interfaces{}, 1};
    membership::ServerDirectory directory{clock};
    OneServer source;
    node::DirectoryUpdater updater{context, directory, source};
    std::vector<base::VmId> present{context.settings.vm};
};

}

// Guards against a watch of each of hundreds of nodes for each server that leaves.
BOOST_FIXTURE_TEST_CASE(directory_removalFromAReader_isAppliedAfterACheck, CoveredNode)
{
    reportRemoval();
    BOOST_TEST(directory.servers().size() == 1U);
    runUntil([this] {
        reportRemoval();
        return directory.servers().empty();
    });
    BOOST_TEST(directory.servers().empty());
    BOOST_TEST(source.checks > 0);
    BOOST_TEST(directory.version() == 11U);
}

// Guards against dropping well servers of other nodes that are cut off from the platform together with this one.
BOOST_FIXTURE_TEST_CASE(directory_removalFromAReaderWhileCutOff_isNotApplied, CoveredNode)
{
    source.reachable = false;
    runUntil([this] {
        reportRemoval();
        return source.checks > 0;
    });
    const int watches = source.watches;
    runUntil([&] { return source.watches > watches; });
    BOOST_TEST(source.watches > watches);
    BOOST_TEST(directory.servers().size() == 1U);
    BOOST_TEST(directory.version() == 10U);
}
