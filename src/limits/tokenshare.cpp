#include "tokenshare.h"

#include <algorithm>

namespace papayastep::limits {

namespace {

constexpr base::Duration spendMemory = std::chrono::seconds(2);
constexpr base::Duration farAway = std::chrono::hours(24);
constexpr std::int64_t nanosPerSecond = 1'000'000'000;
constexpr std::size_t firstSpendCapacity = 4;

/// Returns the tokens that `ratePerSecond` adds in `passed`, at most `limit`. The product may exceed 64 bits.
Tokens refillAmount(Tokens ratePerSecond, base::Duration passed, Tokens limit)
{
    __extension__ using Wide = __int128;
    const Wide amount = static_cast<Wide>(ratePerSecond) * passed.count() / nanosPerSecond;
    return amount < limit ? static_cast<Tokens>(amount) : limit;
}

}

void GrantTable::add(const OpenGrant &grant)
{
    m_grants.push_back(grant);
    m_open += grant.open();
    m_nextExpiry = std::min(m_nextExpiry, grant.expiry);
}

std::optional<GrantChange> GrantTable::report(std::uint64_t id, Tokens spent, Tokens unused)
{
    const auto found
        = std::lower_bound(m_grants.begin(), m_grants.end(), id, [](const OpenGrant &grant, std::uint64_t wanted) {
              return grant.id < wanted;
          });
    if (found == m_grants.end() || found->id != id || spent < 0 || unused < 0) {
        return std::nullopt;
    }
    // Totals only rise; a reordered report has smaller ones. The sums avoid adding received numbers, which could
    // overflow.
    const Tokens newSpent = std::max(spent, found->spent);
    const Tokens newUnused = std::max(unused, found->unused);
    if (newSpent > found->amount || newUnused > found->amount - newSpent) {
        return std::nullopt;
    }
    const GrantChange change{newSpent - found->spent, newUnused - found->unused, found->lot};
    found->spent = newSpent;
    found->unused = newUnused;
    m_open -= change.spent + change.unused;
    if (found->open() == 0) {
        remove(found);
    }
    return change;
}

std::optional<OpenGrant> GrantTable::takeExpired(base::TimePoint now)
{
    if (m_nextExpiry > now) {
        return std::nullopt;
    }
    const auto earliest = std::find_if(
        m_grants.begin(), m_grants.end(), [this](const OpenGrant &grant) { return grant.expiry == m_nextExpiry; });
    const OpenGrant grant = *earliest;
    m_open -= grant.open();
    remove(earliest);
    return grant;
}

base::TimePoint GrantTable::nextExpiry() const
{
    return m_nextExpiry;
}

void GrantTable::remove(std::vector<OpenGrant>::iterator grant)
{
    const bool wasNext = grant->expiry == m_nextExpiry;
    m_grants.erase(grant);
    if (!wasNext) {
        return;
    }
    m_nextExpiry = base::TimePoint::max();
    for (const OpenGrant &left : m_grants) {
        m_nextExpiry = std::min(m_nextExpiry, left.expiry);
    }
}

Tokens GrantTable::open() const
{
    return m_open;
}

bool GrantTable::empty() const
{
    return m_grants.empty();
}

TokenShare::TokenShare(ShareTerms terms, base::TimePoint since)
    : m_terms(terms)
    , m_refilledAt(since)
{
}

void TokenShare::refill(base::TimePoint now)
{
    // Refills in steps, so that each grant occupies its part of the burst only until its own expiry and not for a whole
    // idle time.
    while (m_grants.nextExpiry() <= now) {
        const base::TimePoint expiry = m_grants.nextExpiry();
        refillUntil(expiry);
        m_grants.takeExpired(expiry);
    }
    refillUntil(now);
    while (!m_spends.empty() && m_spends.front().spentAt + spendMemory < now) {
        m_returnable -= m_spends.front().amount;
        m_spends.pop_front();
        ++m_firstSpendNumber;
    }
}

void TokenShare::setTerms(ShareTerms terms)
{
    m_terms = terms;
    m_level = std::max<Tokens>(0, std::min(m_level, m_level + room()));
}

const ShareTerms &TokenShare::terms() const
{
    return m_terms;
}

Tokens TokenShare::level() const
{
    return m_level;
}

Tokens TokenShare::outstanding() const
{
    return m_grants.open();
}

void TokenShare::grant(std::uint64_t id, Tokens amount, base::TimePoint expiry)
{
    m_level -= amount;
    m_grants.add(OpenGrant{id, amount, 0, 0, expiry, 0});
}

bool TokenShare::report(std::uint64_t id, Tokens spent, Tokens unused)
{
    const auto change = m_grants.report(id, spent, unused);
    if (!change) {
        return false;
    }
    // The burst had room for these tokens when they were granted, but may have been lowered since.
    m_level += std::clamp<Tokens>(room(), 0, change->unused);
    return true;
}

std::uint64_t TokenShare::spend(Tokens amount, base::TimePoint now)
{
    m_level -= amount;
    m_returnable += amount;
    if (m_spends.full()) {
        m_spends.set_capacity(std::max(firstSpendCapacity, 2 * m_spends.capacity()));
    }
    m_spends.push_back(Spend{amount, now});
    return m_firstSpendNumber + m_spends.size() - 1;
}

bool TokenShare::giveBack(std::uint64_t spendNumber)
{
    if (spendNumber < m_firstSpendNumber || spendNumber >= m_firstSpendNumber + m_spends.size()) {
        return false;
    }
    Spend &spend = m_spends[spendNumber - m_firstSpendNumber];
    m_returnable -= spend.amount;
    m_level += std::clamp<Tokens>(room(), 0, spend.amount);
    spend.amount = 0;
    return true;
}

bool TokenShare::isUntouched() const
{
    return m_level >= m_terms.burst && m_grants.empty();
}

base::TimePoint TokenShare::timeOfLevel(Tokens level) const
{
    if (level <= m_level) {
        return m_refilledAt;
    }
    if (m_terms.ratePerSecond <= 0) {
        return m_refilledAt + farAway;
    }
    const double seconds = static_cast<double>(level - m_level) / static_cast<double>(m_terms.ratePerSecond);
    const double capped = std::min(seconds, std::chrono::duration<double>(farAway).count());
    return m_refilledAt + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(capped))
        + base::Duration(1);
}

void TokenShare::refillUntil(base::TimePoint until)
{
    if (until <= m_refilledAt) {
        return;
    }
    const base::Duration passed = until - m_refilledAt;
    m_refilledAt = until;
    const Tokens wanted = std::max<Tokens>(0, m_terms.burst - m_level);
    const Tokens gain = refillAmount(m_terms.ratePerSecond, passed, wanted);
    dropOldestSpends(gain);
    m_level += std::clamp<Tokens>(room(), 0, gain);
}

/// Removes the oldest spends until `needed` tokens fit. A spend reserves its part of the burst, so that it can be
/// returned, only while the refill does not need it.
void TokenShare::dropOldestSpends(Tokens needed)
{
    while (room() < needed && !m_spends.empty()) {
        m_returnable -= m_spends.front().amount;
        m_spends.pop_front();
        ++m_firstSpendNumber;
    }
}

Tokens TokenShare::room() const
{
    return m_terms.burst - m_level - m_grants.open() - m_returnable;
}

}
