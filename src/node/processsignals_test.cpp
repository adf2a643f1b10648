#include "papayastep/node/processsignals.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

using namespace papayastep;

namespace {

using Seen = std::vector<std::pair<node::SignalRequest, int>>;

/// A process from its first instruction on; ends with the default actions in force again.
struct ProcessSignalsFixture
{
    ProcessSignalsFixture()
    {
        node::holdBackSignals();
    }

    Seen seenAfterStart()
    {
        net::asio::io_context io;
        node::ProcessSignals signals(io);
        Seen seen;
        signals.watch([&seen](node::SignalRequest request, int signal) { seen.emplace_back(request, signal); });
        io.poll();
        return seen;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(processSignals, ProcessSignalsFixture)

// A node is told to reload, or to stop, while its libraries are still being initialised. If the default action of the
// signal holds at that moment, the process is gone, and callers are refused until it is started again.
BOOST_AUTO_TEST_CASE(signals_raisedBeforeRegistration_reachTheEventLoop)
{
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    Seen seen = seenAfterStart();
    std::sort(seen.begin(), seen.end());
    BOOST_TEST((seen == Seen{{node::SignalRequest::Stop, SIGTERM}, {node::SignalRequest::Reload, SIGHUP}}));
}

BOOST_AUTO_TEST_CASE(signals_withoutMeaning_endNothing)
{
    for (const int signal : {SIGUSR1, SIGUSR2, SIGALRM}) {
        std::raise(signal);
        BOOST_TEST((seenAfterStart() == Seen{{node::SignalRequest::Nothing, signal}}));
        node::holdBackSignals();
    }
}

// Of a flood, as a script in a loop sends it, none may be lost that asks for something else.
BOOST_AUTO_TEST_CASE(stop_afterManyReloads_isTaken)
{
    for (int n = 0; n < 1000; ++n) {
        std::raise(SIGHUP);
    }
    std::raise(SIGQUIT);
    const Seen seen = seenAfterStart();
    BOOST_TEST((std::find(seen.begin(), seen.end(), std::pair{node::SignalRequest::Stop, SIGQUIT}) != seen.end()));
}

// Supervisors hold signals back for themselves, and a child inherits the mask. A node that keeps it can't be stopped.
BOOST_AUTO_TEST_CASE(signals_heldBackByTheParent_areLetThrough)
{
    seenAfterStart();
    sigset_t blocked;
    sigprocmask(SIG_BLOCK, nullptr, &blocked);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGQUIT, SIGUSR1, SIGUSR2, SIGALRM}) {
        BOOST_TEST(sigismember(&blocked, signal) == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
