#pragma once

#include "errorlist.h"
#include "merger.h"

namespace papayastep::config {

/// What can only be seen over all entries together: references, keys and routes that stand twice, servers at one
/// address, VMs in two zones. References are left out where `complete` is false, since a file that could not be read
/// would make each reference into it look wrong.
void crossCheck(const Merger &merged, bool complete, ErrorList &errors);

/// What is valid but seldom meant.
void findWarnings(const Merger &merged, ErrorList &warnings);

}
