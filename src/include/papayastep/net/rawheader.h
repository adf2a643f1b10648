#pragma once

#include "papayastep/base/resultcode.h"

#include <string_view>

/// A check of header bytes before they are parsed. It does no I/O, so that it can be fuzzed.
namespace papayastep::net {

/// Returns Ok or the code with which to refuse the request. `block` is the raw header up to and including the empty
/// line.
base::ResultCode checkRawHeader(std::string_view block);

}
