#include "papayastep/node/peerlink.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "peer";

}

PeerLink::PeerLink(NodeContext &context, Receiver receive)
    : m_context(context)
    , m_receive(std::move(receive))
    , m_codec(context.settings.secret)
    , m_endpoint(
          context.io, context.clock, context.settings.peer, [this](const std::string &bytes) { received(bytes); })
{
}

void PeerLink::send(const wire::Outgoing &message)
{
    const config::VmEntry *vm = m_context.vms.find(message.to);
    if (vm == nullptr || message.to == m_context.settings.vm) {
        return;
    }
    wire::Envelope envelope;
    envelope.sender = m_context.settings.vm;
    envelope.incarnation = m_context.incarnation;
    envelope.sequence = ++m_sequence;
    envelope.revision = m_context.inForce.configuration ? m_context.inForce.configuration->revision() : 0;
    envelope.capabilities = wire::allCapabilities;
    envelope.kind = message.kind;
    envelope.payload = message.payload;
    // An older peer may not read compressed payloads; one that was never heard is taken for such.
    const auto known = m_capabilities.find(message.to);
    const bool compress = known != m_capabilities.end() && (known->second & wire::capabilityCompressed) != 0;
    m_endpoint.send({vm->address, vm->peerPort}, m_codec.seal(envelope, compress));
}

void PeerLink::sweep()
{
    m_endpoint.sweep();
}

const net::PeerEndpoint::Counters &PeerLink::counters() const
{
    return m_endpoint.counters();
}

std::uint64_t PeerLink::refused() const
{
    return m_refused;
}

std::size_t PeerLink::openSockets() const
{
    return m_endpoint.openSockets();
}

void PeerLink::received(const std::string &bytes)
{
    try {
        const wire::Envelope envelope = m_codec.open(bytes);
        if (!m_window.accept(envelope.sender, envelope.incarnation, envelope.sequence)) {
            throw base::Error(base::ResultCode::MessageReplayed, envelope.sender.value());
        }
        m_capabilities[envelope.sender] = envelope.capabilities;
        m_receive(envelope);
    } catch (const base::Error &error) {
        ++m_refused;
        PAPAYASTEP_LOG(WARNING, logPrefix) << "Refused a message." << base::field("code", number(error.code()))
                                           << base::field("detail", error.detail());
    }
}

}
