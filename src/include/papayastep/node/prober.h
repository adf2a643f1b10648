#pragma once

#include "papayastep/node/servingnode.h"

namespace papayastep::node {

/// Probes the health endpoints of this VM's backend servers when there is not enough traffic to assess them, or when
/// they are down or may be cold. As to their health, the result is only a hint: health endpoints lag behind and can be
/// wrong, and a probe occupies a slot for about 25 ms.
class Prober
{
public:
    Prober(NodeContext &context, ServingNode &serving);

    void start();
    /// Starts the probes that the serving node needs at once.
    void startDueProbes();

private:
    net::Awaitable<void> loop();
    net::Awaitable<void> probe(config::BackendServer server, std::string path);
    void startProbes(const std::vector<base::BackendServerId> &servers);

    NodeContext &m_context;
    ServingNode &m_serving;
};

}
