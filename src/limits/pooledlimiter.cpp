#include "decodeinto.h"

#include "papayastep/base/hashing.h"
#include "papayastep/base/log.h"
#include "papayastep/limits/pooledlimiter.h"

#include <algorithm>
#include <cmath>

namespace papayastep::limits {

namespace {

constexpr std::string_view logPrefix = "limits";

/// The demand follows the requests of about this time.
constexpr std::chrono::duration<double> demandMemory(1.0);

/// Requests per second above which an entry asks in advance. Below, the tokens would mostly come back unused.
constexpr double demandForPrefetch = 5;

/// Of the burst, with which a pool begins at a new home. More lets a flood through while the old home's tokens are
/// still under way; less refuses callers who keep to their rate.
constexpr double newPoolPart = 0.25;

/// Of the mean time between the requests of a busy workspace at one entry.
constexpr double gapsRemembered = 2;

/// A VM that went off the list longer ago has no part in what flows now.
constexpr base::Duration leftMemory = std::chrono::seconds(10);

/// Nodes that a home asks for a sign of life at each review.
constexpr std::size_t probesAtOnce = 20;

/// The part of a pool is worked out anew this often: it goes over all askers.
constexpr base::Duration reviewInterval = std::chrono::milliseconds(100);

/// Sums of admissions are written this often.
constexpr base::Duration tallyInterval = std::chrono::seconds(1);

constexpr base::Duration shortestRetryAfter = std::chrono::milliseconds(50);
/// Callers who were told to come back later than this had better see what has changed.
constexpr base::Duration longestRetryAfter = std::chrono::seconds(2);

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

base::Duration durationOf(double secondsCount)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(secondsCount));
}

}

void PooledLimiter::Bucket::refill(double rate, double burst, base::TimePoint now)
{
    level = std::min(burst, level + rate * seconds(now - updated));
    updated = now;
}

PooledLimiter::PooledLimiter(BrokerSelf self, const base::Clock &clock, PoolSettings settings)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_settings(settings)
    , m_listChanged(clock.now())
{
}

void PooledLimiter::applyConfiguration(config::ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_homes.clear();
    std::erase_if(m_pools, [&](const auto &entry) { return limited(entry.first) == nullptr; });
    std::erase_if(m_entries, [&](const auto &entry) { return limited(entry.first) == nullptr; });
}

void PooledLimiter::applyVmList(const config::VmList &list, base::TimePoint)
{
    if (list.version <= m_listVersion) {
        return;
    }
    m_listVersion = list.version;
    std::vector<base::VmId> vms;
    for (const config::VmEntry &vm : list.vms) {
        if (!vm.leaving) {
            vms.push_back(vm.id);
        }
    }
    std::sort(vms.begin(), vms.end());
    if (vms != m_vms) {
        noteLeft(vms);
        const auto isGone = [&](const auto &entry) { return !std::binary_search(vms.begin(), vms.end(), entry.first); };
        std::erase_if(m_silentSince, isGone);
        std::erase_if(m_heard, isGone);
        std::erase_if(m_probes, isGone);
        m_vms = std::move(vms);
        m_homes.clear();
        m_listChanged = m_clock.now();
    }
}

void PooledLimiter::noteLeft(const std::vector<base::VmId> &vms)
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(m_left, [&](const auto &left) { return now - left.second > leftMemory; });
    for (const base::VmId &vm : m_vms) {
        if (!std::binary_search(vms.begin(), vms.end(), vm)) {
            m_left[vm] = now;
        }
    }
}

Admission PooledLimiter::acquire(const base::WorkspaceId &workspace, const base::RequestId &request, base::TimePoint)
{
    const config::Workspace *configured = limited(workspace);
    if (configured == nullptr) {
        return Refused{base::ResultCode::KeyUnknown, {}};
    }
    Entry &entry = m_entries[workspace];
    noteDemand(entry);
    if (entry.stock >= 1 && m_clock.now() < entry.stockUntil) {
        entry.stock -= 1;
        ++m_counters.admitted;
        ++tallyOf(workspace).stock;
        return Admitted{tokenOf(workspace)};
    }
    entry.stock = 0;
    const base::VmId home = reachableHome(workspace);
    if (home == m_self.vm && !m_draining) {
        noteAsker(*configured, m_self.vm, m_self.incarnation, {});
        if (takeFromPool(*configured, 1, 1) == 1) {
            ++m_counters.admitted;
            tallyAdmitted(workspace, home);
            if (!isFirstHome(workspace)) {
                noteElsewhere(workspace, 1);
            }
            return Admitted{tokenOf(workspace)};
        }
        ++m_counters.refused;
        ++tallyOf(workspace).refused;
        return Refused{base::ResultCode::RateExceeded, comeBackAfter(*configured), m_self.vm};
    }
    Wish wish;
    wish.workspace = workspace;
    wish.requests.push_back(request);
    const double ahead = entry.demand > demandForPrefetch ? entry.demand * seconds(m_settings.prefetch) : 0;
    wish.wanted = 1 + static_cast<std::uint32_t>(ahead);
    ask(std::move(wish));
    return Waiting{};
}

void PooledLimiter::cancelWaiting(const base::RequestId &request)
{
    for (auto &[number, wish] : m_wishes) {
        std::erase(wish.requests, request);
    }
}

void PooledLimiter::giveBack(const Token &token)
{
    const auto entry = m_entries.find(token.workspace);
    if (entry == m_entries.end()) {
        return;
    }
    ++m_counters.givenBack;
    ++tallyOf(token.workspace).givenBack;
    Entry &kept = entry->second;
    const bool isStale = m_clock.now() >= kept.stockUntil;
    if (isStale || kept.stock < 1) {
        // Only an empty stock begins a new lifetime. If each token that comes back prolonged that of all others, an
        // overload would gather more and more of them.
        kept.stock = 1;
        kept.stockUntil = m_clock.now() + m_settings.stockLifetime;
    } else if (kept.stock < m_settings.mostGivenBack) {
        kept.stock += 1;
    }
}

void PooledLimiter::receive(const base::VmId &from,
                            base::Incarnation incarnation,
                            wire::MessageKind kind,
                            std::string_view payload)
{
    m_suspects.erase(from);
    m_silentSince.erase(from);
    m_probes.erase(from);
    m_heard[from] = m_clock.now();
    PoolAsk ask;
    PoolGrant grant;
    if (kind == wire::MessageKind::PoolAsk && decodeInto(ask, payload)) {
        receiveAsk(from, incarnation, ask);
    } else if (kind == wire::MessageKind::PoolGrant && decodeInto(grant, payload)) {
        receiveGrant(from, grant);
    } else {
        ++m_counters.messagesIgnored;
    }
}

/// A home that did not answer in time is suspected, and the next in the order is asked.
void PooledLimiter::tick()
{
    const base::TimePoint now = m_clock.now();
    std::vector<Wish> overdue;
    for (auto entry = m_wishes.begin(); entry != m_wishes.end();) {
        const auto current = entry++;
        if (current->second.overdue <= now) {
            overdue.push_back(std::move(current->second));
            m_wishes.erase(current);
        }
    }
    for (Wish &wish : overdue) {
        passOver(wish.home);
        ask(std::move(wish));
    }
    std::erase_if(m_suspects, [now](const auto &suspect) { return suspect.second <= now; });
    writeTallies();
}

std::optional<base::TimePoint> PooledLimiter::nextTick() const
{
    std::optional<base::TimePoint> next;
    for (const auto &[number, wish] : m_wishes) {
        next = std::min(next.value_or(wish.overdue), wish.overdue);
    }
    for (const auto &[workspace, tally] : m_tallies) {
        const base::TimePoint due = tally.since + tallyInterval;
        next = std::min(next.value_or(due), due);
    }
    return next;
}

/// Still admits for its own callers, who may go on to send on open connections; it is no home any more.
void PooledLimiter::drain()
{
    m_draining = true;
}

std::vector<wire::Outgoing> PooledLimiter::takeMessages()
{
    std::vector<wire::Outgoing> messages;
    for (const auto &[home, ask] : m_asks) {
        messages.push_back(wire::outgoing(home, wire::MessageKind::PoolAsk, ask));
    }
    for (const auto &[asker, grant] : m_grants) {
        messages.push_back(wire::outgoing(asker.first, wire::MessageKind::PoolGrant, grant));
    }
    m_counters.messagesSent += messages.size();
    m_asks.clear();
    m_grants.clear();
    return messages;
}

std::vector<AdmissionDecision> PooledLimiter::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

bool PooledLimiter::isSettled() const
{
    return true;
}

bool PooledLimiter::chargesRepeats() const
{
    return false;
}

WorkspaceStatus PooledLimiter::status(const base::WorkspaceId &workspace) const
{
    WorkspaceStatus status;
    status.workspace = workspace;
    status.revision = m_configuration ? m_configuration->revision() : 0;
    if (const auto entry = m_entries.find(workspace); entry != m_entries.end()) {
        status.entryTokens = entry->second.stock;
        status.demand = entry->second.demand;
    }
    const config::Workspace *configured = limited(workspace);
    if (configured != nullptr) {
        ShareStatus share;
        share.holder = reachableHome(workspace);
        share.rate = configured->rate;
        share.burst = configured->burst;
        if (const auto pool = m_pools.find(workspace); pool != m_pools.end()) {
            share.held = share.holder == m_self.vm;
            share.level = pool->second.bucket.level;
        }
        status.shares.push_back(share);
    }
    return status;
}

const BrokerCounters &PooledLimiter::counters() const
{
    return m_counters;
}

std::size_t PooledLimiter::activeWorkspaces() const
{
    return m_entries.size();
}

const config::Workspace *PooledLimiter::limited(const base::WorkspaceId &workspace) const
{
    const config::Workspace *configured = m_configuration ? m_configuration->workspace(workspace) : nullptr;
    return configured != nullptr && configured->isLimited() ? configured : nullptr;
}

/// The first two in the order of their weights; more are never asked. Worked out once for each VM list, not for each
/// request: it hashes the name of every VM.
const std::vector<base::VmId> &PooledLimiter::homesOf(const base::WorkspaceId &workspace) const
{
    const auto [place, isNew] = m_homes.try_emplace(workspace);
    if (isNew) {
        place->second = weighHomes(workspace);
    }
    return place->second;
}

std::vector<base::VmId> PooledLimiter::weighHomes(const base::WorkspaceId &workspace) const
{
    std::vector<std::pair<std::uint64_t, const base::VmId *>> weighed;
    weighed.reserve(m_vms.size());
    for (const base::VmId &vm : m_vms) {
        weighed.emplace_back(base::rendezvousWeight(workspace.value(), vm.value()), &vm);
    }
    const std::size_t count = std::min(weighed.size(), static_cast<std::size_t>(m_settings.homesTried));
    std::partial_sort(weighed.begin(),
                      weighed.begin() + static_cast<std::ptrdiff_t>(count),
                      weighed.end(),
                      [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<base::VmId> homes;
    for (std::size_t index = 0; index < count; ++index) {
        homes.push_back(*weighed[index].second);
    }
    return homes;
}

/// Empty: none that could be asked.
base::VmId PooledLimiter::reachableHome(const base::WorkspaceId &workspace) const
{
    for (const base::VmId &home : homesOf(workspace)) {
        if (!isSuspect(home)) {
            return home;
        }
    }
    return {};
}

bool PooledLimiter::isSuspect(const base::VmId &vm) const
{
    const auto suspect = m_suspects.find(vm);
    return suspect != m_suspects.end() && m_clock.now() < suspect->second;
}

/// An entry stands for an even part of the rate, and has it from one side only. A stand-in gives the parts of those who
/// ask it; the home keeps back the parts of those that give no sign of life.
double PooledLimiter::partOfRate(const config::Workspace &workspace, const Pool &pool) const
{
    const base::TimePoint now = m_clock.now();
    const auto all = static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    if (isFirstHome(workspace.id)) {
        const auto silent
            = std::count_if(m_probes.begin(), m_probes.end(), [&](const auto &probe) { return isSilent(probe.first); });
        return std::max(0.0, 1 - static_cast<double>(silent) / all);
    }
    const base::Duration memory = askerMemory(workspace);
    const auto asking = std::count_if(
        pool.askers.begin(), pool.askers.end(), [&](const auto &asker) { return now - asker.second.askedAt < memory; });
    return static_cast<double>(asking) / all;
}

bool PooledLimiter::isSilent(const base::VmId &vm) const
{
    const auto probe = m_probes.find(vm);
    return probe != m_probes.end() && m_clock.now() - probe->second.first >= m_settings.probeInterval;
}

/// Whether a node that comes before this one in the order of homes, or this one, went off the list after `since`.
bool PooledLimiter::wasReplaced(const base::WorkspaceId &workspace, base::TimePoint since) const
{
    const std::uint64_t own = base::rendezvousWeight(workspace.value(), m_self.vm.value());
    return std::any_of(m_left.begin(), m_left.end(), [&](const auto &left) {
        return left.second >= since && base::rendezvousWeight(workspace.value(), left.first.value()) >= own;
    });
}

/// Whether the home was in touch with this node after `since`; what flowed into a stand-in's pool then is not its own.
bool PooledLimiter::homeFellSilent(const base::WorkspaceId &workspace, base::TimePoint since) const
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    const auto silent = homes.empty() ? m_silentSince.end() : m_silentSince.find(homes.front());
    return silent == m_silentSince.end() || silent->second > since;
}

/// A stand-in gives their parts to who asked it so lately. Where requests are rare, entries ask less often.
base::Duration PooledLimiter::askerMemory(const config::Workspace &workspace) const
{
    const double gap = static_cast<double>(m_vms.size()) / workspace.rate;
    const double longest = seconds(m_settings.longestAskerMemory);
    return std::max(durationOf(std::min(gapsRemembered * gap, longest)), m_settings.askerMemory);
}

bool PooledLimiter::isFirstHome(const base::WorkspaceId &workspace) const
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    return !homes.empty() && homes.front() == m_self.vm;
}

void PooledLimiter::noteDemand(Entry &entry)
{
    const base::TimePoint now = m_clock.now();
    const double passed = seconds(now - entry.demandUpdated);
    const double kept = std::exp(-passed / demandMemory.count());
    entry.demand = entry.demand * kept + 1 / demandMemory.count();
    entry.demandUpdated = now;
}

/// The pool with what has flown into it up to now.
PooledLimiter::Pool &PooledLimiter::poolOf(const config::Workspace &workspace)
{
    const base::TimePoint now = m_clock.now();
    const auto [place, isNew] = m_pools.try_emplace(workspace.id);
    Pool &pool = place->second;
    if (isNew) {
        pool.bucket.level = workspace.burst;
    }
    const bool isHome = isFirstHome(workspace.id);
    const bool newHome = isHome && (!pool.isHome || wasReplaced(workspace.id, pool.bucket.updated));
    const bool newStandIn = !isHome && (pool.isHome || homeFellSilent(workspace.id, pool.bucket.updated));
    if (isNew || newHome || newStandIn) {
        beginSpell(workspace, pool);
    }
    if (isNew || now - pool.reviewed >= reviewInterval) {
        review(workspace, pool);
    }
    const double rate = workspace.rate * (1 + m_settings.rateExcess) * pool.part;
    pool.bucket.refill(rate, workspace.burst + m_settings.burstExcess, now);
    return pool;
}

/// This node begins to give for another: that may have given all of its pool out a moment ago. A pool that had filled
/// up meanwhile, for nobody, would be given on top.
void PooledLimiter::beginSpell(const config::Workspace &workspace, Pool &pool)
{
    pool.isHome = isFirstHome(workspace.id);
    pool.spellBegan = m_clock.now();
    pool.bucket.level = std::min(pool.bucket.level, workspace.burst * newPoolPart);
    pool.bucket.updated = pool.isHome ? m_listChanged : m_clock.now();
}

void PooledLimiter::review(const config::Workspace &workspace, Pool &pool)
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(pool.askers, [&](const auto &asker) {
        return now - asker.second.askedAt > m_settings.longestAskerMemory
            || !std::binary_search(m_vms.begin(), m_vms.end(), asker.first);
    });
    pool.part = partOfRate(workspace, pool);
    pool.reviewed = now;
    if (pool.isHome) {
        probeSilent();
    }
}

/// An entry that has no requests says nothing either; only one that doesn't answer can be cut off. In a large fleet the
/// questions go round, a few at a time.
void PooledLimiter::probeSilent()
{
    const base::TimePoint now = m_clock.now();
    if (now - m_lastRound < reviewInterval) {
        return;
    }
    m_lastRound = now;
    std::size_t asked = 0;
    for (std::size_t step = 0; step < m_vms.size() && asked < probesAtOnce; ++step) {
        m_nextProbed = (m_nextProbed + 1) % m_vms.size();
        const base::VmId &vm = m_vms[m_nextProbed];
        const auto heard = m_heard.find(vm);
        const bool heardLately = heard != m_heard.end() && now - heard->second < m_settings.probeInterval;
        if (vm == m_self.vm || heardLately) {
            continue;
        }
        const auto [place, isNew] = m_probes.try_emplace(vm, Probe{now, now});
        if (!isNew && now - place->second.last < m_settings.probeInterval) {
            continue;
        }
        if (now - place->second.last > 2 * m_settings.probeInterval) {
            place->second.first = now; // After a pause in which none was asked, an old question proves nothing.
        }
        place->second.last = now;
        m_asks.try_emplace(vm);
        ++asked;
    }
}

/// An entry that finds the home silent asks with its next request; its part is due from when the spell began, or from
/// when the pool ceased to count it.
void PooledLimiter::creditNewcomer(const config::Workspace &workspace, Pool &pool, base::TimePoint since)
{
    const base::Duration late
        = std::min<base::Duration>(m_clock.now() - std::max(since, pool.spellBegan), m_settings.askerMemory);
    const double part = workspace.rate / static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    pool.bucket.level = std::min(workspace.burst, pool.bucket.level + part * seconds(late));
}

/// Charges what `from` got elsewhere to the home's pool. The totals only rise, so a lost or repeated message changes
/// nothing.
void PooledLimiter::noteAsker(const config::Workspace &workspace,
                              const base::VmId &from,
                              base::Incarnation incarnation,
                              const PoolWish &wish)
{
    if (wish.relayed) {
        return;
    }
    Pool &pool = poolOf(workspace);
    const auto [place, isNew] = pool.askers.try_emplace(from);
    Asker &asker = place->second;
    const base::TimePoint countedUntil = isNew ? pool.spellBegan : asker.askedAt + askerMemory(workspace);
    if (!pool.isHome && countedUntil < m_clock.now()) {
        creditNewcomer(workspace, pool, countedUntil);
    }
    asker.askedAt = m_clock.now();
    if (asker.incarnation != incarnation) {
        asker.incarnation = incarnation;
        asker.charged = 0;
    }
    const std::uint64_t known = std::max(asker.charged, wish.settled);
    if (pool.isHome && wish.elsewhere > known) {
        const double lowest = std::min(pool.bucket.level, -workspace.burst * m_settings.deepestDebt);
        const auto charge = static_cast<double>(wish.elsewhere - known);
        pool.bucket.level = std::max(lowest, pool.bucket.level - charge);
        asker.charged = wish.elsewhere;
    }
}

void PooledLimiter::noteElsewhere(const base::WorkspaceId &workspace, std::uint32_t tokens)
{
    currentDebt(workspace).total += tokens;
}

/// What is older than one or two times the memory is forgotten.
PooledLimiter::Debt &PooledLimiter::currentDebt(const base::WorkspaceId &workspace)
{
    Debt &debt = m_entries[workspace].debt;
    const base::TimePoint now = m_clock.now();
    if (now - debt.mark >= m_settings.debtMemory) {
        const bool isOld = now - debt.mark >= 2 * m_settings.debtMemory;
        debt.settled = std::max(debt.settled, isOld ? debt.total : debt.atMark);
        debt.atMark = debt.total;
        debt.mark = now;
    }
    return debt;
}

std::uint32_t PooledLimiter::takeFromPool(const config::Workspace &workspace,
                                          std::uint32_t urgent,
                                          std::uint32_t wanted)
{
    Pool &pool = poolOf(workspace);
    const auto whole = static_cast<std::uint32_t>(std::max(0.0, pool.bucket.level));
    // In advance only out of a pool that is at least half full: others may have requests waiting.
    const bool plenty = pool.bucket.level > workspace.burst / 2;
    const std::uint32_t granted = std::min(whole, plenty ? std::max(urgent, wanted) : urgent);
    pool.bucket.level -= granted;
    tallyOf(workspace.id).granted += static_cast<int>(granted);
    m_counters.grantsMade += granted > 0 ? 1 : 0;
    m_counters.tokensGranted += granted;
    return granted;
}

/// Those who are refused are told different times, one token apart, so that each finds one when it comes back.
base::Duration PooledLimiter::comeBackAfter(const config::Workspace &workspace)
{
    const base::TimePoint now = m_clock.now();
    Pool &pool = m_pools[workspace.id];
    pool.promisedUntil = std::max(pool.promisedUntil, now) + durationOf(1 / workspace.rate);
    return std::clamp(pool.promisedUntil - now, shortestRetryAfter, longestRetryAfter);
}

bool PooledLimiter::takeAlone(const config::Workspace &workspace, Entry &entry)
{
    const base::TimePoint now = m_clock.now();
    const double rate = workspace.rate / static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    if (!entry.aloneUsed) {
        entry.aloneUsed = true;
        entry.alone = Bucket{m_settings.aloneBurst, now};
    }
    entry.alone.refill(rate, m_settings.aloneBurst, now);
    if (entry.alone.level < 1) {
        return false;
    }
    entry.alone.level -= 1;
    return true;
}

Token PooledLimiter::tokenOf(const base::WorkspaceId &workspace) const
{
    Token token;
    token.workspace = workspace;
    token.usableUntil = base::TimePoint::max();
    return token;
}

/// Asks the next home that is not suspected, or decides alone where there is none.
void PooledLimiter::ask(Wish wish)
{
    const base::VmId home = reachableHome(wish.workspace);
    const config::Workspace *configured = limited(wish.workspace);
    if (configured == nullptr || home.empty() || wish.homesTried >= m_settings.homesTried) {
        decideAlone(wish);
        return;
    }
    const auto urgent = wish.asker.empty() ? static_cast<std::uint32_t>(wish.requests.size()) : wish.askerUrgent;
    if (home == m_self.vm) {
        if (wish.asker.empty()) {
            noteAsker(*configured, m_self.vm, m_self.incarnation, {});
        }
        const std::uint32_t granted = m_draining ? 0 : takeFromPool(*configured, urgent, wish.wanted);
        const base::Duration retryAfter = granted < urgent ? comeBackAfter(*configured) : base::Duration::zero();
        settle(wish, granted, retryAfter, isFirstHome(wish.workspace));
        return;
    }
    const std::uint64_t number = ++m_lastAsk;
    wish.home = home;
    ++wish.homesTried;
    // A stand-in asks the home itself before it answers, which takes a timeout of its own.
    wish.overdue = m_clock.now() + m_settings.askTimeout * wish.homesTried;
    PoolWish message;
    message.workspace = wish.workspace;
    message.ask = number;
    message.urgent = urgent;
    message.wanted = wish.wanted;
    message.relayed = !wish.asker.empty();
    if (!message.relayed) {
        const Debt &debt = currentDebt(wish.workspace);
        message.elsewhere = debt.total;
        message.settled = debt.settled;
        wish.elsewhere = debt.total;
    }
    m_asks[home].wishes.push_back(std::move(message));
    ++m_counters.asksSent;
    m_wishes.emplace(number, std::move(wish));
}

void PooledLimiter::answer(const base::VmId &to, base::Incarnation incarnation, const PoolAnswer &answer)
{
    PoolGrant &grant = m_grants[{to, incarnation}];
    grant.asker = incarnation;
    grant.answers.push_back(answer);
}

void PooledLimiter::decideAlone(const Wish &wish)
{
    if (!wish.asker.empty()) {
        answer(wish.asker, wish.askerIncarnation, PoolAnswer{wish.askerAsk, false, 0, 0, false});
        return;
    }
    const config::Workspace *configured = limited(wish.workspace);
    for (const base::RequestId &request : wish.requests) {
        if (configured == nullptr) {
            m_decisions.push_back({request, Refused{base::ResultCode::KeyUnknown, {}}});
        } else if (takeAlone(*configured, m_entries[wish.workspace])) {
            ++m_counters.admitted;
            ++m_counters.admittedWaiting;
            ++m_counters.admittedAlone;
            ++tallyOf(wish.workspace).alone;
            noteElsewhere(wish.workspace, 1);
            m_decisions.push_back({request, Admitted{tokenOf(wish.workspace)}});
        } else {
            ++m_counters.refused;
            ++m_counters.refusedSilent;
            ++tallyOf(wish.workspace).refused;
            m_decisions.push_back({request, Refused{base::ResultCode::RateExceeded, m_settings.suspicion, {}, true}});
        }
    }
}

/// `ofHome`: the tokens come out of the home's pool, by whatever way.
void PooledLimiter::settle(const Wish &wish, std::uint32_t granted, base::Duration retryAfter, bool ofHome)
{
    if (!wish.asker.empty()) {
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
        answer(wish.asker,
               wish.askerIncarnation,
               PoolAnswer{wish.askerAsk, true, granted, static_cast<std::uint32_t>(milliseconds), !ofHome});
        return;
    }
    if (!ofHome) {
        noteElsewhere(wish.workspace, granted);
    } else if (const auto &homes = homesOf(wish.workspace); !homes.empty() && homes.front() == wish.home) {
        Debt &debt = currentDebt(wish.workspace);
        debt.settled = std::max(debt.settled, wish.elsewhere);
    }
    for (const base::RequestId &request : wish.requests) {
        if (granted > 0) {
            --granted;
            ++m_counters.admitted;
            ++m_counters.admittedWaiting;
            tallyAdmitted(wish.workspace, wish.home);
            m_decisions.push_back({request, Admitted{tokenOf(wish.workspace)}});
        } else {
            ++m_counters.refused;
            ++tallyOf(wish.workspace).refused;
            const base::VmId &by = wish.home.empty() ? m_self.vm : wish.home;
            m_decisions.push_back({request, Refused{base::ResultCode::RateExceeded, retryAfter, by}});
        }
    }
    if (granted > 0) {
        Entry &entry = m_entries[wish.workspace];
        entry.stock = (m_clock.now() < entry.stockUntil ? entry.stock : 0) + granted;
        entry.stockUntil = m_clock.now() + m_settings.stockLifetime;
    }
}

/// An ask without wishes wants a sign of life.
void PooledLimiter::receiveAsk(const base::VmId &from, base::Incarnation incarnation, const PoolAsk &ask)
{
    if (ask.wishes.empty()) {
        m_grants[{from, incarnation}].asker = incarnation;
    }
    for (const PoolWish &wish : ask.wishes) {
        receiveWish(from, incarnation, wish);
    }
}

/// Answers out of the own pool, or passes the wish on to the home that this node can reach: who asked here may have a
/// broken path to it, or an older VM list.
void PooledLimiter::receiveWish(const base::VmId &from, base::Incarnation incarnation, const PoolWish &message)
{
    Wish wish;
    wish.workspace = message.workspace;
    wish.wanted = message.wanted;
    wish.asker = from;
    wish.askerIncarnation = incarnation;
    wish.askerAsk = message.ask;
    wish.askerUrgent = message.urgent;
    const bool passOn = reachableHome(message.workspace) != m_self.vm;
    if (limited(message.workspace) == nullptr || m_draining || (passOn && message.relayed)) {
        answer(from, incarnation, PoolAnswer{message.ask, false, 0, 0, false});
        return;
    }
    if (!passOn) {
        noteAsker(*limited(message.workspace), from, incarnation, message);
    }
    ask(std::move(wish));
}

void PooledLimiter::receiveGrant(const base::VmId &from, const PoolGrant &grant)
{
    if (grant.asker != m_self.incarnation) {
        ++m_counters.messagesIgnored;
        return;
    }
    for (const PoolAnswer &answered : grant.answers) {
        const auto found = m_wishes.find(answered.ask);
        if (found == m_wishes.end()) {
            ++m_counters.messagesIgnored; // Late: the wish was decided without it, and these tokens are lost.
            continue;
        }
        Wish wish = std::move(found->second);
        m_wishes.erase(found);
        if (answered.known) {
            settle(wish, answered.granted, std::chrono::milliseconds(answered.retryAfterMs), !answered.standIn);
        } else {
            passOver(from);
            ask(std::move(wish));
        }
    }
}

void PooledLimiter::passOver(const base::VmId &home)
{
    if (!isSuspect(home)) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "Passing over a node that holds workspaces' rates." << base::field("vm", home)
            << base::field("forMs",
                           std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.suspicion).count());
    }
    m_suspects[home] = m_clock.now() + m_settings.suspicion;
    m_silentSince.try_emplace(home, m_clock.now());
}

PooledLimiter::Tally &PooledLimiter::tallyOf(const base::WorkspaceId &workspace)
{
    const auto [place, isNew] = m_tallies.try_emplace(workspace);
    if (isNew) {
        place->second.since = m_clock.now();
    }
    return place->second;
}

/// `home`: whose answer admitted the request; this node itself where that is empty.
void PooledLimiter::tallyAdmitted(const base::WorkspaceId &workspace, const base::VmId &home)
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    const base::VmId &giver = home.empty() ? m_self.vm : home;
    const bool isHome = !homes.empty() && homes.front() == giver;
    ++(isHome ? tallyOf(workspace).home : tallyOf(workspace).standIn);
}

/// Says once a second who admitted by whose tokens, where it was not all by the home's.
void PooledLimiter::writeTallies()
{
    const base::TimePoint now = m_clock.now();
    for (auto entry = m_tallies.begin(); entry != m_tallies.end();) {
        const auto current = entry++;
        const Tally &tally = current->second;
        if (now - tally.since < tallyInterval) {
            continue;
        }
        const bool byOthers = tally.standIn > 0 || tally.alone > 0;
        if (byOthers || (tally.granted > 0 && !isFirstHome(current->first))) {
            writeTally(current->first, tally);
        }
        m_tallies.erase(current);
    }
}

void PooledLimiter::writeTally(const base::WorkspaceId &workspace, const Tally &tally) const
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    const auto pool = m_pools.find(workspace);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Admitted not only by the home's tokens." << base::field("workspace", workspace)
                                    << base::field("stock", tally.stock) << base::field("home", tally.home)
                                    << base::field("standIn", tally.standIn) << base::field("alone", tally.alone)
                                    << base::field("refused", tally.refused)
                                    << base::field("givenBack", tally.givenBack)
                                    << base::field("granted", tally.granted) << base::field("vms", m_vms.size())
                                    << base::field("homeVm", homes.empty() ? base::VmId() : homes.front())
                                    << base::field("part", pool == m_pools.end() ? 0 : pool->second.part);
}

}
