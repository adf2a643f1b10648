#pragma once

#include "papayastep/config/configuration.h"
#include "papayastep/membership/messages.h"

#include <optional>

namespace papayastep::membership {

/// What turns `from` into `to`. Both are sorted.
VmListUpdate updateBetween(const config::VmList &from, const config::VmList &to);

/// `list` after `update`, or nothing if the update is against another version.
std::optional<config::VmList> applyUpdate(const config::VmList &list, const VmListUpdate &update);

}
