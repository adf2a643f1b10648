#pragma once

#include "papayastep/config/configuration.h"
#include "papayastep/membership/messages.h"

#include <optional>

namespace papayastep::membership {

/// Returns the update that turns `from` into `to`. Both lists are sorted.
VmListUpdate updateBetween(const config::VmList &from, const config::VmList &to);

/// Returns `list` after `update`, or nothing if the update applies to another version.
std::optional<config::VmList> applyUpdate(const config::VmList &list, const VmListUpdate &update);

}
