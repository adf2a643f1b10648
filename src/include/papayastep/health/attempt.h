#pragma once

#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <functional>
#include <string_view>

/// What a node tells about its attempts: the raw evidence of the package.
namespace papayastep::health {

/// Names one attempt of one request, fleet-wide.
struct AttemptKey
{
    base::RequestId request;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptKey &) const = default;
};

/// How an attempt at a backend server ended, as the serving node beside it saw it.
enum class AttemptOutcome {
    Success, ///< A whole answer that is no server error. Its latency counts.
    Error, ///< A whole answer of class 5xx, other than a shed request.
    CallFailed, ///< As Error, because a call of the run failed. Says nothing about the server.
    Partial, ///< The answer broke off.
    Timeout, ///< No whole answer before the deadline.
    ConnectionRefused, ///< The backend server took no connection. Load, unless it lasts.
    Shed, ///< 503: the backend server is busy. Load, unless it lasts.
    CancelledByUs, ///< Given up for reasons that say nothing about the server.
};

/// The name of `outcome`, for metric labels.
std::string_view name(AttemptOutcome outcome);

/// How a hop ended, as the entry saw it.
enum class HopOutcome {
    Answered, ///< A whole answer of the backend server that is no server error.
    ServerFailed, ///< Acknowledged, then an error, a broken or no answer of the backend server.
    Refused, ///< The serving node refused `not-run` (queue full, draining, trial full). Load, not sickness.
    ConnectionFailed, ///< The serving node could not be connected to, or the connection broke before it acknowledged.
    GivenUp, ///< No answer in time. Blames the path without an acknowledgement, else the server.
    CancelledByUs, ///< Given up for reasons that say nothing about path or server.
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
