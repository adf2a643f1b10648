#include "papayastep/net/task.h"
#include "papayastep/node/directoryupdater.h"

#include <boost/test/unit_test.hpp>

#include <system_error>

using namespace papayastep;

namespace {

/// A directory whose first answer can't be read for lack of descriptors, and whose second one stops the loop.
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

// One read of the directory fails in a way that nobody foresaw. The coroutine that watches it ended without a word: the
// node went on with the servers that it knew, sent requests to those that had left, and never learned of new ones.
BOOST_FIXTURE_TEST_CASE(directory_readFailsUnforeseen_isReadAgain, DirectoryUpdaterFixture)
{
    updater.start([](base::Revision, bool) {});
    io.run_for(std::chrono::seconds(10));
    BOOST_TEST(source.reads() == 2);
    BOOST_TEST(net::taskFaults(io).count() == 1U);
}
