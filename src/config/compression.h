#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace papayastep::config {

/// A zstd frame of `text`. With a `prefix`, only what `prefix` does not contain takes room, and the same prefix is
/// needed to read it.
std::string compress(std::string_view text, std::string_view prefix = {});

/// The inverse of compress(). Throws Error(MessageMalformed) for bytes that are no such frame or that hold more than
/// `largest` bytes, before memory for them is taken: else a frame of a few bytes could fill a node's memory.
std::string decompress(std::string_view frame, std::size_t largest, std::string_view prefix = {});

}
