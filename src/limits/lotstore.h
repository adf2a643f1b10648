#pragma once

#include "tokenshare.h"

#include "papayastep/limits/messages.h"

#include <optional>
#include <vector>

namespace papayastep::limits {

/// Tokens that a holder on another node granted to this node.
struct Lot
{
    std::uint64_t id = 0; ///< Number of the lot, unique within this broker.
    base::VmId holder;
    base::Incarnation holderIncarnation = 0;
    std::uint64_t grantId = 0;
    Tokens amount = 0;
    Tokens spent = 0;
    Tokens unused = 0; ///< Tokens returned to the holder.
    Tokens lent = 0; ///< Tokens granted to other nodes, and neither reported as spent nor returned.
    Tokens reportedSpent = 0;
    std::uint64_t spends = 0; ///< Number of spends, including those that were undone.
    std::uint64_t reportedSpends = 0; ///< Number of the last spend that was reported to the holder.
    base::TimePoint usableUntil;
    base::TimePoint returnAt; ///< Time at which the remaining tokens are returned.
    base::Duration reportWithin{}; ///< Time within which a spend is reported; 0 if no report is needed.
    base::TimePoint reportBy = base::TimePoint::max(); ///< Time at which the next report is due.

    Tokens remaining() const
    {
        return amount - spent - unused - lent;
    }
};

/// A grant that this node made from a lot.
struct Sublease
{
    std::uint64_t lot = 0;
    Tokens amount = 0;
    base::TimePoint usableUntil;
};

/// The lots of one workspace.
class LotStore
{
public:
    void add(Lot lot);

    /// Sum of the tokens that may be spent at `now`.
    Tokens usable(base::TimePoint now) const;

    /// Spends up to `amount`, from the lots that expire first. Appends the sources to `parts`, and lowers `usableUntil`
    /// to the first expiry among them. Returns the amount spent.
    Tokens spend(Tokens amount, base::TimePoint now, std::vector<TokenPart> &parts, base::TimePoint &usableUntil);

    /// Undoes a spend that was not yet reported to the holder; returns false for others. The share may have refilled
    /// since a reported spend, and undoing a later spend in its place would create a token.
    bool giveBack(const TokenPart &part, base::TimePoint now);

    /// Takes up to `amount` from one lot, to be granted to another node as grant `id`.
    std::optional<Sublease> lend(std::uint64_t id, Tokens amount, base::TimePoint now);
    /// Applies a report on a grant made by lend(). Returns false for an unknown grant.
    bool report(std::uint64_t id, Tokens spent, Tokens unused, base::TimePoint now);

    /// Removes expired lots, and returns the reports that are due with the holder of each.
    std::vector<std::pair<base::VmId, GrantUse>> takeDueReports(const base::WorkspaceId &workspace,
                                                                base::TimePoint now);
    /// Returns the reports for `holder` that are not due yet, to be sent along with another message.
    std::vector<GrantUse> takeReportsFor(const base::WorkspaceId &workspace, const base::VmId &holder);

    /// Time at which takeDueReports() must be called; TimePoint::max() if there is none.
    base::TimePoint nextDue() const;
    bool empty() const;
    /// Removes all lots. Called if the clock is unreliable, since all lots may have expired.
    void clear();

private:
    GrantUse reportOf(const base::WorkspaceId &workspace, Lot &lot);
    void markSpent(Lot &lot, base::TimePoint now);
    Lot *find(std::uint64_t id);
    void expireSubleases(base::TimePoint now);

    std::vector<Lot> m_lots; ///< Sorted by usableUntil.
    GrantTable m_subleases;
};

}
