#pragma once

#include <array>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace papayastep::wire {

constexpr std::size_t tagBytes = 16;
using Tag = std::array<unsigned char, tagBytes>;

/// A key for tags from the fleet secret; `purpose` keeps the keys of different protocols apart, so that a message
/// of one can't be passed off as one of another. Throws Error(SettingsSecretMissing) below 16 bytes.
std::string deriveKey(const std::string &secret, std::string_view purpose);

/// The keyed hash (BLAKE2b) over `parts`, each with its length, so that bytes can't move between parts.
Tag tagOf(const std::string &key, std::initializer_list<std::string_view> parts);

/// Compares in constant time.
bool sameTag(const Tag &tag, std::string_view bytes);

}
