#include "papayastep/limits/tokens.h"

#include <algorithm>
#include <cmath>

namespace papayastep::limits {

Tokens tokensOf(double whole)
{
    // Comparisons with NaN are false, so this form returns 0 for it.
    if (!(whole > 0)) {
        return 0;
    }
    return static_cast<Tokens>(std::floor(std::min(whole, maxWholeTokens) * static_cast<double>(oneToken)));
}

double wholeTokens(Tokens amount)
{
    return static_cast<double>(amount) / static_cast<double>(oneToken);
}

}
