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

/// A process from its first instruction on, without signals that a case before it left behind.
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
        BOOST_TEST((seenAfterStart() == Seen{{node::SignalRequest::Ignore, signal}}));
    }
}

// A script in a loop tells a node to reload while somebody stops it. A stop that waited for the end of the flood would
// end in SIGKILL, with the callers' requests.
BOOST_AUTO_TEST_CASE(stop_amidAFloodOfReloads_isTakenBeforeTheyAreThrough)
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

// A node that has answered everything and is about to end gets one more signal. If the default action holds again by
// then, a planned stop looks like a crash to whoever watches over the process.
BOOST_AUTO_TEST_CASE(signals_raisedAfterTheLoop_endNothing)
{
    seenAfterStart();
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    BOOST_TEST(seenAfterStart().size() == 2u);
}

// Supervisors hold signals back for themselves, and a child inherits the mask. A node that keeps it can't be stopped.
BOOST_AUTO_TEST_CASE(signals_heldBackByTheParent_areLetThrough)
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
