#pragma once

#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>

namespace papayastep::config {

/// The inverse of readEntry(): every field, also where it has its default.
nlohmann::ordered_json writeEntry(const Workspace &workspace);
nlohmann::ordered_json writeEntry(const Service &service);
nlohmann::ordered_json writeEntry(const Route &route);
nlohmann::ordered_json writeEntry(const BackendServer &server);

/// The inverse of readLimits(): the fields that are set.
nlohmann::ordered_json writeLimits(const CallerLimits &limits);

}
