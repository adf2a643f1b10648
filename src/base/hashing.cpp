#include "papayastep/base/hashing.h"

#include <xxhash.h>

namespace papayastep::base {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate)
{
    return stableHash(candidate, stableHash(item));
}

}
