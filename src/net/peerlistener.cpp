#include "deadpeer.h"
#include "peerlistener.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/task.h"
#include "papayastep/wire/envelope.h"

#include <array>
#include <optional>

namespace papayastep::net {

namespace {

constexpr std::string_view logPrefix = "net";
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t readBytes = 4u << 10;
constexpr base::Duration pauseAfterFailure = std::chrono::milliseconds(100);

/// Time after which a connection to a peer that has disappeared is closed. Such connections would otherwise use up the
/// file descriptors of a node that runs for weeks.
constexpr base::Duration keepAliveTimeout = std::chrono::seconds(120);

/// Extracts the messages from a stream of bytes that arrives in pieces.
class FrameReader
{
public:
    void append(std::string_view bytes)
    {
        m_bytes.append(bytes);
    }

    /// Whether the length of the next message is invalid: too large, or 0.
    bool isBroken() const
    {
        const auto length = nextLength();
        return length && (*length == 0 || *length > wire::maxMessageBytes);
    }

    std::optional<std::string> next()
    {
        const auto length = nextLength();
        if (!length || isBroken() || m_bytes.size() - m_begin < lengthBytes + *length) {
            m_bytes.erase(0, m_begin);
            m_begin = 0;
            return std::nullopt;
        }
        std::string message = m_bytes.substr(m_begin + lengthBytes, *length);
        m_begin += lengthBytes + *length;
        return message;
    }

private:
    std::optional<std::size_t> nextLength() const
    {
        if (m_bytes.size() - m_begin < lengthBytes) {
            return std::nullopt;
        }
        std::size_t length = 0;
        for (std::size_t index = 0; index < lengthBytes; ++index) {
            length = length << 8 | static_cast<unsigned char>(m_bytes[m_begin + index]);
        }
        return length;
    }

    std::string m_bytes;
    std::size_t m_begin = 0; ///< Position of the next message in m_bytes.
};

}

PeerListener::PeerListener(asio::io_context &context, const Endpoint &listen, Receiver receive)
    : m_context(context)
    , m_acceptor(context)
    , m_receive(std::move(receive))
{
    try {
        const tcp::endpoint endpoint = toTcp(listen);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        throw base::Error(base::ResultCode::SettingsAddressInUse, toString(listen) + ": " + error.what());
    }
}

void PeerListener::start()
{
    spawnRestartingTask(m_context, "peer-accept", [self = shared_from_this()] { return self->acceptAll(); });
}

void PeerListener::close()
{
    m_isClosed = true;
    beast::error_code ignored;
    m_acceptor.close(ignored);
    for (const Socket &socket : m_connections) {
        socket->close(ignored);
    }
}

Awaitable<void> PeerListener::acceptAll()
{
    while (!m_isClosed) {
        const auto socket = std::make_shared<tcp::socket>(m_context);
        beast::error_code error;
        co_await m_acceptor.async_accept(*socket, into(error));
        if (m_isClosed) {
            co_return;
        }
        if (error) {
            asio::steady_timer timer(m_context, pauseAfterFailure);
            co_await timer.async_wait(into(error));
            continue;
        }
        enableKeepAlive(*socket, keepAliveTimeout);
        m_connections.insert(socket);
        spawnTask(m_context, "peer-read", [self = shared_from_this(), socket] { return self->readAll(socket); });
    }
}

Awaitable<void> PeerListener::readAll(Socket socket)
{
    std::array<char, readBytes> buffer;
    FrameReader frames;
    beast::error_code error;
    while (!m_isClosed && !error) {
        const std::size_t count = co_await socket->async_read_some(asio::buffer(buffer), into(error));
        frames.append(std::string_view(buffer.data(), count));
        while (auto message = m_isClosed ? std::nullopt : frames.next()) {
            runStep(m_context, "peer-message", [&] { m_receive(std::move(*message)); });
        }
        if (frames.isBroken()) {
            PAPAYASTEP_LOG(WARNING, logPrefix) << "Closed a peer connection that sent an invalid message length.";
            break;
        }
    }
    beast::error_code ignored;
    socket->close(ignored);
    m_connections.erase(socket);
}

}
