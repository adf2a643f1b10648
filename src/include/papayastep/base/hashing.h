#pragma once

#include <cstdint>
#include <string_view>

namespace papayastep::base {

/// Computes a 64-bit hash (XXH3) that is the same on every node and in every release. It is not suitable for secrets.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Computes the weight of `candidate` for `item` in rendezvous (highest random weight) hashing: the candidate with the
/// greatest weight owns the item, and the loss of a candidate moves only the items that it owned.
std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate);

}
