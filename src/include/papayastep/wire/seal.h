#pragma once

#include <array>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace papayastep::wire {

constexpr std::size_t tagBytes = 16;
using Tag = std::array<unsigned char, tagBytes>;

/// Derives a key for authentication tags from the fleet secret. `purpose` makes the keys of different protocols differ,
/// so that a message of one protocol is not accepted by another. Throws Error(SettingsSecretMissing) if the secret has
/// fewer than 16 bytes.
std::string deriveKey(const std::string &secret, std::string_view purpose);

/// Computes the authentication tag: the keyed hash (BLAKE2b) over `parts`, each preceded by its length, so that bytes
/// can't be moved from one part to another.
Tag tagOf(const std::string &key, std::initializer_list<std::string_view> parts);

/// Computes the tag of `first` and of a second part that is given in pieces, as if these were joined.
Tag tagOfPieces(const std::string &key, std::string_view first, std::initializer_list<std::string_view> second);

/// Compares a tag with `bytes` in constant time.
bool sameTag(const Tag &tag, std::string_view bytes);

}
