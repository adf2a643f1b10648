#pragma once

#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <functional>
#include <string_view>

/// Events that a node reports about its attempts. They are the input of all health decisions.
namespace papayastep::health {

/// Identifies one attempt of one request across the fleet.
struct AttemptKey
{
    base::RequestId request;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptKey &) const = default;
};

/// How an attempt at a backend server ended, as the serving node beside it observed it.
enum class AttemptOutcome {
    Success, ///< A complete answer without a server error. Only such answers count as latency samples.
    Error, ///< A complete answer with a 5xx status, other than that of a shed request.
    CallFailed, ///< An Error that a failed nested call caused. It is no evidence about the server.
    Partial, ///< The answer ended before it was complete.
    Timeout, ///< No complete answer arrived before the deadline.
    ConnectionRefused, ///< The backend server refused the connection. It counts as load unless it lasts.
    Shed, ///< The backend server answered 503 because it is busy. It counts as load unless it lasts.
    CancelledByUs, ///< This node cancelled the attempt for a reason that is no evidence about the server.
};

/// Returns the name of `outcome` for metric labels.
std::string_view name(AttemptOutcome outcome);

/// How a hop ended, as the entry node observed it.
enum class HopOutcome {
    Answered, ///< The backend server gave a complete answer without a server error.
    ServerFailed, ///< The hop was acknowledged, but the backend server answered with an error, incompletely or not at
                  ///< all.
    Refused, ///< The serving node refused it as `not-run` (queue full, draining, trial full). This is load, not a
             ///< fault.
    ConnectionFailed, ///< The connection to the serving node failed, or broke before the acknowledgement.
    GivenUp, ///< No answer arrived in time. It counts against the server after an acknowledgement, else against the
             ///< path.
    CancelledByUs, ///< This node cancelled the hop for a reason that is no evidence about path or server.
};

}

template<>
struct std::hash<papayastep::health::AttemptKey>
{
    std::size_t operator()(const papayastep::health::AttemptKey &key) const noexcept
    {
        return std::hash<papayastep::base::RequestId>()(key.request) * 31 + key.attempt;
    }
};
