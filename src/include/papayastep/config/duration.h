#pragma once

#include "papayastep/base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayastep::config {

/// Reads a whole number with a unit: "250ms", "5s", "2m" or "1h". Nothing for any other text, also where the
/// number does not fit.
std::optional<base::Duration> parseDuration(std::string_view text);

/// The inverse of parseDuration(), with the largest unit that divides `duration`. Parts of a millisecond are cut off.
std::string formatDuration(base::Duration duration);

}
