#pragma once

#include "papayastep/node/settings.h"

#include <optional>
#include <string>

namespace papayastep::node {

/// Reads the settings file again when it may have changed. A file that is unreadable or wrong changes nothing: a node
/// that ended over a slip in a file would take its backend server with it.
class SettingsReloader
{
public:
    SettingsReloader(std::string path, SettingsOverrides overrides);

    /// The settings at the start. Throws Error (2xxx).
    NodeSettings load();

    /// The settings if the file's text has changed since it was last read. Throws Error (2xxx), once for each text.
    std::optional<NodeSettings> reloadIfChanged();

private:
    std::string m_path;
    SettingsOverrides m_overrides;
    std::string m_text;
};

/// Names of the members that differ and can't change in a running process, such as addresses; empty: none.
std::string settingsNeedingRestart(const NodeSettings &running, const NodeSettings &fresh);

/// `running` with all of `fresh` that a running process can take over.
NodeSettings withReloadableSettings(const NodeSettings &running, const NodeSettings &fresh);

}
