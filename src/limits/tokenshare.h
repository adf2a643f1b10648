#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/limits/tokens.h"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace papayastep::limits {

/// Rate and burst of a share.
struct ShareTerms
{
    Tokens ratePerSecond = 0;
    Tokens burst = 0;

    auto operator<=>(const ShareTerms &) const = default;
};

/// A grant whose tokens may still be spent by its receiver.
struct OpenGrant
{
    std::uint64_t id = 0;
    Tokens amount = 0;
    Tokens spent = 0; ///< Total that the receiver has reported as spent.
    Tokens unused = 0; ///< Total that the receiver has returned.
    base::TimePoint expiry; ///< Time from which on the receiver certainly cannot spend the tokens.
    std::uint64_t lot = 0; ///< Lot from which the tokens were taken; 0 for the level of the own share.

    Tokens open() const
    {
        return amount - spent - unused;
    }
};

/// The changes of a grant by one report.
struct GrantChange
{
    Tokens spent = 0;
    Tokens unused = 0;
    std::uint64_t lot = 0;
};

/// Open grants, sorted by id.
class GrantTable
{
public:
    void add(const OpenGrant &grant);

    /// Applies the totals of a report. Returns nullopt for an unknown grant (closed, expired or never made), and for a
    /// report that claims more than was granted.
    std::optional<GrantChange> report(std::uint64_t id, Tokens spent, Tokens unused);

    /// Removes and returns a grant that has expired by `now`, the earliest first.
    std::optional<OpenGrant> takeExpired(base::TimePoint now);

    /// Earliest expiry of a grant; TimePoint::max() if there is none.
    base::TimePoint nextExpiry() const;
    Tokens open() const;
    bool empty() const;

private:
    void remove(std::vector<OpenGrant>::iterator grant);

    std::vector<OpenGrant> m_grants;
    Tokens m_open = 0;
    base::TimePoint m_nextExpiry = base::TimePoint::max();
};

/// Share of a workspace's rate and burst that this node holds.
///
/// Invariant: level + open grants + spends that can still be returned <= burst, at any time. A spend lowers the actual
/// sum of unspent tokens by its amount and only the refill raises it, so in any window of length t the spends are at
/// most burst + rate x t. Every grant counts as unspent until it is reported or certainly expired.
class TokenShare
{
public:
    /// Creates a share that was empty at `since` and has refilled from then on.
    TokenShare(ShareTerms terms, base::TimePoint since);

    /// Refills up to `now`. Must be called before any other function for that time.
    void refill(base::TimePoint now);

    /// Sets rate and burst. A smaller burst lowers the level at once.
    void setTerms(ShareTerms terms);
    const ShareTerms &terms() const;

    Tokens level() const;
    Tokens outstanding() const;

    /// Grants `amount` (at most level()) until `expiry`.
    void grant(std::uint64_t id, Tokens amount, base::TimePoint expiry);
    /// Applies a report, see GrantTable::report(). Unused tokens are added to the level. Returns false for a rejected
    /// report.
    bool report(std::uint64_t id, Tokens spent, Tokens unused);

    /// Spends `amount` (at most level()) at this node. Returns the number of the spend.
    std::uint64_t spend(Tokens amount, base::TimePoint now);
    /// Undoes a spend. Returns false if the share may have refilled since, because the returned token would then exceed
    /// the burst.
    bool giveBack(std::uint64_t spendNumber);

    /// Whether the share is full and has no open grant, and so is equivalent to a new one.
    bool isUntouched() const;
    /// Time at which the level will have risen to `level` if nothing is taken, at most a day ahead; a day ahead for a
    /// share without a rate.
    base::TimePoint timeOfLevel(Tokens level) const;

private:
    struct Spend
    {
        Tokens amount = 0; ///< Tokens spent; 0 after they were returned.
        base::TimePoint spentAt;
    };

    void refillUntil(base::TimePoint until);
    void dropOldestSpends(Tokens needed);
    Tokens room() const;

    ShareTerms m_terms;
    Tokens m_level = 0;
    Tokens m_returnable = 0; ///< Sum of the amounts in m_spends.
    base::TimePoint m_refilledAt;
    GrantTable m_grants;
    boost::circular_buffer<Spend> m_spends; ///< Spends that may still be returned, the oldest first.
    std::uint64_t m_firstSpendNumber = 1; ///< Number of m_spends.front().
};

}
