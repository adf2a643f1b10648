#pragma once

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

namespace papayastep::config {

/// The inverse of readEntry(). Fields with default values are written too. Only unset optional fields and a target
/// latency of 0 are omitted, and a workspace without a rate limit is written as "unlimited".
nlohmann::ordered_json writeEntry(const Workspace &workspace);
nlohmann::ordered_json writeEntry(const Service &service);
nlohmann::ordered_json writeEntry(const Route &route);
nlohmann::ordered_json writeEntry(const BackendServer &server);

/// The inverse of readLimits(). Writes only the fields that are set.
nlohmann::ordered_json writeLimits(const CallerLimits &limits);

}
