#include "papayastep/node/interfaces.h"

namespace papayastep::node {

Interfaces nativeInterfaces(net::asio::io_context &io, const base::Clock &clock, const NodeSettings &settings)
{
    Interfaces interfaces;
    interfaces.callers = std::make_unique<NativeCallerProtocol>();
    interfaces.backends = std::make_unique<NativeBackendProtocol>();
    interfaces.platform
        = std::make_shared<net::HttpPlatformClient>(io, clock, settings.platform, interfaces.platformCalls);
    return interfaces;
}

}
