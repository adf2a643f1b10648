#include "papayastep/node/processsignals.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

using namespace papayastep;

namespace {

constexpr int allSignals[] = {SIGHUP, SIGTERM, SIGINT, SIGQUIT, SIGUSR1, SIGUSR2, SIGALRM};

using Seen = std::vector<std::pair<node::SignalRequest, int>>;

/// The signal state of a process at its first instruction, without pending signals of previous test cases.
struct ProcessSignalsFixture
{
    ProcessSignalsFixture()
    {
        node::blockSignals();
        for (const int signal : allSignals) {
            std::signal(signal, SIG_IGN);
            std::signal(signal, SIG_DFL);
        }
    }

    Seen seenAfterStart()
    {
        net::asio::io_context io;
        node::ProcessSignals signals(io);
        return seen(io, signals);
    }

    static Seen seen(net::asio::io_context &io, node::ProcessSignals &signals)
    {
        Seen seen;
        signals.watch([&seen](node::SignalRequest request, int signal) { seen.emplace_back(request, signal); });
        io.poll();
        return seen;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(processSignals, ProcessSignalsFixture)

// A node receives a reload or stop signal while its libraries are still being initialised. With the default action of
// the signal, the process would be terminated, and callers would be refused until it is started again.
BOOST_AUTO_TEST_CASE(signals_raisedBeforeRegistration_reachEventLoop)
{
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    Seen seen = seenAfterStart();
    std::sort(seen.begin(), seen.end());
    BOOST_TEST((seen == Seen{{node::SignalRequest::Stop, SIGTERM}, {node::SignalRequest::Reload, SIGHUP}}));
}

BOOST_AUTO_TEST_CASE(signals_withoutMeaning_areIgnored)
{
    for (const int signal : {SIGUSR1, SIGUSR2, SIGALRM}) {
        std::raise(signal);
        BOOST_TEST((seenAfterStart() == Seen{{node::SignalRequest::Ignore, signal}}));
    }
}

// A script sends reload signals in a loop while the node is stopped. If the stop were handled only after all reloads,
// the process would be ended by SIGKILL, and the requests of its callers would be lost.
BOOST_AUTO_TEST_CASE(stop_duringManyReloads_isHandledBeforeRemainingReloads)
{
    net::asio::io_context io;
    node::ProcessSignals signals(io);
    for (int n = 0; n < 1000; ++n) {
        std::raise(SIGHUP);
    }
    std::raise(SIGTERM);
    const Seen all = seen(io, signals);
    BOOST_TEST(all.size() == 1001u);
    const auto stop = std::find(all.begin(), all.end(), std::pair{node::SignalRequest::Stop, SIGTERM});
    BOOST_TEST((stop - all.begin() < 10));
}

// A node that has answered all requests and is about to exit receives another signal. If the default action applied
// again at that time, the supervisor of the process would see a crash instead of a planned stop.
BOOST_AUTO_TEST_CASE(signals_raisedAfterEventLoop_areBlocked)
{
    seenAfterStart();
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    BOOST_TEST(seenAfterStart().size() == 2u);
}

// Supervisors block signals for themselves, and a child process inherits the mask. A node that kept the mask could not
// be stopped.
BOOST_AUTO_TEST_CASE(signals_blockedByParent_areUnblocked)
{
    net::asio::io_context io;
    const node::ProcessSignals signals(io);
    sigset_t blocked;
    sigprocmask(SIG_BLOCK, nullptr, &blocked);
    for (const int signal : allSignals) {
        BOOST_TEST(sigismember(&blocked, signal) == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
