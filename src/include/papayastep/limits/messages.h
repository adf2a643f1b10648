#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/limits/tokens.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// What token brokers tell each other. All are one-way; each may be lost, repeated, late or crossed. Amounts are
/// Tokens, times are microseconds.
namespace papayastep::limits {

/// A wish for tokens of one workspace.
struct TokenAsk
{
    base::WorkspaceId workspace;
    std::uint64_t askId = 0; ///< Number of the wish within the incarnation of its sender.
    Tokens urgent = 0; ///< Requests wait for these.
    Tokens wanted = 0; ///< These would be of use, `urgent` included.
    bool loan = false; ///< From the holder of another share: answer from your own level, and ask nobody.

    auto operator<=>(const TokenAsk &) const = default;
    MSGPACK_DEFINE(workspace, askId, urgent, wanted, loan)
};

/// What became of one grant so far. The amounts are totals since the grant, so a repeated or overtaken message
/// changes nothing.
struct GrantUse
{
    base::WorkspaceId workspace;
    base::Incarnation holder = 0; ///< Incarnation of the holder that granted.
    std::uint64_t grantId = 0;
    Tokens spent = 0;
    Tokens unused = 0; ///< Given up by the receiver, which will never spend them.

    auto operator<=>(const GrantUse &) const = default;
    MSGPACK_DEFINE(workspace, holder, grantId, spent, unused)
};

/// Kind TokenRequest. Entry -> holder, or holder -> holder of another share.
struct TokenRequest
{
    std::vector<TokenAsk> asks;
    std::vector<GrantUse> uses; ///< Rides along for earlier grants.

    auto operator<=>(const TokenRequest &) const = default;
    MSGPACK_DEFINE(asks, uses)
};

/// Kind TokenReturn.
struct TokenReturn
{
    std::vector<GrantUse> uses;

    auto operator<=>(const TokenReturn &) const = default;
    MSGPACK_DEFINE(uses)
};

/// Tokens that may be spent until `validity` after the receiver *asked*.
struct GrantPart
{
    std::uint64_t grantId = 0; ///< Number within the incarnation of the holder.
    Tokens amount = 0;
    std::uint32_t validity = 0;

    auto operator<=>(const GrantPart &) const = default;
    MSGPACK_DEFINE(grantId, amount, validity)
};

/// The one answer to a TokenAsk.
struct GrantAnswer
{
    std::uint64_t askId = 0;
    std::vector<GrantPart> parts;
    std::uint32_t reportWithin = 0; ///< Tell of spending within this time, or the share refills late; 0: no need.
    std::uint32_t retryAfter = 0; ///< When the next token is expected, if fewer than `urgent` were granted.
    Tokens level = 0; ///< What the answering share has left.
    bool busy = false; ///< The share has refused some of its own requests lately.

    auto operator<=>(const GrantAnswer &) const = default;
    MSGPACK_DEFINE(askId, parts, reportWithin, retryAfter, level, busy)
};

/// Kind TokenGrant. Holder -> asker.
struct TokenGrant
{
    base::Incarnation asker = 0; ///< Of the asks answered; another incarnation's grants are ignored.
    std::vector<GrantAnswer> answers;

    auto operator<=>(const TokenGrant &) const = default;
    MSGPACK_DEFINE(asker, answers)
};

/// A wish for tokens out of a workspace's one pool. See PooledLimiter.
struct PoolTokenAsk
{
    base::WorkspaceId workspace;
    std::uint64_t askId = 0; ///< Number of the wish within the incarnation of its sender.
    std::uint32_t urgent = 0; ///< Requests wait for these.
    std::uint32_t wanted = 0; ///< These would be of use, `urgent` included.
    bool relayed = false; ///< Asked on behalf of another node: not to be passed on again.
    /// Tokens that the sender got from others than the home while that was silent: in all since its start, and of these
    /// the part that no home has to charge any more.
    std::uint64_t grantedElsewhere = 0;
    std::uint64_t settledElsewhere = 0;

    auto operator<=>(const PoolTokenAsk &) const = default;
    MSGPACK_DEFINE(workspace, askId, urgent, wanted, relayed, grantedElsewhere, settledElsewhere)
};

/// Kind PoolAsk. Entry -> home of the pool, or -> a node that passes it on.
struct PoolAsk
{
    std::vector<PoolTokenAsk> asks;

    auto operator<=>(const PoolAsk &) const = default;
    MSGPACK_DEFINE(asks)
};

struct PoolAnswer
{
    std::uint64_t askId = 0;
    bool decided = true; ///< False: the sender is no home and reaches none.
    std::uint32_t granted = 0;
    std::uint32_t retryAfterMs = 0; ///< When the next token is expected, if fewer than `urgent` were granted.
    bool standIn = false; ///< The tokens are none of the home's.

    auto operator<=>(const PoolAnswer &) const = default;
    MSGPACK_DEFINE(askId, decided, granted, retryAfterMs, standIn)
};

/// Kind PoolGrant, the answer to PoolAsk.
struct PoolGrant
{
    base::Incarnation asker = 0; ///< Of the asks answered; another incarnation's grants are ignored.
    std::vector<PoolAnswer> answers;

    auto operator<=>(const PoolGrant &) const = default;
    MSGPACK_DEFINE(asker, answers)
};

/// Kind TenureQuery. A VM asks the witnesses of its zone whether they know a newer VM list than its own, and tells
/// them of its own. See ZoneTenure.
struct TenureQuery
{
    std::uint64_t queryId = 0; ///< Number within the incarnation of the asker.
    std::uint64_t listVersion = 0;
    std::uint64_t membersHash = 0; ///< Hash of the zone's VMs in that list.

    auto operator<=>(const TenureQuery &) const = default;
    MSGPACK_DEFINE(queryId, listVersion, membersHash)
};

/// Kind TenureAnswer.
struct TenureAnswer
{
    base::Incarnation asker = 0;
    std::uint64_t queryId = 0;
    std::uint64_t listVersion = 0; ///< The newest list that the witness has heard of, held or not.
    std::uint64_t membersHash = 0; ///< Hash of the zone's VMs in it.
    std::uint64_t unchangedFor = 0; ///< How long the witness has known the zone to have these VMs.

    auto operator<=>(const TenureAnswer &) const = default;
    MSGPACK_DEFINE(asker, queryId, listVersion, membersHash, unchangedFor)
};

}
