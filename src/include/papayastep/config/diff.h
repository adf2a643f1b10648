#pragma once

#include "papayastep/config/configuration.h"

#include <string>
#include <vector>

namespace papayastep::config {

enum class ChangeKind { Added, Removed, Changed };

/// One entry that differs between two configurations.
struct Change
{
    ChangeKind kind = ChangeKind::Changed;
    std::string section; ///< "workspaces", "services", "routes" or "backendServers".
    std::string id;
    std::string before; ///< JSON of the fields that differ; empty for an added entry.
    std::string after; ///< JSON of the fields that differ; empty for a removed entry.

    auto operator<=>(const Change &) const = default;
};

/// What turns `from` into `to`, by section and id.
std::vector<Change> diff(const Configuration &from, const Configuration &to);

/// The merged configuration as one file's worth of JSON: reading it back gives an equal configuration.
std::string toJson(const Configuration &configuration);

}
