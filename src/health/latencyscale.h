#pragma once

#include "papayastep/base/clock.h"

#include <cstdint>

/// Latencies on a logarithmic scale of one byte, for messages between siblings.
namespace papayastep::health {

/// Steps of an eighth of an octave above 100 microseconds, from 1 up; longer and shorter ones are clamped.
std::uint8_t latencySteps(base::Duration latency);

/// The inverse of latencySteps(), within 9 %; 0 steps are "not known" and give 0.
base::Duration latencyOf(std::uint8_t steps);

}
