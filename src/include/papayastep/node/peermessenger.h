#pragma once

#include "papayastep/net/peerendpoint.h"
#include "papayastep/node/nodecontext.h"
#include "papayastep/wire/envelope.h"

#include <functional>
#include <map>
#include <optional>

namespace papayastep::node {

/// Messages between nodes: seals what goes out, opens what comes in, and drops what is forged, repeated or ours.
class PeerMessenger
{
public:
    /// Called with each good message.
    using Receiver = std::function<void(const wire::Envelope &envelope)>;

    PeerMessenger(NodeContext &context, Receiver receiver);

    /// Drops the message where the VM is not listed.
    void send(const wire::Outgoing &message);
    void sweep();

    /// What was sent of one kind of message.
    struct SentTotals
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; ///< Sealed, without the framing's and TCP's own.
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
    std::map<base::VmId, wire::CapabilityBits> m_capabilities; ///< What each peer said it can do.
    /// Of senders that our VM list does not name; only while it names nobody.
    std::map<base::VmId, net::Endpoint> m_learnedEndpoints;
    std::uint64_t m_sequence = 0;
    std::map<wire::MessageKind, SentTotals> m_sentByKind;
    std::uint64_t m_refusedMessages = 0;
};

}
