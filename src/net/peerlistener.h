#pragma once

#include "papayastep/net/asio.h"
#include "papayastep/net/endpoint.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace papayastep::net {

/// Accepts the connections of peers and receives the messages that PeerSender sends over them.
class PeerListener : public std::enable_shared_from_this<PeerListener>
{
public:
    using Receiver = std::function<void(std::string message)>;

    /// Starts to listen. Throws Error(SettingsAddressInUse) if it can't.
    PeerListener(asio::io_context &context, const Endpoint &listen, Receiver receive);

    void start();
    /// Closes all connections. The receiver is not called any more.
    void close();

private:
    using Socket = std::shared_ptr<tcp::socket>;

    Awaitable<void> acceptAll();
    Awaitable<void> readAll(Socket socket);

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    Receiver m_receive;
    std::set<Socket> m_connections;
    bool m_isClosed = false;
};

}
