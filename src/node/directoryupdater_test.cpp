#include "papayastep/net/task.h"
#include "papayastep/node/directoryupdater.h"

#include <boost/test/unit_test.hpp>

#include <system_error>

using namespace papayastep;

namespace {

/// A server source whose first read fails because no file descriptors are left. The second read stops the event loop.
class FailsOnce final : public net::ServerSource
{
public:
    explicit FailsOnce(net::asio::io_context &context)
        : m_context(context)
    {
    }

    net::Awaitable<membership::ServerUpdate> listServers() override
    {
        if (++m_reads == 1) {
            throw std::system_error(std::make_error_code(std::errc::too_many_files_open));
        }
        m_context.stop();
        co_return membership::ServerUpdate{};
    }

    net::Awaitable<membership::ServerUpdate> watchServers(std::uint64_t, std::chrono::milliseconds) override
    {
        return listServers();
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
