#pragma once

#include <cstdint>
#include <string_view>

namespace papayastep::base {

/// A 64-bit hash (XXH3) that is the same on every node and release. Not for secrets.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// The weight of `candidate` for `item` in rendezvous (highest random weight) hashing: the candidate with the
/// greatest weight owns the item, and losing one candidate moves only the items it owned.
std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate);

}
