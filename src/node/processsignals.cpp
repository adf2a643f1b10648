#include "papayastep/node/processsignals.h"

#include <csignal>
#include <utility>

namespace papayastep::node {

namespace {

constexpr int stopSignals[] = {SIGTERM, SIGINT, SIGQUIT};
constexpr int ignoredSignals[] = {SIGUSR1, SIGUSR2, SIGALRM};

sigset_t allSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    for (const int signal : stopSignals) {
        sigaddset(&set, signal);
    }
    for (const int signal : ignoredSignals) {
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
    for (const int signal : ignoredSignals) {
        m_others.add(signal);
    }
    // This also removes an inherited signal mask: a supervisor that blocks these signals for itself and passes its mask
    // on would start a node that no signal reaches.
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
        // The next wait is registered first, so that the node receives the next signal even if the handler throws.
        waitForNext(signals);
        m_handler(requestOf(signal), signal);
    });
}

}
