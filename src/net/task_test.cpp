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

// A handler runs out of memory or descriptors in a moment of need. Out of the loop, its exception ended the process,
// and the requests of all callers broke off with it.
BOOST_AUTO_TEST_CASE(loop_handlerThrows_runsTheOthers)
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

// What a detached coroutine throws goes nowhere: whatever it was to do stays undone, and no line says so.
BOOST_AUTO_TEST_CASE(task_throws_isCounted)
{
    net::spawnTask(context, "test", []() -> net::Awaitable<void> {
        throw std::runtime_error("broken");
        co_return;
    });
    net::runLoop(context);
    BOOST_TEST(net::taskFaults(context).count() == 1U);
}

// One bad moment ended the loop that accepts connections or renews leases, and the node went on without it: callers
// hung, tokens ran out, and its process looked alive.
BOOST_AUTO_TEST_CASE(duty_throwsTwice_isStartedAgain)
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

BOOST_AUTO_TEST_CASE(step_throws_isCountedAndOver)
{
    net::runStep(context, "test", [] { throw std::runtime_error("broken"); });
    BOOST_TEST(net::taskFaults(context).count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
