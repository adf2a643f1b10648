#pragma once

#include "tokenshare.h"

#include "papayastep/limits/messages.h"

#include <optional>
#include <vector>

namespace papayastep::limits {

/// Tokens that a holder elsewhere granted to this node.
struct Lot
{
    std::uint64_t id = 0; ///< Number within this broker.
    base::VmId holder;
    base::Incarnation holderIncarnation = 0;
    std::uint64_t grantId = 0;
    Tokens amount = 0;
    Tokens spent = 0;
    Tokens unused = 0; ///< Returned.
    Tokens lent = 0; ///< Granted on, and not known to be spent or returned.
    Tokens reportedSpent = 0;
    std::uint64_t spends = 0; ///< Counted on even if one is undone.
    std::uint64_t reportedSpends = 0; ///< Up to which of them the holder knows.
    base::TimePoint usableUntil;
    base::TimePoint returnAt; ///< What is left then goes back.
    base::Duration reportWithin{}; ///< 0: spending need not be reported.
    base::TimePoint reportBy = base::TimePoint::max(); ///< When a report is due.

    Tokens remaining() const
    {
        return amount - spent - unused - lent;
    }
};

/// A grant that this node made out of a lot.
struct Sublease
{
    std::uint64_t lot = 0;
    Tokens amount = 0;
    base::TimePoint usableUntil;
};

/// All lots of one workspace.
class LotStore
{
public:
    void add(Lot lot);

    /// Tokens that may be spent at `now`.
    Tokens usable(base::TimePoint now) const;

    /// Spends up to `amount`, from the lots that expire first. Appends what it took from to `parts`, and lowers
    /// `usableUntil` to the first expiry among them. Returns how much it took.
    Tokens spend(Tokens amount, base::TimePoint now, std::vector<TokenPart> &parts, base::TimePoint &usableUntil);

    /// Undoes a spend that was not yet reported to the holder. The place of a reported one may have been refilled; to
    /// undo a later spend in its stead would make a token.
    bool giveBack(const TokenPart &part, base::TimePoint now);

    /// Takes up to `amount` out of one lot, to be granted on as grant `id`.
    std::optional<Sublease> lend(std::uint64_t id, Tokens amount, base::TimePoint now);
    /// A report on a grant made by lend(). False for an unknown one.
    bool report(std::uint64_t id, Tokens spent, Tokens unused, base::TimePoint now);

    /// Removes what has expired, and returns the reports that are due, with the holder of each.
    std::vector<std::pair<base::VmId, GrantUse>> takeDueReports(const base::WorkspaceId &workspace,
                                                                base::TimePoint now);
    /// Reports for `holder` that aren't due yet but can ride along with a message to it.
    std::vector<GrantUse> takeReportsFor(const base::WorkspaceId &workspace, const base::VmId &holder);

    /// When settle() has something to do; TimePoint::max() if never.
    base::TimePoint nextDue() const;
    bool empty() const;
    /// The clock can't be trusted: all lots may have expired.
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
