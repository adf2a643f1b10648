#include "lotstore.h"

#include <algorithm>

namespace papayastep::limits {

void LotStore::add(Lot lot)
{
    const auto later = std::upper_bound(
        m_lots.begin(), m_lots.end(), lot, [](const Lot &a, const Lot &b) { return a.usableUntil < b.usableUntil; });
    m_lots.insert(later, std::move(lot));
}

Tokens LotStore::usable(base::TimePoint now) const
{
    Tokens sum = 0;
    for (const Lot &lot : m_lots) {
        sum += now < lot.usableUntil ? lot.remaining() : 0;
    }
    return sum;
}

Tokens LotStore::spend(Tokens amount, base::TimePoint now, std::vector<TokenPart> &parts, base::TimePoint &usableUntil)
{
    Tokens taken = 0;
    for (Lot &lot : m_lots) {
        const Tokens part = now < lot.usableUntil ? std::min(lot.remaining(), amount - taken) : 0;
        if (part <= 0) {
            continue;
        }
        lot.spent += part;
        markSpent(lot, now);
        parts.push_back(TokenPart{lot.id, part, false, ++lot.spends});
        usableUntil = std::min(usableUntil, lot.usableUntil);
        taken += part;
    }
    return taken;
}

bool LotStore::giveBack(const TokenPart &part, base::TimePoint now)
{
    Lot *lot = find(part.source);
    if (lot == nullptr || now >= lot->usableUntil || part.spendNumber <= lot->reportedSpends) {
        return false;
    }
    lot->spent -= part.amount;
    return true;
}

std::optional<Sublease> LotStore::lend(std::uint64_t id, Tokens amount, base::TimePoint now)
{
    for (Lot &lot : m_lots) {
        const Tokens part = now < lot.usableUntil ? std::min(lot.remaining(), amount) : 0;
        if (part <= 0) {
            continue;
        }
        lot.lent += part;
        m_subleases.add(OpenGrant{id, part, 0, 0, lot.usableUntil, lot.id});
        return Sublease{lot.id, part, lot.usableUntil};
    }
    return std::nullopt;
}

bool LotStore::report(std::uint64_t id, Tokens spent, Tokens unused, base::TimePoint now)
{
    const auto change = m_subleases.report(id, spent, unused);
    if (!change) {
        return false;
    }
    if (Lot *lot = find(change->lot)) {
        lot->lent -= change->spent + change->unused;
        lot->spent += change->spent;
        markSpent(*lot, now);
    }
    return true;
}

std::vector<std::pair<base::VmId, GrantUse>> LotStore::takeDueReports(const base::WorkspaceId &workspace,
                                                                      base::TimePoint now)
{
    expireSubleases(now);
    std::erase_if(m_lots, [now](const Lot &lot) { return lot.usableUntil <= now; });
    std::vector<std::pair<base::VmId, GrantUse>> due;
    for (Lot &lot : m_lots) {
        const bool idle = lot.returnAt <= now && lot.remaining() > 0;
        if (idle) {
            lot.unused += lot.remaining();
        }
        if (idle || lot.reportBy <= now) {
            due.emplace_back(lot.holder, reportOf(workspace, lot));
        }
    }
    std::erase_if(m_lots, [](const Lot &lot) { return lot.reportedSpent + lot.unused == lot.amount; });
    return due;
}

std::vector<GrantUse> LotStore::takeReportsFor(const base::WorkspaceId &workspace, const base::VmId &holder)
{
    std::vector<GrantUse> uses;
    for (Lot &lot : m_lots) {
        if (lot.holder == holder && lot.reportBy != base::TimePoint::max()) {
            uses.push_back(reportOf(workspace, lot));
        }
    }
    return uses;
}

base::TimePoint LotStore::nextDue() const
{
    base::TimePoint due = m_subleases.nextExpiry();
    for (const Lot &lot : m_lots) {
        due = std::min({due, lot.usableUntil, lot.reportBy});
        due = lot.remaining() > 0 ? std::min(due, lot.returnAt) : due;
    }
    return due;
}

bool LotStore::empty() const
{
    return m_lots.empty() && m_subleases.empty();
}

void LotStore::clear()
{
    m_lots.clear();
    m_subleases = GrantTable();
}

GrantUse LotStore::reportOf(const base::WorkspaceId &workspace, Lot &lot)
{
    lot.reportedSpent = lot.spent;
    lot.reportedSpends = lot.spends;
    lot.reportBy = base::TimePoint::max();
    return GrantUse{workspace, lot.holderIncarnation, lot.grantId, lot.spent, lot.unused};
}

void LotStore::markSpent(Lot &lot, base::TimePoint now)
{
    if (lot.reportWithin > base::Duration::zero()) {
        lot.reportBy = std::min(lot.reportBy, now + lot.reportWithin);
    }
}

Lot *LotStore::find(std::uint64_t id)
{
    const auto found = std::find_if(m_lots.begin(), m_lots.end(), [id](const Lot &lot) { return lot.id == id; });
    return found != m_lots.end() ? &*found : nullptr;
}

/// Counts tokens of expired subleases as spent, because they may have been spent without a report.
void LotStore::expireSubleases(base::TimePoint now)
{
    while (const auto expired = m_subleases.takeExpired(now)) {
        if (Lot *lot = find(expired->lot)) {
            lot->lent -= expired->open();
            lot->spent += expired->open();
        }
    }
}

}
