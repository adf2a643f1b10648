#pragma once

#include "papayastep/net/peerendpoint.h"
#include "papayastep/node/nodecontext.h"
#include "papayastep/wire/envelope.h"

#include <functional>
#include <map>
#include <optional>

namespace papayastep::node {

/// Exchanges messages with other nodes: seals outgoing messages, opens incoming messages, and drops messages that are
/// forged, replayed or addressed to this node itself.
class PeerMessenger
{
public:
    /// Called with each valid message.
    using Receiver = std::function<void(const wire::Envelope &envelope)>;

    PeerMessenger(NodeContext &context, Receiver receiver);

    /// Sends a message. Drops it if the endpoint of the VM is unknown or if the VM is the node's own.
    void send(const wire::Outgoing &message);
    /// Opens a new connection to the VM for the next message.
    void reconnect(const base::VmId &vm);
    void sweep();

    /// Totals of the messages of one kind that were sent.
    struct SentTotals
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; ///< Size of the sealed messages, without framing and TCP overhead.
    };
    const std::map<wire::MessageKind, SentTotals> &sentByKind() const;
    const net::PeerEndpoint::Counters &counters() const;
    std::uint64_t refusedMessages() const;
    std::size_t openSockets() const;

private:
    void receive(const std::string &bytes);
    std::optional<net::Endpoint> endpointOf(const base::VmId &vm) const;
    std::string ownEndpoint() const;
    void learnEndpoint(const wire::Envelope &envelope);

    NodeContext &m_context;
    Receiver m_receiver;
    wire::EnvelopeCodec m_codec;
    wire::ReplayWindow m_replayWindow;
    net::PeerEndpoint m_endpoint;
    std::map<base::VmId, wire::CapabilityBits> m_capabilities; ///< Capabilities that each peer has announced.
    /// Endpoints of senders that are not in the VM list; used only while the VM list is empty.
    std::map<base::VmId, net::Endpoint> m_learnedEndpoints;
    std::uint64_t m_sequence = 0;
    std::map<wire::MessageKind, SentTotals> m_sentByKind;
    std::uint64_t m_refusedMessages = 0;
};

}
