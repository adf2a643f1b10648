#pragma once

#include "papayastep/base/resultcode.h"

#include <string_view>

/// The check of header bytes before they are parsed. Free of I/O, so that it can be fuzzed.
namespace papayastep::net {

/// Returns Ok or the code to refuse the request with.
/// `block` is the raw header block up to and including the empty line.
base::ResultCode checkRawHeader(std::string_view block);

}
