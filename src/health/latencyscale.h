#pragma once

#include "papayastep/base/clock.h"

#include <cstdint>

/// Logarithmic one-byte encoding of latencies for messages between siblings.
namespace papayastep::health {

/// Returns `latency` in steps of an eighth of an octave above 100 microseconds, clamped to 1 to 255.
std::uint8_t latencySteps(base::Duration latency);

/// The inverse of latencySteps(), within 9 %. 0 steps mean "not known" and give 0.
base::Duration latencyOf(std::uint8_t steps);

}
