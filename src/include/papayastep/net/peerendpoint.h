#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/endpoint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace papayastep::net {

class PeerListener;
class PeerSender;

/// Sends and receives one-way messages between nodes, with one listening socket per node and one outgoing connection
/// per peer. Sending never blocks: messages that a slow peer can't take are dropped, and the protocols above recover
/// from the loss.
class PeerEndpoint
{
public:
    struct Counters
    {
        std::uint64_t messagesSent = 0;
        std::uint64_t bytesSent = 0;
        std::uint64_t messagesReceived = 0;
        std::uint64_t bytesReceived = 0;
        std::uint64_t dropped = 0;
        std::uint64_t silentConnections = 0; ///< Connections closed because the peer acknowledged nothing.
    };
    using Receiver = std::function<void(std::string bytes)>;

    /// Starts to listen; `receive` is called in the thread of `context`. Throws Error(SettingsAddressInUse) if it can't
    /// listen.
    PeerEndpoint(asio::io_context &context, const base::Clock &clock, const Endpoint &listen, Receiver receive);
    ~PeerEndpoint();

    PeerEndpoint(const PeerEndpoint &) = delete;
    PeerEndpoint &operator=(const PeerEndpoint &) = delete;

    /// Queues `bytes` for `peer` and connects to it if needed. Returns false if the message is dropped.
    bool send(const Endpoint &peer, const std::string &bytes);

    /// Closes the connection to `peer`, so that the next message is sent over a new one. For a peer that did not answer
    /// a message: its connection may be silent, and would lose all messages until that is detected.
    void reconnect(const Endpoint &peer);

    /// Closes the connections to peers to which no message was sent for 120 seconds.
    void sweep();

    const Counters &counters() const;
    std::size_t openSockets() const;

private:
    asio::io_context &m_context;
    const base::Clock &m_clock;
    Receiver m_receive;
    std::shared_ptr<Counters> m_counters = std::make_shared<Counters>(); ///< Shared with senders that are closing.
    std::map<Endpoint, std::shared_ptr<PeerSender>> m_senders;
    std::shared_ptr<PeerListener> m_listener;
};

}
