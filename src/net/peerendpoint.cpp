#include "papayastep/net/peerendpoint.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/wire/envelope.h"

#include <boost/asio/post.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace papayastep::net {

namespace {

constexpr std::string_view logPrefix = "net";

// Messages that wait while a connection is made. Small: an old message helps nobody.
constexpr int sendQueueMessages = 16;
constexpr nng_duration reconnectMin = 50; // milliseconds
constexpr nng_duration reconnectMax = 1000; // milliseconds
constexpr base::Duration idlePeer = std::chrono::seconds(120);

std::string urlOf(const Endpoint &endpoint)
{
    return "tcp://" + toString(endpoint);
}

}

/// The sending side towards one peer.
class PeerEndpoint::Push
{
public:
    explicit Push(const Endpoint &peer)
    {
        if (nng_push0_open(&m_socket) != 0) {
            throw base::Error(base::ResultCode::Internal, "nng can't open a socket");
        }
        nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, sendQueueMessages);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, reconnectMin);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, reconnectMax);
        nng_dial(m_socket, urlOf(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }

    ~Push()
    {
        nng_close(m_socket);
    }

    Push(const Push &) = delete;
    Push &operator=(const Push &) = delete;

    bool send(const std::string &bytes, base::TimePoint now)
    {
        m_lastUsed = now;
        std::string copy = bytes;
        return nng_send(m_socket, copy.data(), copy.size(), NNG_FLAG_NONBLOCK) == 0;
    }

    base::TimePoint lastUsed() const
    {
        return m_lastUsed;
    }

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    base::TimePoint m_lastUsed;
};

/// The receiving side. nng calls back in a thread of its own; the bytes are handed over to the node's thread.
class PeerEndpoint::Pull
{
public:
    Pull(const Endpoint &listen, std::function<void(std::string)> deliver)
        : m_deliver(std::move(deliver))
    {
        if (nng_pull0_open(&m_socket) != 0) {
            throw base::Error(base::ResultCode::Internal, "nng can't open a socket");
        }
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, wire::maxMessageBytes);
        const int result = nng_listen(m_socket, urlOf(listen).c_str(), nullptr, 0);
        if (result != 0) {
            nng_close(m_socket);
            throw base::Error(base::ResultCode::SettingsAddressInUse, toString(listen) + ": " + nng_strerror(result));
        }
        nng_aio_alloc(&m_aio, &Pull::received, this);
        nng_recv_aio(m_socket, m_aio);
    }

    ~Pull()
    {
        nng_close(m_socket);
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }

    Pull(const Pull &) = delete;
    Pull &operator=(const Pull &) = delete;

private:
    static void received(void *argument)
    {
        auto *self = static_cast<Pull *>(argument);
        if (nng_aio_result(self->m_aio) != 0) {
            return; // The socket was closed.
        }
        nng_msg *message = nng_aio_get_msg(self->m_aio);
        std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        self->m_deliver(std::move(bytes));
        nng_recv_aio(self->m_socket, self->m_aio);
    }

    std::function<void(std::string)> m_deliver;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
};

PeerEndpoint::PeerEndpoint(asio::io_context &context,
                           const base::Clock &clock,
                           const Endpoint &listen,
                           Receiver receive)
    : m_context(context)
    , m_clock(clock)
    , m_receive(std::move(receive))
    , m_alive(std::make_shared<bool>(true))
{
    auto deliver = [this, alive = std::weak_ptr<bool>(m_alive)](std::string bytes) {
        asio::post(m_context, [this, alive, bytes = std::move(bytes)]() mutable {
            if (alive.expired()) {
                return;
            }
            ++m_counters.messagesReceived;
            m_counters.bytesReceived += bytes.size();
            m_receive(std::move(bytes));
        });
    };
    m_pull = std::make_unique<Pull>(listen, std::move(deliver));
}

PeerEndpoint::~PeerEndpoint()
{
    m_alive.reset();
}

bool PeerEndpoint::send(const Endpoint &peer, const std::string &bytes)
{
    auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        found = m_peers.emplace(peer, std::make_unique<Push>(peer)).first;
    }
    if (!found->second->send(bytes, m_clock.now())) {
        ++m_counters.dropped;
        VLOG(1) << logPrefix << ": Dropped a message to a slow peer." << base::field("peer", toString(peer));
        return false;
    }
    ++m_counters.messagesSent;
    m_counters.bytesSent += bytes.size();
    return true;
}

void PeerEndpoint::sweep()
{
    const auto oldest = m_clock.now() - idlePeer;
    std::erase_if(m_peers, [&](const auto &entry) { return entry.second->lastUsed() < oldest; });
}

const PeerEndpoint::Counters &PeerEndpoint::counters() const
{
    return m_counters;
}

std::size_t PeerEndpoint::openSockets() const
{
    return m_peers.size();
}

}
