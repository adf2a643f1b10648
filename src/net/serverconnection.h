#pragma once

#include "papayastep/net/asio.h"

#include <memory>

namespace papayastep::net {

class HttpServer;

/// One connection of a server.
class ServerConnection
{
public:
    virtual ~ServerConnection() = default;
    virtual Awaitable<void> run() = 0;
    /// Makes the connection end: at once if it is idle, otherwise after the answers to its open requests.
    virtual void stop() = 0;
};

/// Returns a connection on which several requests are handled concurrently (see PipelineWindow).
std::shared_ptr<ServerConnection> makePipelinedConnection(HttpServer &server, tcp::socket socket);

}
