#pragma once

#include "papayastep/net/asio.h"

#include <boost/asio/signal_set.hpp>

#include <functional>

namespace papayastep::node {

/// What a signal asks of a node.
enum class SignalRequest {
    Stop, ///< SIGTERM, SIGINT, SIGQUIT: a planned stop.
    Reload, ///< SIGHUP: the settings file may have changed.
    Ignore, ///< SIGUSR1, SIGUSR2, SIGALRM: sent by mistake, as these mean nothing to a node.
};

/// Holds back the signals of ProcessSignals until it is constructed. To be called before anything else in the process,
/// as early as from `.preinit_array`: it touches nothing that needs initialisation.
///
/// By default each of these signals ends the process. One that comes between its first instruction and the
/// registration would make a start fail, which shows as a process that ended with 128 plus the signal's number and as
/// refused connections until it is started again. A signal that is held back is delivered upon registration instead.
void blockSignals();

/// Takes the signals that operators and their tools send, from its construction on. Those that come before the event
/// loop runs wait for it.
class ProcessSignals
{
public:
    using Handler = std::function<void(SignalRequest request, int signal)>;

    /// Registers for the signals and lets through what was held back.
    explicit ProcessSignals(net::asio::io_context &io);

    /// Holds the signals back again: a second one during the end would turn a planned stop into a crash.
    ~ProcessSignals();

    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// Calls `handler` in the event loop for each signal, until the loop ends. Call it once.
    void watch(Handler handler);

private:
    void waitForNext(net::asio::signal_set &signals);

    // A set hands out what has come by the signals' numbers, and SIGHUP has the smallest: in one set, a flood of
    // reloads would keep a stop waiting until it is over.
    net::asio::signal_set m_stops;
    net::asio::signal_set m_others;
    Handler m_handler;
};

}
