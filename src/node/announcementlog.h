#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/routing/serverannouncement.h"

#include <string_view>

namespace papayastep::node {

/// Logs what has changed in the announcements in force of a backend server, one line for each change. `source` says by
/// what: the name of an AnnouncementSource::Kind, "restart" (of the server), "memory" (of this node) or "age".
void logAnnouncementChange(const base::BackendServerId &server,
                           const routing::AnnouncedState &before,
                           const routing::AnnouncedState &after,
                           std::string_view source);

}
