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
    level = std::min(burst, level + rate * seconds(now - updatedAt));
    updatedAt = now;
}

PooledLimiter::PooledLimiter(NodeIdentity self, const base::Clock &clock, PoolSettings settings)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_settings(settings)
    , m_listChangedAt(clock.now())
{
}

void PooledLimiter::applyConfiguration(config::ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_homes.clear();
    std::erase_if(m_pools, [&](const auto &entry) { return limitedWorkspace(entry.first) == nullptr; });
    std::erase_if(m_entries, [&](const auto &entry) { return limitedWorkspace(entry.first) == nullptr; });
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
        recordRemovedVms(vms);
        const auto isGone = [&](const auto &entry) { return !std::binary_search(vms.begin(), vms.end(), entry.first); };
        std::erase_if(m_silentSince, isGone);
        std::erase_if(m_lastReceivedAt, isGone);
        std::erase_if(m_probes, isGone);
        m_vms = std::move(vms);
        m_homes.clear();
        m_listChangedAt = m_clock.now();
    }
}

void PooledLimiter::recordRemovedVms(const std::vector<base::VmId> &vms)
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(m_removedAt, [&](const auto &left) { return now - left.second > leftMemory; });
    for (const base::VmId &vm : m_vms) {
        if (!std::binary_search(vms.begin(), vms.end(), vm)) {
            m_removedAt[vm] = now;
        }
    }
}

Admission PooledLimiter::acquire(const base::WorkspaceId &workspace, const base::RequestId &request, base::TimePoint)
{
    const config::Workspace *configured = limitedWorkspace(workspace);
    if (configured == nullptr) {
        return Refused{base::ResultCode::KeyUnknown, {}};
    }
    Entry &entry = m_entries[workspace];
    updateDemand(entry);
    if (entry.stock >= 1 && m_clock.now() < entry.stockUntil) {
        entry.stock -= 1;
        ++m_counters.admitted;
        ++tallyOf(workspace).stock;
        return Admitted{makeToken(workspace)};
    }
    entry.stock = 0;
    const base::VmId home = reachableHome(workspace);
    if (home == m_self.vm && !m_draining) {
        recordAsker(*configured, m_self.vm, m_self.incarnation, {});
        if (takeFromPool(*configured, 1, 1) == 1) {
            ++m_counters.admitted;
            countAdmitted(workspace, home);
            if (!isFirstHome(workspace)) {
                addDebt(workspace, 1);
            }
            return Admitted{makeToken(workspace)};
        }
        ++m_counters.refused;
        ++tallyOf(workspace).refused;
        return Refused{base::ResultCode::RateExceeded, nextRetryAfter(*configured), m_self.vm};
    }
    PendingAsk wish;
    wish.workspace = workspace;
    wish.requests.push_back(request);
    const double ahead = entry.demand > demandForPrefetch ? entry.demand * seconds(m_settings.prefetch) : 0;
    wish.wanted = 1 + static_cast<std::uint32_t>(ahead);
    askNextHome(std::move(wish));
    return Waiting{};
}

void PooledLimiter::cancelWaiting(const base::RequestId &request)
{
    for (auto &[number, wish] : m_pendingAsks) {
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
    } else if (kept.stock < m_settings.maxReturnedTokens) {
        kept.stock += 1;
    }
}

void PooledLimiter::receive(const base::VmId &from,
                            base::Incarnation incarnation,
                            wire::MessageKind kind,
                            std::string_view payload)
{
    m_suspectedUntil.erase(from);
    m_silentSince.erase(from);
    m_probes.erase(from);
    m_lastReceivedAt[from] = m_clock.now();
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
    std::vector<PendingAsk> overdue;
    for (auto entry = m_pendingAsks.begin(); entry != m_pendingAsks.end();) {
        const auto current = entry++;
        if (current->second.timeoutAt <= now) {
            overdue.push_back(std::move(current->second));
            m_pendingAsks.erase(current);
        }
    }
    for (PendingAsk &wish : overdue) {
        suspectHome(wish.home);
        askNextHome(std::move(wish));
    }
    std::erase_if(m_suspectedUntil, [now](const auto &suspect) { return suspect.second <= now; });
    logTallies();
}

std::optional<base::TimePoint> PooledLimiter::nextTick() const
{
    std::optional<base::TimePoint> next;
    for (const auto &[number, wish] : m_pendingAsks) {
        next = std::min(next.value_or(wish.timeoutAt), wish.timeoutAt);
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
    for (const auto &[home, ask] : m_outgoingAsks) {
        messages.push_back(wire::outgoing(home, wire::MessageKind::PoolAsk, ask));
    }
    for (const auto &[asker, grant] : m_outgoingGrants) {
        messages.push_back(wire::outgoing(asker.first, wire::MessageKind::PoolGrant, grant));
    }
    m_counters.messagesSent += messages.size();
    m_outgoingAsks.clear();
    m_outgoingGrants.clear();
    return messages;
}

std::vector<AdmissionDecision> PooledLimiter::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

bool PooledLimiter::isReady() const
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
    const config::Workspace *configured = limitedWorkspace(workspace);
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

const LimiterCounters &PooledLimiter::counters() const
{
    return m_counters;
}

std::size_t PooledLimiter::activeWorkspaces() const
{
    return m_entries.size();
}

const config::Workspace *PooledLimiter::limitedWorkspace(const base::WorkspaceId &workspace) const
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
        place->second = rankHomes(workspace);
    }
    return place->second;
}

std::vector<base::VmId> PooledLimiter::rankHomes(const base::WorkspaceId &workspace) const
{
    std::vector<std::pair<std::uint64_t, const base::VmId *>> weighed;
    weighed.reserve(m_vms.size());
    for (const base::VmId &vm : m_vms) {
        weighed.emplace_back(base::rendezvousWeight(workspace.value(), vm.value()), &vm);
    }
    const std::size_t count = std::min(weighed.size(), static_cast<std::size_t>(m_settings.maxHomesTried));
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
    const auto suspect = m_suspectedUntil.find(vm);
    return suspect != m_suspectedUntil.end() && m_clock.now() < suspect->second;
}

/// An entry stands for an even part of the rate, and has it from one side only. A stand-in gives the parts of those who
/// ask it; the home keeps back the parts of those that give no sign of life.
double PooledLimiter::currentRateFraction(const config::Workspace &workspace, const Pool &pool) const
{
    const base::TimePoint now = m_clock.now();
    const auto all = static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    if (isFirstHome(workspace.id)) {
        const auto silent
            = std::count_if(m_probes.begin(), m_probes.end(), [&](const auto &probe) { return isSilent(probe.first); });
        return std::max(0.0, 1 - static_cast<double>(silent) / all);
    }
    const base::Duration memory = askerRetention(workspace);
    const auto asking = std::count_if(
        pool.askers.begin(), pool.askers.end(), [&](const auto &asker) { return now - asker.second.askedAt < memory; });
    return static_cast<double>(asking) / all;
}

bool PooledLimiter::isSilent(const base::VmId &vm) const
{
    const auto probe = m_probes.find(vm);
    return probe != m_probes.end() && m_clock.now() - probe->second.firstSentAt >= m_settings.probeInterval;
}

/// Whether a node that comes before this one in the order of homes, or this one, went off the list after `since`.
bool PooledLimiter::higherRankedVmRemoved(const base::WorkspaceId &workspace, base::TimePoint since) const
{
    const std::uint64_t own = base::rendezvousWeight(workspace.value(), m_self.vm.value());
    return std::any_of(m_removedAt.begin(), m_removedAt.end(), [&](const auto &left) {
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
base::Duration PooledLimiter::askerRetention(const config::Workspace &workspace) const
{
    const double gap = static_cast<double>(m_vms.size()) / workspace.rate;
    const double longest = seconds(m_settings.maxAskerRetention);
    return std::max(durationOf(std::min(gapsRemembered * gap, longest)), m_settings.askerRetention);
}

bool PooledLimiter::isFirstHome(const base::WorkspaceId &workspace) const
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    return !homes.empty() && homes.front() == m_self.vm;
}

void PooledLimiter::updateDemand(Entry &entry)
{
    const base::TimePoint now = m_clock.now();
    const double passed = seconds(now - entry.demandUpdatedAt);
    const double kept = std::exp(-passed / demandMemory.count());
    entry.demand = entry.demand * kept + 1 / demandMemory.count();
    entry.demandUpdatedAt = now;
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
    const bool newHome = isHome && (!pool.isHome || higherRankedVmRemoved(workspace.id, pool.bucket.updatedAt));
    const bool newStandIn = !isHome && (pool.isHome || homeFellSilent(workspace.id, pool.bucket.updatedAt));
    if (isNew || newHome || newStandIn) {
        startServing(workspace, pool);
    }
    if (isNew || now - pool.fractionUpdatedAt >= reviewInterval) {
        updateRateFraction(workspace, pool);
    }
    const double rate = workspace.rate * (1 + m_settings.rateExcess) * pool.rateFraction;
    pool.bucket.refill(rate, workspace.burst + m_settings.burstExcess, now);
    return pool;
}

/// This node begins to give for another: that may have given all of its pool out a moment ago. A pool that had filled
/// up meanwhile, for nobody, would be given on top.
void PooledLimiter::startServing(const config::Workspace &workspace, Pool &pool)
{
    pool.isHome = isFirstHome(workspace.id);
    pool.servingSince = m_clock.now();
    pool.bucket.level = std::min(pool.bucket.level, workspace.burst * newPoolPart);
    pool.bucket.updatedAt = pool.isHome ? m_listChangedAt : m_clock.now();
}

void PooledLimiter::updateRateFraction(const config::Workspace &workspace, Pool &pool)
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(pool.askers, [&](const auto &asker) {
        return now - asker.second.askedAt > m_settings.maxAskerRetention
            || !std::binary_search(m_vms.begin(), m_vms.end(), asker.first);
    });
    pool.rateFraction = currentRateFraction(workspace, pool);
    pool.fractionUpdatedAt = now;
    if (pool.isHome) {
        probeSilentNodes();
    }
}

/// An entry that has no requests says nothing either; only one that doesn't answer can be cut off. In a large fleet the
/// questions go round, a few at a time.
void PooledLimiter::probeSilentNodes()
{
    const base::TimePoint now = m_clock.now();
    if (now - m_lastProbeRoundAt < reviewInterval) {
        return;
    }
    m_lastProbeRoundAt = now;
    std::size_t asked = 0;
    for (std::size_t step = 0; step < m_vms.size() && asked < probesAtOnce; ++step) {
        m_lastProbedIndex = (m_lastProbedIndex + 1) % m_vms.size();
        const base::VmId &vm = m_vms[m_lastProbedIndex];
        const auto heard = m_lastReceivedAt.find(vm);
        const bool heardLately = heard != m_lastReceivedAt.end() && now - heard->second < m_settings.probeInterval;
        if (vm == m_self.vm || heardLately) {
            continue;
        }
        const auto [place, isNew] = m_probes.try_emplace(vm, Probe{now, now});
        if (!isNew && now - place->second.lastSentAt < m_settings.probeInterval) {
            continue;
        }
        if (now - place->second.lastSentAt > 2 * m_settings.probeInterval) {
            place->second.firstSentAt = now; // After a pause in which none was asked, an old question proves nothing.
        }
        place->second.lastSentAt = now;
        m_outgoingAsks.try_emplace(vm);
        ++asked;
    }
}

/// An entry that finds the home silent asks with its next request; its part is due from when the spell began, or from
/// when the pool ceased to count it.
void PooledLimiter::creditNewAsker(const config::Workspace &workspace, Pool &pool, base::TimePoint since)
{
    const base::Duration late
        = std::min<base::Duration>(m_clock.now() - std::max(since, pool.servingSince), m_settings.askerRetention);
    const double part = workspace.rate / static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    pool.bucket.level = std::min(workspace.burst, pool.bucket.level + part * seconds(late));
}

/// Charges what `from` got elsewhere to the home's pool. The totals only rise, so a lost or repeated message changes
/// nothing.
void PooledLimiter::recordAsker(const config::Workspace &workspace,
                                const base::VmId &from,
                                base::Incarnation incarnation,
                                const PoolTokenAsk &wish)
{
    if (wish.relayed) {
        return;
    }
    Pool &pool = poolOf(workspace);
    const auto [place, isNew] = pool.askers.try_emplace(from);
    Asker &asker = place->second;
    const base::TimePoint countedUntil = isNew ? pool.servingSince : asker.askedAt + askerRetention(workspace);
    if (!pool.isHome && countedUntil < m_clock.now()) {
        creditNewAsker(workspace, pool, countedUntil);
    }
    asker.askedAt = m_clock.now();
    if (asker.incarnation != incarnation) {
        asker.incarnation = incarnation;
        asker.charged = 0;
    }
    const std::uint64_t known = std::max(asker.charged, wish.settledElsewhere);
    if (pool.isHome && wish.grantedElsewhere > known) {
        const double lowest = std::min(pool.bucket.level, -workspace.burst * m_settings.maxDebtBursts);
        const auto charge = static_cast<double>(wish.grantedElsewhere - known);
        pool.bucket.level = std::max(lowest, pool.bucket.level - charge);
        asker.charged = wish.grantedElsewhere;
    }
}

void PooledLimiter::addDebt(const base::WorkspaceId &workspace, std::uint32_t tokens)
{
    currentDebt(workspace).total += tokens;
}

/// What is older than one or two times the memory is forgotten.
PooledLimiter::Debt &PooledLimiter::currentDebt(const base::WorkspaceId &workspace)
{
    Debt &debt = m_entries[workspace].debt;
    const base::TimePoint now = m_clock.now();
    if (now - debt.markedAt >= m_settings.debtRetention) {
        const bool isOld = now - debt.markedAt >= 2 * m_settings.debtRetention;
        debt.settled = std::max(debt.settled, isOld ? debt.total : debt.totalAtMark);
        debt.totalAtMark = debt.total;
        debt.markedAt = now;
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
base::Duration PooledLimiter::nextRetryAfter(const config::Workspace &workspace)
{
    const base::TimePoint now = m_clock.now();
    Pool &pool = m_pools[workspace.id];
    pool.lastRetryTime = std::max(pool.lastRetryTime, now) + durationOf(1 / workspace.rate);
    return std::clamp(pool.lastRetryTime - now, shortestRetryAfter, longestRetryAfter);
}

bool PooledLimiter::takeLocally(const config::Workspace &workspace, Entry &entry)
{
    const base::TimePoint now = m_clock.now();
    const double rate = workspace.rate / static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    if (!entry.localBucketUsed) {
        entry.localBucketUsed = true;
        entry.localBucket = Bucket{m_settings.localBurst, now};
    }
    entry.localBucket.refill(rate, m_settings.localBurst, now);
    if (entry.localBucket.level < 1) {
        return false;
    }
    entry.localBucket.level -= 1;
    return true;
}

Token PooledLimiter::makeToken(const base::WorkspaceId &workspace) const
{
    Token token;
    token.workspace = workspace;
    token.usableUntil = base::TimePoint::max();
    return token;
}

/// Asks the next home that is not suspected, or decides alone where there is none.
void PooledLimiter::askNextHome(PendingAsk wish)
{
    const base::VmId home = reachableHome(wish.workspace);
    const config::Workspace *configured = limitedWorkspace(wish.workspace);
    if (configured == nullptr || home.empty() || wish.homesTried >= m_settings.maxHomesTried) {
        decideLocally(wish);
        return;
    }
    const auto urgent = wish.asker.empty() ? static_cast<std::uint32_t>(wish.requests.size()) : wish.askerUrgent;
    if (home == m_self.vm) {
        if (wish.asker.empty()) {
            recordAsker(*configured, m_self.vm, m_self.incarnation, {});
        }
        const std::uint32_t granted = m_draining ? 0 : takeFromPool(*configured, urgent, wish.wanted);
        const base::Duration retryAfter = granted < urgent ? nextRetryAfter(*configured) : base::Duration::zero();
        completeAsk(wish, granted, retryAfter, isFirstHome(wish.workspace));
        return;
    }
    const std::uint64_t number = ++m_lastAsk;
    wish.home = home;
    ++wish.homesTried;
    // A stand-in asks the home itself before it answers, which takes a timeout of its own.
    wish.timeoutAt = m_clock.now() + m_settings.askTimeout * wish.homesTried;
    PoolTokenAsk message;
    message.workspace = wish.workspace;
    message.askId = number;
    message.urgent = urgent;
    message.wanted = wish.wanted;
    message.relayed = !wish.asker.empty();
    if (!message.relayed) {
        const Debt &debt = currentDebt(wish.workspace);
        message.grantedElsewhere = debt.total;
        message.settledElsewhere = debt.settled;
        wish.reportedDebt = debt.total;
    }
    m_outgoingAsks[home].asks.push_back(std::move(message));
    ++m_counters.asksSent;
    m_pendingAsks.emplace(number, std::move(wish));
}

void PooledLimiter::queueAnswer(const base::VmId &to, base::Incarnation incarnation, const PoolAnswer &answer)
{
    PoolGrant &grant = m_outgoingGrants[{to, incarnation}];
    grant.asker = incarnation;
    grant.answers.push_back(answer);
}

void PooledLimiter::decideLocally(const PendingAsk &wish)
{
    if (!wish.asker.empty()) {
        queueAnswer(wish.asker, wish.askerIncarnation, PoolAnswer{wish.askerAskId, false, 0, 0, false});
        return;
    }
    const config::Workspace *configured = limitedWorkspace(wish.workspace);
    for (const base::RequestId &request : wish.requests) {
        if (configured == nullptr) {
            m_decisions.push_back({request, Refused{base::ResultCode::KeyUnknown, {}}});
        } else if (takeLocally(*configured, m_entries[wish.workspace])) {
            ++m_counters.admitted;
            ++m_counters.admittedWaiting;
            ++m_counters.admittedLocally;
            ++tallyOf(wish.workspace).alone;
            addDebt(wish.workspace, 1);
            m_decisions.push_back({request, Admitted{makeToken(wish.workspace)}});
        } else {
            ++m_counters.refused;
            ++m_counters.refusedUnanswered;
            ++tallyOf(wish.workspace).refused;
            m_decisions.push_back(
                {request, Refused{base::ResultCode::RateExceeded, m_settings.suspicionTime, {}, true}});
        }
    }
}

/// `ofHome`: the tokens come out of the home's pool, by whatever way.
void PooledLimiter::completeAsk(const PendingAsk &wish, std::uint32_t granted, base::Duration retryAfter, bool ofHome)
{
    if (!wish.asker.empty()) {
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
        queueAnswer(wish.asker,
                    wish.askerIncarnation,
                    PoolAnswer{wish.askerAskId, true, granted, static_cast<std::uint32_t>(milliseconds), !ofHome});
        return;
    }
    if (!ofHome) {
        addDebt(wish.workspace, granted);
    } else if (const auto &homes = homesOf(wish.workspace); !homes.empty() && homes.front() == wish.home) {
        Debt &debt = currentDebt(wish.workspace);
        debt.settled = std::max(debt.settled, wish.reportedDebt);
    }
    for (const base::RequestId &request : wish.requests) {
        if (granted > 0) {
            --granted;
            ++m_counters.admitted;
            ++m_counters.admittedWaiting;
            countAdmitted(wish.workspace, wish.home);
            m_decisions.push_back({request, Admitted{makeToken(wish.workspace)}});
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
    if (ask.asks.empty()) {
        m_outgoingGrants[{from, incarnation}].asker = incarnation;
    }
    for (const PoolTokenAsk &wish : ask.asks) {
        receiveTokenAsk(from, incarnation, wish);
    }
}

/// Answers out of the own pool, or passes the wish on to the home that this node can reach: who asked here may have a
/// broken path to it, or an older VM list.
void PooledLimiter::receiveTokenAsk(const base::VmId &from, base::Incarnation incarnation, const PoolTokenAsk &message)
{
    PendingAsk wish;
    wish.workspace = message.workspace;
    wish.wanted = message.wanted;
    wish.asker = from;
    wish.askerIncarnation = incarnation;
    wish.askerAskId = message.askId;
    wish.askerUrgent = message.urgent;
    const bool passOn = reachableHome(message.workspace) != m_self.vm;
    if (limitedWorkspace(message.workspace) == nullptr || m_draining || (passOn && message.relayed)) {
        queueAnswer(from, incarnation, PoolAnswer{message.askId, false, 0, 0, false});
        return;
    }
    if (!passOn) {
        recordAsker(*limitedWorkspace(message.workspace), from, incarnation, message);
    }
    askNextHome(std::move(wish));
}

void PooledLimiter::receiveGrant(const base::VmId &from, const PoolGrant &grant)
{
    if (grant.asker != m_self.incarnation) {
        ++m_counters.messagesIgnored;
        return;
    }
    for (const PoolAnswer &answered : grant.answers) {
        const auto found = m_pendingAsks.find(answered.askId);
        if (found == m_pendingAsks.end()) {
            ++m_counters.messagesIgnored; // Late: the wish was decided without it, and these tokens are lost.
            continue;
        }
        PendingAsk wish = std::move(found->second);
        m_pendingAsks.erase(found);
        if (answered.decided) {
            completeAsk(wish, answered.granted, std::chrono::milliseconds(answered.retryAfterMs), !answered.standIn);
        } else {
            suspectHome(from);
            askNextHome(std::move(wish));
        }
    }
}

void PooledLimiter::suspectHome(const base::VmId &home)
{
    if (!isSuspect(home)) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "Passing over a node that holds workspaces' rates." << base::field("vm", home)
            << base::field("forMs",
                           std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.suspicionTime).count());
    }
    m_suspectedUntil[home] = m_clock.now() + m_settings.suspicionTime;
    m_silentSince.try_emplace(home, m_clock.now());
}

PooledLimiter::AdmissionTally &PooledLimiter::tallyOf(const base::WorkspaceId &workspace)
{
    const auto [place, isNew] = m_tallies.try_emplace(workspace);
    if (isNew) {
        place->second.since = m_clock.now();
    }
    return place->second;
}

/// `home`: whose answer admitted the request; this node itself where that is empty.
void PooledLimiter::countAdmitted(const base::WorkspaceId &workspace, const base::VmId &home)
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    const base::VmId &giver = home.empty() ? m_self.vm : home;
    const bool isHome = !homes.empty() && homes.front() == giver;
    ++(isHome ? tallyOf(workspace).home : tallyOf(workspace).standIn);
}

/// Says once a second who admitted by whose tokens, where it was not all by the home's.
void PooledLimiter::logTallies()
{
    const base::TimePoint now = m_clock.now();
    for (auto entry = m_tallies.begin(); entry != m_tallies.end();) {
        const auto current = entry++;
        const AdmissionTally &tally = current->second;
        if (now - tally.since < tallyInterval) {
            continue;
        }
        const bool byOthers = tally.standIn > 0 || tally.alone > 0;
        if (byOthers || (tally.granted > 0 && !isFirstHome(current->first))) {
            logTally(current->first, tally);
        }
        m_tallies.erase(current);
    }
}

void PooledLimiter::logTally(const base::WorkspaceId &workspace, const AdmissionTally &tally) const
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
                                    << base::field("part", pool == m_pools.end() ? 0 : pool->second.rateFraction);
}

}
