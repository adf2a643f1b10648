#pragma once

#include "papayastep/testing/httpserver.h"

#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace papayastep::testing {

/// What a link does to the bytes that pass. All members off: they pass unharmed.
struct LinkFault
{
    bool dropToTarget = false; ///< Bytes towards the target are read and thrown away: a one-way break.
    bool dropToCaller = false; ///< The other direction.
    bool stall = false; ///< Nothing is read: the sender's window fills up.
    bool reset = false; ///< Connections, old and new, are closed at once with RST.
    double delayMs = 0; ///< Each chunk of bytes waits so long.
    double bytesPerSecond = std::numeric_limits<double>::infinity();
    std::size_t cutAfter
        = std::numeric_limits<std::size_t>::max(); ///< The connection closes after so many bytes towards the caller.
};

/// Passes TCP bytes from listening ports to targets on 127.0.0.1, and breaks the links on command:
///   PUT /control/link {"listen": P, "drop": "none|to-target|to-caller|both", "stall": false, "reset": false,
///                      "delayMs": 0, "bytesPerSecond": N, "cutAfter": N}
/// What is left out is off: each command states the whole fault.
class FaultProxy
{
public:
    /// `links` are "LISTEN:TARGET" port pairs. Throws std::invalid_argument for anything else.
    FaultProxy(boost::asio::io_context &context, std::uint16_t controlPort, const std::vector<std::string> &links);

private:
    struct Link;
    struct Pair;

    static boost::asio::awaitable<void> accept(std::shared_ptr<Link> link);
    static boost::asio::awaitable<void> connect(std::shared_ptr<Pair> pair);
    static boost::asio::awaitable<void> pump(std::shared_ptr<Pair> pair, bool toCaller);
    static boost::asio::awaitable<void> waitAsTold(std::shared_ptr<Pair> pair, std::size_t bytes);
    Response control(const Request &request);

    std::vector<std::shared_ptr<Link>> m_links;
    HttpServer m_control;
};

}
