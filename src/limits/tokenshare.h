#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/limits/tokens.h"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace papayastep::limits {

/// What a share may give out.
struct ShareTerms
{
    Tokens ratePerSecond = 0;
    Tokens burst = 0;

    auto operator<=>(const ShareTerms &) const = default;
};

/// Tokens that were given away and may still be spent elsewhere.
struct OpenGrant
{
    std::uint64_t id = 0;
    Tokens amount = 0;
    Tokens spent = 0; ///< Known so far.
    Tokens unused = 0; ///< Returned so far.
    base::TimePoint expiry; ///< From then on the receiver surely can't spend them.
    std::uint64_t lot = 0; ///< The lot they were taken from; 0: the own level.

    Tokens open() const
    {
        return amount - spent - unused;
    }
};

/// How a report changed a grant.
struct GrantChange
{
    Tokens spent = 0;
    Tokens unused = 0;
    std::uint64_t lot = 0;
};

/// Grants that may still be spent elsewhere, in the order of their ids.
class GrantTable
{
public:
    void add(const OpenGrant &grant);

    /// Takes in the totals of a report. Nothing for an unknown grant (closed, expired, or never made) and for a report
    /// that claims more than was granted.
    std::optional<GrantChange> report(std::uint64_t id, Tokens spent, Tokens unused);

    /// Removes and returns a grant that has expired by `now`, the earliest first.
    std::optional<OpenGrant> takeExpired(base::TimePoint now);

    /// TimePoint::max() without any grant.
    base::TimePoint nextExpiry() const;
    Tokens open() const;
    bool empty() const;

private:
    void remove(std::vector<OpenGrant>::iterator grant);

    std::vector<OpenGrant> m_grants;
    Tokens m_open = 0;
    base::TimePoint m_nextExpiry = base::TimePoint::max();
};

/// The part of a workspace's rate and burst that this node holds.
///
/// Invariant: level + open grants + spends that can still be given back <= burst, at any time. A spend lowers the
/// true sum of unspent tokens by one and only the refill raises it; so in any window of length t the spends are
/// at most burst + rate x t. Every grant counts as unspent until it is reported or surely expired.
class TokenShare
{
public:
    /// Refills since `since`, at which it was empty.
    TokenShare(ShareTerms terms, base::TimePoint since);

    /// Refills up to `now`. To be called before anything else at that time.
    void refill(base::TimePoint now);

    /// A smaller burst cuts the level at once.
    void setTerms(ShareTerms terms);
    const ShareTerms &terms() const;

    Tokens level() const;
    Tokens outstanding() const;

    /// Gives `amount` (at most level()) away until `expiry`.
    void grant(std::uint64_t id, Tokens amount, base::TimePoint expiry);
    /// See GrantTable::report(). Unused tokens come back to the level.
    bool report(std::uint64_t id, Tokens spent, Tokens unused);

    /// Spends `amount` (at most level()) here. Returns the number of the spend.
    std::uint64_t spend(Tokens amount, base::TimePoint now);
    /// Undoes a spend, unless its place has been refilled since: then a token given back would be one too many.
    bool giveBack(std::uint64_t spendNumber);

    /// Full and nothing outstanding: as good as a new share.
    bool isUntouched() const;
    /// When the level will have risen to `level`, if nothing is taken; a far time for a share without a rate.
    base::TimePoint timeOfLevel(Tokens level) const;

private:
    struct Spend
    {
        Tokens amount = 0; ///< 0 once given back.
        base::TimePoint spentAt;
    };

    void refillUntil(base::TimePoint until);
    void dropOldestSpends(Tokens needed);
    Tokens room() const;

    ShareTerms m_terms;
    Tokens m_level = 0;
    Tokens m_returnable = 0; ///< Sum of m_spends.
    base::TimePoint m_refilledAt;
    GrantTable m_grants;
    boost::circular_buffer<Spend> m_spends; ///< Those that may still be given back, the oldest first.
    std::uint64_t m_firstSpendNumber = 1; ///< Number of m_spends.front().
};

}
