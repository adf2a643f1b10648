#pragma once

#include "papayastep/net/asio.h"

#include <functional>
#include <memory>

namespace papayastep::net {

/// Returns whether the peer has closed its sending side or the whole connection, even if bytes that it sent before are
/// still unread.
bool peerHasClosed(tcp::socket &socket);

/// Reports the end of a connection while no read is pending. While no byte is unread, it waits for the socket to become
/// readable. Unread bytes would end each such wait at once, so behind them it checks the state of the socket at
/// intervals.
class DisconnectDetector
{
public:
    explicit DisconnectDetector(tcp::socket &socket);
    ~DisconnectDetector();
    DisconnectDetector(const DisconnectDetector &) = delete;
    DisconnectDetector &operator=(const DisconnectDetector &) = delete;

    /// Calls `gone` once if the peer closes the connection before stop(). Replaces an earlier watch.
    void start(std::function<void()> gone);
    void stop();

private:
    struct Watch;
    static void wait(const std::shared_ptr<Watch> &watch);
    static void pause(const std::shared_ptr<Watch> &watch);
    static void check(const std::shared_ptr<Watch> &watch);

    tcp::socket &m_socket;
    std::shared_ptr<Watch> m_watch;
};

}
