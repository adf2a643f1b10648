#pragma once

#include "papayastep/node/nodecontext.h"

namespace papayastep::node {

/// Probes the health endpoints of this VM's backend servers when there is not enough traffic to assess them. The result
/// is only a hint: health endpoints lag behind and can be wrong, and a probe occupies a slot for about 25 ms.
class Prober
{
public:
    explicit Prober(NodeContext &context);

    void start();

private:
    net::Awaitable<void> loop();
    net::Awaitable<void> probe(config::BackendServer server, std::string path);
    void startProbes();

    NodeContext &m_context;
};

}
