#pragma once

#include "papayastep/net/asio.h"

#include <boost/asio/signal_set.hpp>

#include <functional>

namespace papayastep::node {

/// The action that a signal requests from a node.
enum class SignalRequest {
    Stop, ///< SIGTERM, SIGINT, SIGQUIT: a planned stop.
    Reload, ///< SIGHUP: the settings file may have changed.
    Ignore, ///< SIGUSR1, SIGUSR2, SIGALRM: sent by mistake, because they have no meaning for a node.
};

/// Blocks the signals of ProcessSignals until it is constructed. It is to be called before anything else in the process
/// and may be called from `.preinit_array`, because it uses nothing that needs initialisation.
///
/// By default each of these signals terminates the process. A signal between the first instruction of the process and
/// the registration would make the start fail: the process exits with 128 plus the number of the signal, and
/// connections are refused until it is started again. A blocked signal is delivered upon registration instead.
void blockSignals();

/// Handles the signals that operators and their tools send, from its construction on. Signals that arrive before the
/// event loop runs are handled once it runs.
class ProcessSignals
{
public:
    using Handler = std::function<void(SignalRequest request, int signal)>;

    /// Registers for the signals and unblocks them, which delivers the pending ones.
    explicit ProcessSignals(net::asio::io_context &io);

    /// Blocks the signals again, because a second signal during the shutdown would turn a planned stop into a crash.
    ~ProcessSignals();

    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// Calls `handler` in the event loop for each signal, until the loop ends. Must be called only once.
    void watch(Handler handler);

private:
    void waitForNext(net::asio::signal_set &signals);

    // A signal set delivers pending signals in the order of their numbers, and SIGHUP has the smallest. With a single
    // set, a continuous series of reloads would delay a stop until it ends.
    net::asio::signal_set m_stops;
    net::asio::signal_set m_others;
    Handler m_handler;
};

}
