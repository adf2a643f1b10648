#include "disconnectdetector.h"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace papayastep::net {

namespace {

/// A fifth of the 0.5 s within which the runs of a caller that has disconnected are to be stopped.
constexpr std::chrono::milliseconds checkInterval(100);

bool hasUnreadBytes(tcp::socket &socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}

bool peerHasClosed(tcp::socket &socket)
{
    if (!socket.is_open()) {
        return true;
    }
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

struct DisconnectDetector::Watch
{
    Watch(tcp::socket &watched, std::function<void()> action)
        : socket(&watched)
        , timer(watched.get_executor())
        , gone(std::move(action))
    {
    }

    tcp::socket *socket; ///< Null after the end of the watch.
    asio::steady_timer timer;
    std::function<void()> gone;
};

DisconnectDetector::DisconnectDetector(tcp::socket &socket)
    : m_socket(socket)
{
}

DisconnectDetector::~DisconnectDetector()
{
    stop();
}

void DisconnectDetector::start(std::function<void()> gone)
{
    stop();
    m_watch = std::make_shared<Watch>(m_socket, std::move(gone));
    wait(m_watch);
}

void DisconnectDetector::stop()
{
    if (m_watch) {
        m_watch->socket = nullptr;
        m_watch->timer.cancel();
        m_watch.reset();
    }
}

void DisconnectDetector::wait(const std::shared_ptr<Watch> &watch)
{
    watch->socket->async_wait(tcp::socket::wait_read, [watch](const beast::error_code &error) {
        if (!error) {
            check(watch);
        }
    });
}

void DisconnectDetector::pause(const std::shared_ptr<Watch> &watch)
{
    watch->timer.expires_after(checkInterval);
    watch->timer.async_wait([watch](const beast::error_code &error) {
        if (!error) {
            check(watch);
        }
    });
}

void DisconnectDetector::check(const std::shared_ptr<Watch> &watch)
{
    if (watch->socket == nullptr) {
        return;
    }
    if (peerHasClosed(*watch->socket)) {
        watch->socket = nullptr;
        watch->gone();
    } else if (hasUnreadBytes(*watch->socket)) {
        pause(watch);
    } else {
        wait(watch);
    }
}

}
