#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <vector>

/// The fleet-wide rate and burst of a workspace, and the fair queue in front of a backend server.
///
/// Tokens are conserved: over any window t, all nodes together admit at most rate x t + burst requests of a
/// workspace, whatever restarts, pauses or is cut off. docs/design/limits.md holds the argument.
namespace papayastep::limits {

/// An amount of tokens in billionths of a token. One request costs one whole token; shares and loans are fractions,
/// so that a small burst cut into several shares can still be gathered to a whole token. Whole numbers, so that
/// adding and taking away never makes any.
using Tokens = std::int64_t;

constexpr Tokens oneToken = 1'000'000'000;

/// The largest rate and burst that are honoured, in whole tokens. Larger ones are cut to it.
constexpr double maxWholeTokens = 1e9;

/// `whole` tokens, rounded down; 0 for negative numbers and for what is no number.
Tokens tokensOf(double whole);

/// `amount` as a number of whole tokens.
double wholeTokens(Tokens amount);

/// One source that a token was taken from.
struct TokenPart
{
    std::uint64_t source = 0; ///< Number of the grant or of the local spend within this broker.
    Tokens amount = 0;
    bool local = false; ///< Taken from a share that this node holds.
    std::uint64_t spendNumber = 0; ///< The how manieth spend of the grant it was.

    auto operator<=>(const TokenPart &) const = default;
};

/// The right to hand one request to a backend server, taken by TokenBroker::acquire().
struct Token
{
    base::WorkspaceId workspace;
    std::vector<TokenPart> parts;
    base::TimePoint usableUntil; ///< After it the holder may have granted the token anew: the request must not start.

    auto operator<=>(const Token &) const = default;
};

}
