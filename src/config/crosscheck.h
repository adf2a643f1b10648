#pragma once

#include "errorlist.h"
#include "merger.h"

namespace papayastep::config {

/// Reports errors that involve several entries: unknown references, keys of two workspaces, routes with the same
/// host, path prefix and method, backend servers with the same VM, address and port, and VMs in two zones. Also reports
/// a retention that is shorter than the deadline. References are not checked if `complete` is false, because each
/// reference to an entry in a file that could not be read would be reported as unknown.
void crossCheck(const Merger &merged, bool complete, ErrorList &errors);

/// Reports entries that are valid but rarely intended: services without backend servers that accept requests, and
/// workspaces without keys.
void findWarnings(const Merger &merged, ErrorList &warnings);

}
