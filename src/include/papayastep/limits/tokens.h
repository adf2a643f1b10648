#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <vector>

/// The fleet-wide rate and burst of a workspace, and the fair queue in front of a backend server.
///
/// TokenBroker conserves tokens: over any window t, all nodes together admit at most rate x t + burst requests of a
/// workspace, even if nodes restart, pause or are partitioned. docs/design/limits.md contains the proof.
namespace papayastep::limits {

/// An amount of tokens in billionths of a token. One request costs one whole token. Shares and loans may be fractions,
/// so that a small burst that is divided into several shares can still be combined to a whole token. The type is an
/// integer so that rounding never creates tokens.
using Tokens = std::int64_t;

constexpr Tokens oneToken = 1'000'000'000;

/// The largest rate and burst in whole tokens. Larger ones are reduced to it.
constexpr double maxWholeTokens = 1e9;

/// Converts `whole` tokens, rounded down. Returns 0 for negative numbers and NaN.
Tokens tokensOf(double whole);

/// Converts `amount` to a number of whole tokens.
double wholeTokens(Tokens amount);

/// The part of a token that was taken from one source.
struct TokenPart
{
    std::uint64_t source = 0; ///< Number of the lot or of the local spend within this broker.
    Tokens amount = 0;
    bool local = false; ///< The part was taken from a share that this node holds.
    std::uint64_t spendNumber = 0; ///< Number of the spend within its lot.

    auto operator<=>(const TokenPart &) const = default;
};

/// The permission to send one request to a backend server, taken by RateLimiter::acquire().
struct Token
{
    base::WorkspaceId workspace;
    std::vector<TokenPart> parts;
    /// Time after which the request must not start, because the holder may have granted the token again.
    base::TimePoint usableUntil;

    auto operator<=>(const Token &) const = default;
};

}
