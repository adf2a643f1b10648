#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/asio.h"
#include "papayastep/net/endpoint.h"
#include "papayastep/net/peerendpoint.h"

#include <deque>
#include <memory>
#include <string>

namespace papayastep::net {

/// Sends messages to one peer over a connection that is opened when there is something to send. Each message is sent as
/// its length in four bytes, most significant byte first, followed by its bytes.
class PeerSender : public std::enable_shared_from_this<PeerSender>
{
public:
    PeerSender(asio::io_context &context, Endpoint peer, std::shared_ptr<PeerEndpoint::Counters> counters);

    /// Queues `message` without blocking. Returns false if the queue is full or the message is too long.
    bool send(const std::string &message, base::TimePoint now);
    /// Closes the connection; the next message opens a new one.
    void reconnect();
    void close();

    base::TimePoint lastUsed() const;

private:
    using Socket = std::shared_ptr<tcp::socket>;

    Awaitable<void> run();
    Awaitable<void> sendQueued();
    Awaitable<bool> connect();
    Awaitable<void> watch(Socket socket);
    Awaitable<void> pauseAfterFailure();
    void connectionFailed(const Socket &socket, const beast::error_code &error);
    void disconnect();

    asio::io_context &m_context;
    const Endpoint m_peer;
    const std::shared_ptr<PeerEndpoint::Counters> m_counters;
    Socket m_socket; ///< Null if not connected.
    std::deque<std::string> m_queue;
    base::TimePoint m_lastUsed;
    base::Duration m_backoff{};
    bool m_isSending = false;
    bool m_isClosed = false;
};

}
