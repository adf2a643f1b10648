#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/limits/tokens.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the rate limiters of a fleet. All are one-way; each may be lost, duplicated, delayed or reordered.
/// Amounts are in Tokens and times in microseconds unless a field states another unit.
///
/// An ask is a request for tokens of one workspace that one node sends to another. A grant is an amount of tokens that
/// a node gives in answer to it.
namespace papayastep::limits {

/// An ask for tokens of one workspace, sent to the holder of a share.
struct TokenAsk
{
    base::WorkspaceId workspace;
    std::uint64_t askId = 0; ///< Number of the ask, unique within the incarnation of its sender.
    Tokens urgent = 0; ///< Tokens that requests are waiting for.
    Tokens wanted = 0; ///< Tokens that the sender can use, including `urgent`.
    /// The sender holds another share. The receiver answers from its own level and asks no other holder.
    bool loan = false;

    auto operator<=>(const TokenAsk &) const = default;
    MSGPACK_DEFINE(workspace, askId, urgent, wanted, loan)
};

/// A report on the use of one grant. The amounts are totals since the grant, so a duplicated or reordered report has no
/// effect.
struct GrantUse
{
    base::WorkspaceId workspace;
    base::Incarnation holder = 0; ///< Incarnation of the holder that made the grant.
    std::uint64_t grantId = 0;
    Tokens spent = 0;
    Tokens unused = 0; ///< Tokens that the receiver of the grant returned and will never spend.

    auto operator<=>(const GrantUse &) const = default;
    MSGPACK_DEFINE(workspace, holder, grantId, spent, unused)
};

/// Message of kind TokenRequest, sent by an entry node to a holder, or by a holder to the holder of another share.
struct TokenRequest
{
    std::vector<TokenAsk> asks;
    std::vector<GrantUse> uses; ///< Reports on earlier grants, sent in the same message.

    auto operator<=>(const TokenRequest &) const = default;
    MSGPACK_DEFINE(asks, uses)
};

/// Message of kind TokenReturn: reports on earlier grants without an ask.
struct TokenReturn
{
    std::vector<GrantUse> uses;

    auto operator<=>(const TokenReturn &) const = default;
    MSGPACK_DEFINE(uses)
};

/// One grant. Its tokens may be spent until `validity` has passed since the receiver sent the ask.
struct GrantPart
{
    std::uint64_t grantId = 0; ///< Number of the grant, unique within the incarnation of the holder.
    Tokens amount = 0;
    std::uint32_t validity = 0;

    auto operator<=>(const GrantPart &) const = default;
    MSGPACK_DEFINE(grantId, amount, validity)
};

/// The answer to a TokenAsk. Each ask gets one answer.
struct GrantAnswer
{
    std::uint64_t askId = 0;
    std::vector<GrantPart> parts;
    /// Time within which spends must be reported, because the share refills late otherwise; 0 if no report is needed.
    std::uint32_t reportWithin = 0;
    /// Time until the next token is expected; set if fewer than `urgent` were granted.
    std::uint32_t retryAfter = 0;
    Tokens level = 0; ///< Tokens left in the answering share.
    bool busy = false; ///< The share has recently refused some of its own requests.

    auto operator<=>(const GrantAnswer &) const = default;
    MSGPACK_DEFINE(askId, parts, reportWithin, retryAfter, level, busy)
};

/// Message of kind TokenGrant, sent by a holder to the node that asked.
struct TokenGrant
{
    /// Incarnation that sent the asks. A node ignores grants for another incarnation than its own.
    base::Incarnation asker = 0;
    std::vector<GrantAnswer> answers;

    auto operator<=>(const TokenGrant &) const = default;
    MSGPACK_DEFINE(asker, answers)
};

/// An ask for tokens from the pool of a workspace. See PooledLimiter.
struct PoolTokenAsk
{
    base::WorkspaceId workspace;
    std::uint64_t askId = 0; ///< Number of the ask, unique within the incarnation of its sender.
    std::uint32_t urgent = 0; ///< Whole tokens that requests are waiting for.
    std::uint32_t wanted = 0; ///< Whole tokens that the sender can use, including `urgent`.
    bool relayed = false; ///< Sent on behalf of another node; the receiver does not forward it again.
    /// Whole tokens that the sender has used since its start and that did not come from the home because it did not
    /// answer.
    std::uint64_t grantedElsewhere = 0;
    std::uint64_t settledElsewhere = 0; ///< Part of `grantedElsewhere` that no home has to charge any more.

    auto operator<=>(const PoolTokenAsk &) const = default;
    MSGPACK_DEFINE(workspace, askId, urgent, wanted, relayed, grantedElsewhere, settledElsewhere)
};

/// Message of kind PoolAsk, sent by an entry node to the home of the pool or to a node that forwards it. Without asks
/// it requests only a sign of life.
struct PoolAsk
{
    std::vector<PoolTokenAsk> asks;
    /// Hash of the VMs that can hold pools by the sender's list. 0 if it is not reported.
    std::uint64_t members = 0;
    /// Workspaces of which the sender is the home by its own list. A receiver whose list differs answers for each
    /// which home it takes.
    std::vector<base::WorkspaceId> claims;

    auto operator<=>(const PoolAsk &) const = default;
    MSGPACK_DEFINE(asks, members, claims)
};

/// The answer to a claim of a PoolAsk.
struct ClaimAnswer
{
    base::WorkspaceId workspace;
    base::VmId home; ///< The home by the list of the sender; empty if there is none.

    auto operator<=>(const ClaimAnswer &) const = default;
    MSGPACK_DEFINE(workspace, home)
};

/// The answer to a PoolTokenAsk.
struct PoolAnswer
{
    std::uint64_t askId = 0;
    /// False if the sender did not decide, for example because it is not the home and reaches no home.
    bool decided = true;
    std::uint32_t granted = 0;
    /// Time in milliseconds until the next token is expected; set if fewer than `urgent` were granted.
    std::uint32_t retryAfterMs = 0;
    bool standIn = false; ///< The tokens do not come from the pool of the home.

    auto operator<=>(const PoolAnswer &) const = default;
    MSGPACK_DEFINE(askId, decided, granted, retryAfterMs, standIn)
};

/// Message of kind PoolGrant, the answer to a PoolAsk.
struct PoolGrant
{
    /// Incarnation that sent the asks. A node ignores grants for another incarnation than its own.
    base::Incarnation asker = 0;
    std::vector<PoolAnswer> answers;
    std::uint64_t members = 0; ///< As in PoolAsk.
    std::vector<ClaimAnswer> claims;

    auto operator<=>(const PoolGrant &) const = default;
    MSGPACK_DEFINE(asker, answers, members, claims)
};

/// Message of kind TenureQuery. A VM asks the witnesses of its zone whether they know of a newer VM list than its own,
/// and reports its own list to them. See ZoneTenure.
struct TenureQuery
{
    std::uint64_t queryId = 0; ///< Number of the query, unique within the incarnation of the sender.
    std::uint64_t listVersion = 0;
    std::uint64_t membersHash = 0; ///< Hash of the zone's VMs in that list.

    auto operator<=>(const TenureQuery &) const = default;
    MSGPACK_DEFINE(queryId, listVersion, membersHash)
};

/// Message of kind TenureAnswer, the answer of a witness to a TenureQuery.
struct TenureAnswer
{
    base::Incarnation asker = 0; ///< Incarnation that sent the query.
    std::uint64_t queryId = 0;
    std::uint64_t listVersion = 0; ///< Newest list that the witness knows of, even if it has not received that list.
    std::uint64_t membersHash = 0; ///< Hash of the zone's VMs in that newest list.
    std::uint64_t unchangedFor = 0; ///< Time for which the witness has known the zone to have these VMs.

    auto operator<=>(const TenureAnswer &) const = default;
    MSGPACK_DEFINE(asker, queryId, listVersion, membersHash, unchangedFor)
};

}
