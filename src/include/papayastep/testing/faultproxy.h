#pragma once

#include "papayastep/testing/httpserver.h"

#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace papayastep::testing {

/// Faults of a link. The link forwards all bytes unchanged while every member has its default value.
struct LinkFault
{
    /// Bytes towards the target are read and discarded, which simulates a one-way network failure.
    bool dropToTarget = false;
    bool dropToCaller = false; ///< Bytes towards the caller are read and discarded.
    bool stall = false; ///< Nothing is read, so that the sender's TCP window fills up.
    bool reset = false; ///< Existing and new connections are closed at once with RST.
    double delayMs = 0; ///< Delay of each chunk of bytes.
    double bytesPerSecond = std::numeric_limits<double>::infinity();
    /// Number of bytes towards the caller after which the connection closes.
    std::size_t cutAfter = std::numeric_limits<std::size_t>::max();
};

/// Forwards TCP connections from listening ports to targets on 127.0.0.1, and injects faults into the links on command:
///   PUT /control/link {"listen": P, "drop": "none|to-target|to-caller|both", "stall": false, "reset": false,
///                      "delayMs": 0, "bytesPerSecond": N, "cutAfter": N}
/// Each command replaces the whole fault of the link; a field that it omits is off.
class FaultProxy
{
public:
    /// `links` are "LISTEN:TARGET" port pairs. Throws std::invalid_argument if one has another form.
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
