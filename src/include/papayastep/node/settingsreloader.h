#pragma once

#include "papayastep/node/settings.h"

#include <optional>
#include <string>

namespace papayastep::node {

/// Reads the settings file again when it may have changed. A file that is unreadable or invalid changes nothing: if a
/// mistake in the file ended the node, its backend server would become unreachable too.
class SettingsReloader
{
public:
    SettingsReloader(std::string path, SettingsOverrides overrides);

    /// Reads the settings at the start. Throws Error (2xxx).
    NodeSettings load();

    /// Returns the settings if the text of the file has changed since it was last read. Throws Error (2xxx), once for
    /// each text.
    std::optional<NodeSettings> reloadIfChanged();

private:
    std::string m_path;
    SettingsOverrides m_overrides;
    std::string m_text;
};

/// Returns the names of the settings that differ and can't be changed in a running process, such as addresses,
/// separated by commas.
std::string settingsNeedingRestart(const NodeSettings &running, const NodeSettings &fresh);

/// Returns `running` with the settings of `fresh` that a running process can change.
NodeSettings withReloadableSettings(const NodeSettings &running, const NodeSettings &fresh);

}
