#include "papayastep/node/peermessenger.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "peer";

}

PeerMessenger::PeerMessenger(NodeContext &context, Receiver receiver)
    : m_context(context)
    , m_receiver(std::move(receiver))
    , m_codec(context.settings.secret)
    , m_endpoint(context.io, context.clock, context.settings.peer, [this](const std::string &bytes) { receive(bytes); })
{
}

void PeerMessenger::send(const wire::Outgoing &message)
{
    const auto endpoint = endpointOf(message.to);
    if (!endpoint || message.to == m_context.settings.vm) {
        return;
    }
    wire::Envelope envelope;
    envelope.sender = m_context.settings.vm;
    envelope.incarnation = m_context.incarnation;
    envelope.sequence = ++m_sequence;
    envelope.revision = m_context.active.configuration ? m_context.active.configuration->revision() : 0;
    envelope.capabilities = wire::allCapabilities;
    envelope.kind = message.kind;
    envelope.payload = message.payload;
    if (message.kind == wire::MessageKind::RevisionNotice) {
        envelope.replyTo = ownEndpoint();
    }
    // Older peers may be unable to read compressed payloads; a peer whose capabilities are unknown is treated as an
    // older one.
    const auto known = m_capabilities.find(message.to);
    const bool compress = known != m_capabilities.end() && (known->second & wire::capabilityCompressed) != 0;
    const std::string sealed = m_codec.seal(envelope, compress);
    SentTotals &tally = m_sentByKind[message.kind];
    ++tally.messages;
    tally.bytes += sealed.size();
    m_context.transfers.record(purposeOf(message.kind), m_context.isInOtherZone(message.to), sealed.size());
    m_endpoint.send(*endpoint, sealed);
}

void PeerMessenger::reconnect(const base::VmId &vm)
{
    if (const auto endpoint = endpointOf(vm)) {
        m_endpoint.reconnect(*endpoint);
    }
}

void PeerMessenger::sweep()
{
    m_endpoint.sweep();
}

const std::map<wire::MessageKind, PeerMessenger::SentTotals> &PeerMessenger::sentByKind() const
{
    return m_sentByKind;
}

const net::PeerEndpoint::Counters &PeerMessenger::counters() const
{
    return m_endpoint.counters();
}

std::uint64_t PeerMessenger::refusedMessages() const
{
    return m_refusedMessages;
}

std::size_t PeerMessenger::openSockets() const
{
    return m_endpoint.openSockets();
}

std::optional<net::Endpoint> PeerMessenger::endpointOf(const base::VmId &vm) const
{
    if (const config::VmEntry *entry = m_context.vms.find(vm)) {
        return net::Endpoint{entry->address, entry->peerPort};
    }
    const auto learned = m_learnedEndpoints.find(vm);
    return learned != m_learnedEndpoints.end() ? std::optional(learned->second) : std::nullopt;
}

std::string PeerMessenger::ownEndpoint() const
{
    const config::VmEntry *self = m_context.vms.find(m_context.settings.vm);
    return self != nullptr ? net::toString({self->address, self->peerPort}) : std::string();
}

// A node that starts while the platform is unavailable has no VM list. Without endpoints it could answer no peer and
// would wait for hours although its peers have all the data that it needs. The sender of a revision notice names its
// endpoint, which is enough to request the list from it.
void PeerMessenger::learnEndpoint(const wire::Envelope &envelope)
{
    constexpr std::size_t maxLearned = 64;
    if (!m_context.vms.vms.empty()) {
        m_learnedEndpoints.clear();
    } else if (!envelope.replyTo.empty() && m_learnedEndpoints.size() < maxLearned) {
        m_learnedEndpoints[envelope.sender] = net::parseEndpoint(envelope.replyTo);
    }
}

void PeerMessenger::receive(const std::string &bytes)
{
    try {
        const wire::Envelope envelope = m_codec.open(bytes);
        if (!m_replayWindow.accept(envelope.sender, envelope.incarnation, envelope.sequence)) {
            throw base::Error(base::ResultCode::MessageReplayed, envelope.sender.value());
        }
        m_capabilities[envelope.sender] = envelope.capabilities;
        learnEndpoint(envelope);
        m_receiver(envelope);
    } catch (const base::Error &error) {
        ++m_refusedMessages;
        PAPAYASTEP_LOG(WARNING, logPrefix) << "Rejected a message." << base::field("code", number(error.code()))
                                           << base::field("detail", error.detail());
    }
}

}
