#include "papayastep/net/task.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <new>
#include <stdexcept>

using namespace papayastep;

namespace {

struct LoopFixture
{
    net::asio::io_context context{1};
};

}

BOOST_FIXTURE_TEST_SUITE(task, LoopFixture)

// A handler throws because memory or descriptors are exhausted. Guards against an exception that leaves the event loop
// and ends the process with the requests of all callers.
BOOST_AUTO_TEST_CASE(loop_handlerThrows_runsOtherHandlers)
{
    int ran = 0;
    net::asio::post(context, [] { throw std::bad_alloc(); });
    net::asio::post(context, [&ran] { ++ran; });
    net::asio::post(context, [] { throw 1; });
    net::asio::post(context, [&ran] { ++ran; });
    net::runLoop(context);
    BOOST_TEST(ran == 2);
    BOOST_TEST(net::taskFaults(context).count() == 2U);
}

// Guards against an exception of a detached coroutine that is lost, so that its work stays undone without a log line.
BOOST_AUTO_TEST_CASE(task_throws_isCounted)
{
    net::spawnTask(context, "test", []() -> net::Awaitable<void> {
        throw std::runtime_error("broken");
        co_return;
    });
    net::runLoop(context);
    BOOST_TEST(net::taskFaults(context).count() == 1U);
}

// Guards against one failure that ends the loop which accepts connections or renews leases while the process keeps
// running: callers would hang and tokens run out although the node appears alive.
BOOST_AUTO_TEST_CASE(restartingTask_throwsTwice_isRestarted)
{
    int starts = 0;
    net::spawnRestartingTask(context, "test", [&starts]() -> net::Awaitable<void> {
        if (++starts < 3) {
            throw std::system_error(std::make_error_code(std::errc::too_many_files_open));
        }
        co_return;
    });
    net::runLoop(context);
    BOOST_TEST(starts == 3);
    BOOST_TEST(net::taskFaults(context).count() == 2U);
}

BOOST_AUTO_TEST_CASE(step_throws_isCountedAndEnds)
{
    net::runStep(context, "test", [] { throw std::runtime_error("broken"); });
    BOOST_TEST(net::taskFaults(context).count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
