#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace papayastep::config {

/// Returns `text` as a zstd frame. With a `prefix`, the frame takes space only for what `prefix` does not contain, and
/// decompress() needs the same prefix.
std::string compress(std::string_view text, std::string_view prefix = {});

/// The inverse of compress(). Throws Error(MessageMalformed) for an invalid frame and for a text of more than
/// `maxBytes` bytes. The size is checked before memory is allocated, because a frame of a few bytes could otherwise
/// exhaust the memory of a node.
std::string decompress(std::string_view frame, std::size_t maxBytes, std::string_view prefix = {});

}
