#include "papayastep/net/peerendpoint.h"
#include "peerlistener.h"
#include "peersender.h"

#include "papayastep/base/log.h"

namespace papayastep::net {

namespace {

constexpr std::string_view logPrefix = "net";

constexpr base::Duration peerIdleTimeout = std::chrono::seconds(120);

}

PeerEndpoint::PeerEndpoint(asio::io_context &context,
                           const base::Clock &clock,
                           const Endpoint &listen,
                           Receiver receive)
    : m_context(context)
    , m_clock(clock)
    , m_receive(std::move(receive))
{
    m_listener = std::make_shared<PeerListener>(context, listen, [this](std::string message) {
        ++m_counters->messagesReceived;
        m_counters->bytesReceived += message.size();
        m_receive(std::move(message));
    });
    m_listener->start();
}

PeerEndpoint::~PeerEndpoint()
{
    m_listener->close();
    for (const auto &[peer, sender] : m_senders) {
        sender->close();
    }
}

bool PeerEndpoint::send(const Endpoint &peer, const std::string &bytes)
{
    auto &sender = m_senders[peer];
    if (!sender) {
        sender = std::make_shared<PeerSender>(m_context, peer, m_counters);
    }
    if (!sender->send(bytes, m_clock.now())) {
        ++m_counters->dropped;
        VLOG(1) << logPrefix << ": Dropped a message to a slow peer." << base::field("peer", toString(peer));
        return false;
    }
    ++m_counters->messagesSent;
    m_counters->bytesSent += bytes.size();
    return true;
}

void PeerEndpoint::reconnect(const Endpoint &peer)
{
    const auto sender = m_senders.find(peer);
    if (sender != m_senders.end()) {
        sender->second->reconnect();
    }
}

void PeerEndpoint::sweep()
{
    const auto oldest = m_clock.now() - peerIdleTimeout;
    std::erase_if(m_senders, [&](const auto &entry) {
        const bool isIdle = entry.second->lastUsed() < oldest;
        if (isIdle) {
            entry.second->close();
        }
        return isIdle;
    });
}

const PeerEndpoint::Counters &PeerEndpoint::counters() const
{
    return *m_counters;
}

std::size_t PeerEndpoint::openSockets() const
{
    return m_senders.size();
}

}
