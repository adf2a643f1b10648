#pragma once

namespace papayastep::net {

/// What the status of an answer says about the answer itself.
enum class StatusKind {
    Interim, ///< 1xx: a final answer follows. Without 101, which only answers a request to change the protocol.
    Final, ///< 200 to 599.
    Invalid ///< No status (RFC 9110, 15). The answer is broken.
};

/// The library has names for registered statuses only and reports all others as 0, so the functions take numbers.
StatusKind statusKind(unsigned status);

/// Returns whether an answer with this status may have a body.
bool mayHaveBody(unsigned status);

/// Returns whether an answer with this status may have a Content-Length field (RFC 9110, 8.6).
bool mayHaveLength(unsigned status);

}
