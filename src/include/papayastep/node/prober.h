#pragma once

#include "papayastep/node/nodecontext.h"

namespace papayastep::node {

/// Asks the health endpoints of this VM's backend servers where no traffic tells. What they say is only a hint: they
/// lag and mislead, and a probe costs a slot for some 25 ms.
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
