#include "papayastep/node/processsignals.h"

#include <csignal>
#include <utility>

namespace papayastep::node {

namespace {

constexpr int stopSignals[] = {SIGTERM, SIGINT, SIGQUIT};
constexpr int idleSignals[] = {SIGUSR1, SIGUSR2, SIGALRM};

sigset_t allSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    for (const int signal : stopSignals) {
        sigaddset(&set, signal);
    }
    for (const int signal : idleSignals) {
        sigaddset(&set, signal);
    }
    return set;
}

SignalRequest requestOf(int signal)
{
    if (signal == SIGHUP) {
        return SignalRequest::Reload;
    }
    for (const int stop : stopSignals) {
        if (signal == stop) {
            return SignalRequest::Stop;
        }
    }
    return SignalRequest::Ignore;
}

}

void blockSignals()
{
    const sigset_t set = allSignals();
    sigprocmask(SIG_BLOCK, &set, nullptr);
}

ProcessSignals::ProcessSignals(net::asio::io_context &io)
    : m_stops(io)
    , m_others(io, SIGHUP)
{
    for (const int signal : stopSignals) {
        m_stops.add(signal);
    }
    for (const int signal : idleSignals) {
        m_others.add(signal);
    }
    // Also undoes a mask that was inherited: a supervisor that holds these signals back for itself and hands its mask
    // on would leave a node that no signal reaches.
    const sigset_t set = allSignals();
    sigprocmask(SIG_UNBLOCK, &set, nullptr);
}

ProcessSignals::~ProcessSignals()
{
    blockSignals();
}

void ProcessSignals::watch(Handler handler)
{
    m_handler = std::move(handler);
    waitForNext(m_stops);
    waitForNext(m_others);
}

void ProcessSignals::waitForNext(net::asio::signal_set &signals)
{
    signals.async_wait([this, &signals](const net::beast::error_code &error, int signal) {
        if (error) {
            return;
        }
        // The next wait comes first: a handler that throws must not leave the node deaf to the next signal.
        waitForNext(signals);
        m_handler(requestOf(signal), signal);
    });
}

}
