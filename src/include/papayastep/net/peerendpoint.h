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

/// One-way messages between nodes: one listening socket per node, one connection per peer that we talk to. Sends never
/// block; what a slow peer can't take is dropped, and the protocols above repair it.
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
    };
    using Receiver = std::function<void(std::string bytes)>;

    /// Listens at once; `receive` is called in the thread of `context`. Throws Error(SettingsAddressInUse).
    PeerEndpoint(asio::io_context &context, const base::Clock &clock, const Endpoint &listen, Receiver receive);
    ~PeerEndpoint();

    PeerEndpoint(const PeerEndpoint &) = delete;
    PeerEndpoint &operator=(const PeerEndpoint &) = delete;

    /// Sends `bytes`, connecting first where needed. Returns false when the message was dropped.
    bool send(const Endpoint &peer, const std::string &bytes);

    /// Closes sockets to peers that got no message for a while.
    void sweep();

    const Counters &counters() const;
    std::size_t openSockets() const;

private:
    asio::io_context &m_context;
    const base::Clock &m_clock;
    Receiver m_receive;
    Counters m_counters;
    std::map<Endpoint, std::shared_ptr<PeerSender>> m_senders;
    std::shared_ptr<PeerListener> m_listener;
};

}
