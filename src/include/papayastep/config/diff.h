#pragma once

#include "papayastep/config/configuration.h"

#include <string>
#include <vector>

namespace papayastep::config {

/// How an entry differs between two configurations.
enum class ChangeKind { Added, Removed, Changed };

/// One entry that differs between two configurations.
struct Change
{
    ChangeKind kind = ChangeKind::Changed;
    std::string section; ///< "workspaces", "services", "routes", "backendServers" or "limits".
    std::string id; ///< Id of the entry; empty for "limits".
    std::string before; ///< Old values of the fields that differ, in JSON; empty for an added entry.
    std::string after; ///< New values of the fields that differ, in JSON; empty for a removed entry.

    auto operator<=>(const Change &) const = default;
};

/// Returns the changes that turn `from` into `to`, ordered by section and id.
std::vector<Change> diff(const Configuration &from, const Configuration &to);

/// Returns the merged configuration as the JSON text of a single file. Reading it back gives an equal configuration.
std::string toJson(const Configuration &configuration);

}
