#pragma once

#include "papayastep/net/httpserver.h"
#include "papayastep/node/nodecontext.h"
#include "papayastep/node/servingnode.h"

namespace papayastep::node {

/// Accepts attempts from other nodes. A request without a valid hop header is refused before anything else is examined,
/// so that no client outside the fleet can bypass the checks of the entry.
class HopHandler final : public net::RequestHandler
{
public:
    HopHandler(NodeContext &context, ServingNode &serving);

    net::Awaitable<void> handle(net::ServerExchange &exchange) override;
    net::WholeAnswer refusal(base::ResultCode code, const std::string &detail) override;

private:
    net::Awaitable<bool> authenticate(net::ServerExchange &exchange, wire::HopRequest &hop, std::string &body);
    net::Awaitable<void> forwardAnswer(net::ServerExchange &exchange, ServedAnswer answer);

    NodeContext &m_context;
    ServingNode &m_serving;
};

}
