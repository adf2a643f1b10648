#include "papayastep/node/prober.h"

#include "papayastep/base/log.h"
#include "papayastep/net/task.h"

namespace papayastep::node {

namespace {

/// Time between two rounds of probes.
constexpr base::Duration probeInterval = std::chrono::seconds(1);
constexpr base::Duration probeTimeout = std::chrono::milliseconds(800); ///< Expires before the next round begins.
constexpr std::size_t maxAnswerBytes = 4096; ///< Number of bytes of an answer that are buffered.

}

Prober::Prober(NodeContext &context, ServingNode &serving)
    : m_context(context)
    , m_serving(serving)
{
}

void Prober::start()
{
    net::spawnRestartingTask(m_context.io, "probes", [this] { return loop(); });
}

net::Awaitable<void> Prober::loop()
{
    net::asio::steady_timer timer(m_context.io);
    net::beast::error_code error;
    while (!error) {
        timer.expires_after(probeInterval);
        co_await timer.async_wait(net::into(error));
        if (m_context.active.configuration && !m_context.draining) {
            std::vector<base::BackendServerId> servers = m_context.health.serversToProbe();
            std::erase_if(servers, [this](const auto &server) { return !m_serving.takeEjectionProbe(server); });
            startProbes(servers);
        }
    }
}

void Prober::startDueProbes()
{
    if (m_context.active.configuration && !m_context.draining) {
        startProbes(m_serving.takeProbesDue());
    }
}

void Prober::startProbes(const std::vector<base::BackendServerId> &servers)
{
    const auto &configuration = *m_context.active.configuration;
    for (const base::BackendServerId &id : servers) {
        const config::BackendServer *server = configuration.backendServer(id);
        const config::Service *service = server != nullptr ? configuration.service(server->service) : nullptr;
        if (service != nullptr && !service->healthPath.empty()) {
            net::spawnTask(m_context.io, "probe", [this, server = *server, path = service->healthPath] {
                return probe(server, path);
            });
        }
    }
}

net::Awaitable<void> Prober::probe(config::BackendServer server, std::string path)
{
    const net::Endpoint endpoint{server.address, server.port};
    auto exchange = std::make_shared<net::HttpExchange>(m_context.io, m_context.probePool, endpoint);
    net::asio::steady_timer deadline(m_context.io);
    deadline.expires_after(probeTimeout);
    deadline.async_wait([weak = std::weak_ptr<net::HttpExchange>(exchange)](const net::beast::error_code &error) {
        const auto late = weak.lock();
        if (!error && late) {
            late->cancel();
        }
    });
    const base::TimePoint sentAt = m_context.clock.now();
    net::ClientRequest request;
    request.head.method(net::http::verb::get);
    request.head.target(path);
    request.head.set(net::http::field::host, net::toString(endpoint));
    co_await exchange->run(std::move(request), maxAnswerBytes);
    const bool whole = exchange->progress() == net::ExchangeProgress::Complete;
    const bool good = whole && m_context.backends().isHealthy(exchange->head(), server.id);
    m_context.health.probeFinished(server.id, good);
    const routing::ServerAnnouncement announcement
        = whole ? m_context.backends().announcement(exchange->head()) : routing::ServerAnnouncement();
    // A server that reports to be unhealthy is up, too.
    m_serving.probeFinished(server.id, whole, announcement.coldTime);
    if (whole && m_context.backends().isFrom(exchange->head(), server.id)) {
        m_serving.recordAnnouncement(
            server.id, announcement, {routing::AnnouncementSource::Kind::Probe, server.incarnation, sentAt});
    }
    m_context.schedulePump();
    VLOG(1) << "health: Probed a backend server." << base::field("server", server.id) << base::field("good", good);
}

}
