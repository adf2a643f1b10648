#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/asio.h"
#include "papayastep/net/endpoint.h"

#include <deque>
#include <memory>
#include <string>

namespace papayastep::net {

/// The messages to one peer and the connection that carries them, which is made when there is something to send.
/// Each message goes as its length in four bytes, the most significant first, and its bytes.
class PeerSender : public std::enable_shared_from_this<PeerSender>
{
public:
    PeerSender(asio::io_context &context, Endpoint peer);

    /// Never waits. Returns false where too many messages wait already.
    bool send(const std::string &message, base::TimePoint now);
    void close();

    base::TimePoint lastUsed() const;

private:
    using Socket = std::shared_ptr<tcp::socket>;

    Awaitable<void> run();
    Awaitable<void> sendQueued();
    Awaitable<bool> connect();
    Awaitable<void> watch(Socket socket);
    Awaitable<void> pauseAfterFailure();
    void disconnect();

    asio::io_context &m_context;
    const Endpoint m_peer;
    Socket m_socket; ///< Null: not connected.
    std::deque<std::string> m_queue;
    base::TimePoint m_lastUsed;
    base::Duration m_backoff{};
    bool m_isSending = false;
    bool m_isClosed = false;
};

}
