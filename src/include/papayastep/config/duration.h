#pragma once

#include "papayastep/base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayastep::config {

/// Parses a whole number with a unit, such as "250ms", "5s", "2m" or "1h". Returns nullopt for any other text, and if
/// the duration does not fit into base::Duration.
std::optional<base::Duration> parseDuration(std::string_view text);

/// The inverse of parseDuration(). Uses the largest unit that divides `duration`. Fractions of a millisecond are
/// truncated.
std::string formatDuration(base::Duration duration);

}
