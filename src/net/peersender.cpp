#include "deadpeer.h"
#include "peersender.h"

#include "papayastep/base/log.h"
#include "papayastep/net/task.h"
#include "papayastep/wire/envelope.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace papayastep::net {

namespace {

constexpr std::string_view logPrefix = "net";

/// Maximum number of messages that wait while the connection is being opened or is full. It is small, since old
/// messages are of no use.
constexpr std::size_t maxQueuedMessages = 16;

constexpr base::Duration connectTimeout = std::chrono::milliseconds(500);
/// Time after which a connection on which the peer acknowledges nothing is closed. All that is sent meanwhile is lost,
/// and a node must not miss configurations for two seconds.
constexpr base::Duration deadPeerTimeout = std::chrono::seconds(1);
constexpr base::Duration firstBackoff = std::chrono::milliseconds(50);
constexpr base::Duration longestBackoff = std::chrono::seconds(1);

void appendFrame(std::string &bytes, const std::string &message)
{
    const auto length = static_cast<std::uint32_t>(message.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((length >> shift) & 0xff);
    }
    bytes += message;
}

}

PeerSender::PeerSender(asio::io_context &context, Endpoint peer, std::shared_ptr<PeerEndpoint::Counters> counters)
    : m_context(context)
    , m_peer(std::move(peer))
    , m_counters(std::move(counters))
{
}

bool PeerSender::send(const std::string &message, base::TimePoint now)
{
    m_lastUsed = now;
    if (m_queue.size() >= maxQueuedMessages || message.size() > wire::maxMessageBytes) {
        return false;
    }
    m_queue.push_back(message);
    if (!m_isSending) {
        m_isSending = true;
        spawnTask(m_context, "peer-send", [self = shared_from_this()] { return self->run(); });
    }
    return true;
}

void PeerSender::reconnect()
{
    disconnect();
}

void PeerSender::close()
{
    m_isClosed = true;
    m_queue.clear();
    disconnect();
}

base::TimePoint PeerSender::lastUsed() const
{
    return m_lastUsed;
}

Awaitable<void> PeerSender::run()
{
    try {
        co_await sendQueued();
    } catch (...) {
        // Queued messages would keep the queue full, and nothing would be sent to this peer any more.
        m_queue.clear();
        m_isSending = false;
        throw;
    }
    m_isSending = false;
}

Awaitable<void> PeerSender::sendQueued()
{
    while (!m_isClosed && !m_queue.empty()) {
        if (!m_socket) {
            const bool connected = co_await connect();
            if (!connected) {
                co_await pauseAfterFailure();
            }
            continue;
        }
        std::string bytes;
        for (const std::string &message : m_queue) {
            appendFrame(bytes, message);
        }
        m_queue.clear();
        const Socket socket = m_socket;
        beast::error_code error;
        co_await asio::async_write(*socket, asio::buffer(bytes), into(error));
        if (error) {
            connectionFailed(socket, error);
        }
    }
}

Awaitable<bool> PeerSender::connect()
{
    const auto socket = std::make_shared<tcp::socket>(m_context);
    asio::steady_timer timer(m_context, connectTimeout);
    timer.async_wait([weak = std::weak_ptr<tcp::socket>(socket)](const beast::error_code &error) {
        const Socket overdue = weak.lock();
        if (!error && overdue) {
            beast::error_code ignored;
            overdue->close(ignored);
        }
    });
    beast::error_code error;
    co_await socket->async_connect(toTcp(m_peer), into(error));
    timer.cancel();
    if (error || m_isClosed || !socket->is_open()) {
        co_return false;
    }
    socket->set_option(tcp::no_delay(true), error);
    setUserTimeout(*socket, deadPeerTimeout);
    m_socket = socket;
    m_backoff = base::Duration::zero();
    spawnTask(m_context, "peer-watch", [self = shared_from_this(), socket] { return self->watch(socket); });
    co_return true;
}

/// Detects the end of a connection by a read, although the peer sends nothing on it. Without the read, the end would be
/// detected only after a message has been lost.
Awaitable<void> PeerSender::watch(Socket socket)
{
    std::array<char, 1> byte{};
    beast::error_code error;
    co_await socket->async_read_some(asio::buffer(byte), into(error));
    connectionFailed(socket, error);
}

Awaitable<void> PeerSender::pauseAfterFailure()
{
    m_backoff = std::clamp(m_backoff * 2, firstBackoff, longestBackoff);
    asio::steady_timer timer(m_context, m_backoff);
    beast::error_code ignored;
    co_await timer.async_wait(into(ignored));
}

void PeerSender::connectionFailed(const Socket &socket, const beast::error_code &error)
{
    if (socket != m_socket) {
        return; // The other direction of the connection has reported it.
    }
    if (error == asio::error::timed_out) {
        ++m_counters->silentConnections;
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "Closed a connection to a peer that acknowledged nothing." << base::field("peer", toString(m_peer));
    }
    disconnect();
}

void PeerSender::disconnect()
{
    if (m_socket) {
        beast::error_code ignored;
        m_socket->close(ignored);
        m_socket.reset();
    }
}

}
