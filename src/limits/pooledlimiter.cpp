#include "decodeinto.h"

#include "papayastep/base/hashing.h"
#include "papayastep/base/log.h"
#include "papayastep/limits/pooledlimiter.h"

#include <algorithm>
#include <cmath>

namespace papayastep::limits {

namespace {

constexpr std::string_view logPrefix = "limits";

/// Time constant of the moving average of the demand.
constexpr std::chrono::duration<double> demandTimeConstant(1.0);

/// Requests per second above which an entry asks for tokens in advance. Below, most of these tokens would stay unused.
constexpr double demandForPrefetch = 5;

/// Fraction of the burst with which a pool starts at a new home or stand-in. A larger one admits too much in an
/// overload while tokens of the previous home are still in use; a smaller one refuses callers that keep to their rate.
constexpr double newPoolFraction = 0.25;

/// Time for which an entry counts as an asker, in mean intervals between two requests at one entry if the workspace
/// uses its whole rate.
constexpr double askerRetentionGaps = 2;

/// Time for which a VM that was removed from the list is kept. Longer ago, it no longer affects the current pools.
constexpr base::Duration removedVmRetention = std::chrono::seconds(10);

/// Largest number of nodes that a home probes in one round.
constexpr std::size_t maxProbesPerRound = 20;

/// Largest number of workspaces that a probe names.
constexpr std::size_t maxClaimsPerProbe = 16;

/// Time for which a home counts as having just started to give tokens. Changes of the list reach most nodes within it.
constexpr base::Duration startTime = std::chrono::seconds(1);

/// Interval between updates of the rate fraction of a pool. An update iterates over all askers.
constexpr base::Duration reviewInterval = std::chrono::milliseconds(100);

/// Interval between log lines on the admissions of a workspace.
constexpr base::Duration tallyInterval = std::chrono::seconds(1);

constexpr base::Duration shortestRetryAfter = std::chrono::milliseconds(50);
/// Callers that would wait longer than this should retry earlier, because conditions may have changed.
constexpr base::Duration longestRetryAfter = std::chrono::seconds(2);

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint64_t hashOf(const std::vector<base::VmId> &vms)
{
    std::uint64_t hash = vms.size();
    for (const base::VmId &vm : vms) {
        hash = base::stableHash(vm.value(), hash);
    }
    return hash;
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
    , m_agreement(clock)
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
    if (list.version < m_listVersion) {
        return;
    }
    m_listVersion = list.version;
    std::vector<base::VmId> vms;
    for (const config::VmEntry &vm : list.vms) {
        if (vm.canHoldTasks()) {
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
        m_members = hashOf(m_vms);
        m_agreement.keepOnly(m_vms);
        m_agreement.setOwnMembers(m_members);
        m_homes.clear();
        m_listChangedAt = m_clock.now();
    }
}

void PooledLimiter::recordRemovedVms(const std::vector<base::VmId> &vms)
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(m_removedAt, [&](const auto &left) { return now - left.second > removedVmRetention; });
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
    if (hasYielded(workspace)) {
        sendClaims(workspace, false);
    }
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
    PendingAsk pending;
    pending.workspace = workspace;
    pending.requests.push_back(request);
    const double ahead = entry.demand > demandForPrefetch ? entry.demand * seconds(m_settings.prefetch) : 0;
    pending.wanted = 1 + static_cast<std::uint32_t>(ahead);
    askNextHome(std::move(pending));
    return Waiting{};
}

void PooledLimiter::cancelWaiting(const base::RequestId &request)
{
    for (auto &[number, pending] : m_pendingAsks) {
        std::erase(pending.requests, request);
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
        // Only an empty stock starts a new lifetime. If each returned token prolonged the lifetime of all others, they
        // would accumulate in an overload.
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
        recordMembers(from, ask.members);
        receiveAsk(from, incarnation, ask);
    } else if (kind == wire::MessageKind::PoolGrant && decodeInto(grant, payload)) {
        recordMembers(from, grant.members);
        receiveGrant(from, grant);
    } else {
        ++m_counters.messagesIgnored;
    }
}

/// Suspects the homes that did not answer in time, and asks the next home in the order for each of their asks.
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
    for (PendingAsk &pending : overdue) {
        suspectHome(pending.home);
        askNextHome(std::move(pending));
    }
    std::erase_if(m_suspectedUntil, [now](const auto &suspect) { return suspect.second <= now; });
    logTallies();
}

std::optional<base::TimePoint> PooledLimiter::nextTick() const
{
    std::optional<base::TimePoint> next;
    for (const auto &[number, pending] : m_pendingAsks) {
        next = std::min(next.value_or(pending.timeoutAt), pending.timeoutAt);
    }
    for (const auto &[workspace, tally] : m_tallies) {
        const base::TimePoint due = tally.since + tallyInterval;
        next = std::min(next.value_or(due), due);
    }
    return next;
}

/// The node still admits requests of its own callers, which may continue to send on open connections, but no longer
/// acts as a home.
void PooledLimiter::drain()
{
    m_draining = true;
}

std::vector<wire::Outgoing> PooledLimiter::takeMessages()
{
    std::vector<wire::Outgoing> messages;
    for (auto &[home, ask] : m_outgoingAsks) {
        ask.members = m_members;
        messages.push_back(wire::outgoing(home, wire::MessageKind::PoolAsk, ask));
    }
    for (auto &[asker, grant] : m_outgoingGrants) {
        grant.members = m_members;
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

/// Returns the first `maxHomesTried` VMs in descending order of their weights; further ones are never asked. The result
/// is cached for each VM list, because the calculation hashes the name of every VM.
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
    const bool isFirst = count > 0 && *weighed.front().second == m_self.vm;
    if (const base::VmId named = m_agreement.namedHome(workspace, m_vms.size()); isFirst && !named.empty()) {
        homes.push_back(named);
    }
    for (std::size_t index = 0; index < count; ++index) {
        homes.push_back(*weighed[index].second);
    }
    return homes;
}

/// Returns the first home that is not suspected, or an empty id.
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

/// Returns the fraction of the rate that `pool` gives. Each entry accounts for an equal part, which only one node
/// gives: a stand-in gives the parts of the entries that ask it; the home withholds the parts of the nodes that do not
/// answer probes and of those that take another node for the home.
double PooledLimiter::currentRateFraction(const config::Workspace &workspace, const Pool &pool) const
{
    const base::TimePoint now = m_clock.now();
    const auto all = static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    if (isFirstHome(workspace.id)) {
        const auto silent
            = std::count_if(m_probes.begin(), m_probes.end(), [&](const auto &probe) { return isSilent(probe.first); });
        const std::size_t withheld = static_cast<std::size_t>(silent) + deniedParts(workspace.id);
        return std::max(0.0, 1 - static_cast<double>(withheld) / all);
    }
    const base::Duration memory = askerRetention(workspace);
    const auto asking = std::count_if(pool.askers.begin(), pool.askers.end(), [&](const auto &asker) {
        return hasPart(asker.first) && now - asker.second.askedAt < memory;
    });
    return static_cast<double>(asking) / all;
}

/// Whether `vm` accounts for a part of the rate. Other nodes may ask for tokens, but add none to a pool.
bool PooledLimiter::hasPart(const base::VmId &vm) const
{
    return std::binary_search(m_vms.begin(), m_vms.end(), vm);
}

bool PooledLimiter::isSilent(const base::VmId &vm) const
{
    const auto probe = m_probes.find(vm);
    return probe != m_probes.end() && m_clock.now() - probe->second.firstSentAt >= m_settings.probeInterval;
}

/// Returns the number of nodes that answer probes but take another node for the home.
std::size_t PooledLimiter::deniedParts(const base::WorkspaceId &workspace) const
{
    if (m_agreement.differing() == 0) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(m_vms.begin(), m_vms.end(), [&](const base::VmId &vm) {
        return m_agreement.isDenied(vm, workspace) && !isSilent(vm);
    }));
}

/// Whether this node or a node before it in the order of homes was removed from the VM list at or after `since`.
bool PooledLimiter::higherRankedVmRemoved(const base::WorkspaceId &workspace, base::TimePoint since) const
{
    const std::uint64_t own = base::rendezvousWeight(workspace.value(), m_self.vm.value());
    return std::any_of(m_removedAt.begin(), m_removedAt.end(), [&](const auto &left) {
        return left.second >= since && base::rendezvousWeight(workspace.value(), left.first.value()) >= own;
    });
}

/// Whether the home was reachable from this node after `since`. The pool of a stand-in must not refill for that time.
bool PooledLimiter::homeFellSilent(const base::WorkspaceId &workspace, base::TimePoint since) const
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    const auto silent = homes.empty() ? m_silentSince.end() : m_silentSince.find(homes.front());
    return silent == m_silentSince.end() || silent->second > since;
}

/// Returns the time for which a stand-in counts an entry that has asked it. It is longer where requests are rare,
/// because entries then ask less often.
base::Duration PooledLimiter::askerRetention(const config::Workspace &workspace) const
{
    const double gap = static_cast<double>(m_vms.size()) / workspace.rate;
    const double longest = seconds(m_settings.maxAskerRetention);
    return std::max(durationOf(std::min(askerRetentionGaps * gap, longest)), m_settings.askerRetention);
}

/// Whether this node is the home by its own list, but most nodes name another one.
bool PooledLimiter::hasYielded(const base::WorkspaceId &workspace) const
{
    if (m_agreement.differing() == 0) {
        return false;
    }
    const std::vector<base::VmId> &homes = homesOf(workspace);
    return homes.size() > 1 && homes[1] == m_self.vm && m_agreement.namedHome(workspace, m_vms.size()) == homes[0];
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
    const double kept = std::exp(-passed / demandTimeConstant.count());
    entry.demand = entry.demand * kept + 1 / demandTimeConstant.count();
    entry.demandUpdatedAt = now;
}

/// Returns the pool of `workspace`, refilled up to now.
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
    const double rate = (workspace.rate * (1 + m_settings.rateExcess) + m_settings.excessPerSecond) * pool.rateFraction;
    pool.bucket.refill(rate, workspace.burst + m_settings.burstExcess, now);
    return pool;
}

/// Called when this node starts to give tokens in place of another node. That node may have just given out its whole
/// pool, so a pool here that has filled up unused meanwhile would be given in addition.
void PooledLimiter::startServing(const config::Workspace &workspace, Pool &pool)
{
    pool.isHome = isFirstHome(workspace.id);
    pool.servingSince = m_clock.now();
    pool.bucket.level = std::min(pool.bucket.level, workspace.burst * newPoolFraction);
    // If lists differ, the former home may have given tokens until now.
    const bool hasFilledUp = pool.isHome && m_agreement.differing() == 0;
    pool.bucket.updatedAt = hasFilledUp ? m_listChangedAt : m_clock.now();
    // Two nodes that report this as home of one workspace give its rate twice. The list shows whether they differ in
    // it.
    PAPAYASTEP_LOG(INFO, logPrefix) << "Started to give the tokens of a workspace."
                                    << base::field("workspace", workspace.id)
                                    << base::field("as", pool.isHome ? "home" : "stand-in")
                                    << base::field("listVersion", m_listVersion) << base::field("vms", m_vms.size())
                                    << base::field("members", m_members);
}

void PooledLimiter::updateRateFraction(const config::Workspace &workspace, Pool &pool)
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(pool.askers,
                  [&](const auto &asker) { return now - asker.second.askedAt > m_settings.maxAskerRetention; });
    pool.rateFraction = currentRateFraction(workspace, pool);
    pool.fractionUpdatedAt = now;
    if (pool.isHome) {
        probeSilentNodes();
        sendClaims(workspace.id, now - pool.servingSince < startTime);
    }
}

/// Returns the workspaces whose pools this node has given tokens of as their home since the last round of probes.
std::vector<base::WorkspaceId> PooledLimiter::recentClaims() const
{
    std::vector<base::WorkspaceId> claims;
    for (const auto &[workspace, pool] : m_pools) {
        const bool isRecent = m_clock.now() - pool.bucket.updatedAt <= m_settings.probeInterval;
        if (pool.isHome && isRecent && claims.size() < maxClaimsPerProbe) {
            claims.push_back(workspace);
        }
    }
    return claims;
}

/// Asks nodes with another VM list whether they take this node for the home of `workspace`, a few in each round.
void PooledLimiter::sendClaims(const base::WorkspaceId &workspace, bool hasJustStarted)
{
    if (m_agreement.differing() == 0) {
        return;
    }
    std::size_t sent = 0;
    for (const base::VmId &vm : m_vms) {
        if (sent < maxProbesPerRound && m_agreement.startClaim(vm, workspace, hasJustStarted)) {
            m_outgoingAsks[vm].claims.push_back(workspace);
            ++sent;
        }
    }
}

std::vector<ClaimAnswer> PooledLimiter::answersTo(const std::vector<base::WorkspaceId> &claims) const
{
    std::vector<ClaimAnswer> answers;
    for (const base::WorkspaceId &workspace : claims) {
        const std::vector<base::VmId> &homes = homesOf(workspace);
        answers.push_back({workspace, homes.empty() ? base::VmId() : homes.front()});
    }
    return answers;
}

/// If most nodes name another home, this node's list is the outdated one, and it asks that home like any other entry.
void PooledLimiter::recordClaimAnswer(const base::VmId &from, const ClaimAnswer &answer)
{
    const bool hadYielded = hasYielded(answer.workspace);
    if (answer.home == m_self.vm || answer.home.empty()) {
        m_agreement.recordAccepted(from, answer.workspace);
    } else {
        m_agreement.recordDenied(from, answer.workspace, answer.home);
        ++m_counters.claimsDenied;
    }
    m_homes.erase(answer.workspace);
    if (!hadYielded && hasYielded(answer.workspace)) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Most nodes take another node for the home of a workspace; asking that one."
                                        << base::field("workspace", answer.workspace)
                                        << base::field("homeVm", answer.home)
                                        << base::field("listVersion", m_listVersion)
                                        << base::field("members", m_members);
    }
}

void PooledLimiter::recordMembers(const base::VmId &from, std::uint64_t members)
{
    if (hasPart(from)) {
        const std::size_t differing = m_agreement.differing();
        m_agreement.recordMembers(from, members);
        if (m_agreement.differing() < differing) {
            m_homes.clear();
        }
    }
}

/// Probes nodes that have sent nothing recently. An entry without requests sends nothing either; only one that does not
/// answer a probe is unreachable. In a large fleet the nodes are probed in turn, a few in each round.
void PooledLimiter::probeSilentNodes()
{
    const base::TimePoint now = m_clock.now();
    if (now - m_lastProbeRoundAt < reviewInterval) {
        return;
    }
    m_lastProbeRoundAt = now;
    const std::vector<base::WorkspaceId> claims = recentClaims();
    std::size_t asked = 0;
    for (std::size_t step = 0; step < m_vms.size() && asked < maxProbesPerRound; ++step) {
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
            place->second.firstSentAt = now; // Probing was interrupted, so the old probe is no evidence.
        }
        place->second.lastSentAt = now;
        m_outgoingAsks[vm].claims = claims;
        ++asked;
    }
}

/// Adds the part of a new asker to the pool of a stand-in. An entry that cannot reach the home asks only with its next
/// request; its part is due since this node started to serve, or since the pool stopped counting the entry.
void PooledLimiter::creditNewAsker(const config::Workspace &workspace, Pool &pool, base::TimePoint since)
{
    const base::Duration uncountedTime
        = std::min<base::Duration>(m_clock.now() - std::max(since, pool.servingSince), m_settings.askerRetention);
    const double part = workspace.rate / static_cast<double>(std::max<std::size_t>(1, m_vms.size()));
    pool.bucket.level = std::min(workspace.burst, pool.bucket.level + part * seconds(uncountedTime));
}

/// Records that `from` has asked, and charges its debt to the pool of the home. The reported totals only rise, so a
/// lost or duplicated message has no effect.
void PooledLimiter::recordAsker(const config::Workspace &workspace,
                                const base::VmId &from,
                                base::Incarnation incarnation,
                                const PoolTokenAsk &tokenAsk)
{
    if (tokenAsk.relayed) {
        return;
    }
    Pool &pool = poolOf(workspace);
    if (m_agreement.isDenied(from, workspace.id)) {
        m_agreement.recordAccepted(from, workspace.id);
        m_homes.erase(workspace.id);
    }
    const auto [place, isNew] = pool.askers.try_emplace(from);
    Asker &asker = place->second;
    const base::TimePoint countedUntil = isNew ? pool.servingSince : asker.askedAt + askerRetention(workspace);
    if (!pool.isHome && hasPart(from) && countedUntil < m_clock.now()) {
        creditNewAsker(workspace, pool, countedUntil);
    }
    asker.askedAt = m_clock.now();
    if (asker.incarnation != incarnation) {
        asker.incarnation = incarnation;
        asker.charged = 0;
    }
    const std::uint64_t known = std::max(asker.charged, tokenAsk.settledElsewhere);
    if (pool.isHome && tokenAsk.grantedElsewhere > known) {
        const double lowest = std::min(pool.bucket.level, -workspace.burst * m_settings.maxDebtBursts);
        const auto charge = static_cast<double>(tokenAsk.grantedElsewhere - known);
        pool.bucket.level = std::max(lowest, pool.bucket.level - charge);
        asker.charged = tokenAsk.grantedElsewhere;
    }
}

void PooledLimiter::addDebt(const base::WorkspaceId &workspace, std::uint32_t tokens)
{
    currentDebt(workspace).total += tokens;
}

/// Returns the debt of `workspace`. Debt older than one to two times the retention counts as settled.
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
    // Gives tokens in advance only from a pool that is at least half full, because requests may wait at other entries.
    const bool isHalfFull = pool.bucket.level > workspace.burst / 2;
    const std::uint32_t granted = std::min(whole, isHalfFull ? std::max(urgent, wanted) : urgent);
    pool.bucket.level -= granted;
    tallyOf(workspace.id).granted += static_cast<int>(granted);
    m_counters.grantsMade += granted > 0 ? 1 : 0;
    m_counters.tokensGranted += granted;
    return granted;
}

/// Returns the time until the next retry. Refused requests get different times, one token apart, so that each finds a
/// token when it retries.
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

/// Asks the next home that is not suspected, or decides locally if there is none.
void PooledLimiter::askNextHome(PendingAsk pending)
{
    const base::VmId home = reachableHome(pending.workspace);
    const config::Workspace *configured = limitedWorkspace(pending.workspace);
    if (configured == nullptr || home.empty() || pending.homesTried >= m_settings.maxHomesTried) {
        decideLocally(pending);
        return;
    }
    const auto urgent
        = pending.asker.empty() ? static_cast<std::uint32_t>(pending.requests.size()) : pending.askerUrgent;
    if (home == m_self.vm) {
        if (pending.asker.empty()) {
            recordAsker(*configured, m_self.vm, m_self.incarnation, {});
        }
        const std::uint32_t granted = m_draining ? 0 : takeFromPool(*configured, urgent, pending.wanted);
        const base::Duration retryAfter = granted < urgent ? nextRetryAfter(*configured) : base::Duration::zero();
        completeAsk(pending, granted, retryAfter, isFirstHome(pending.workspace));
        return;
    }
    const std::uint64_t number = ++m_lastAsk;
    pending.home = home;
    ++pending.homesTried;
    // A stand-in asks the home itself before it answers, which may take another timeout.
    pending.timeoutAt = m_clock.now() + m_settings.askTimeout * pending.homesTried;
    PoolTokenAsk message;
    message.workspace = pending.workspace;
    message.askId = number;
    message.urgent = urgent;
    message.wanted = pending.wanted;
    message.relayed = !pending.asker.empty();
    if (!message.relayed) {
        const Debt &debt = currentDebt(pending.workspace);
        message.grantedElsewhere = debt.total;
        message.settledElsewhere = debt.settled;
        pending.reportedDebt = debt.total;
    }
    m_outgoingAsks[home].asks.push_back(std::move(message));
    ++m_counters.asksSent;
    m_pendingAsks.emplace(number, std::move(pending));
}

void PooledLimiter::queueAnswer(const base::VmId &to, base::Incarnation incarnation, const PoolAnswer &answer)
{
    PoolGrant &grant = m_outgoingGrants[{to, incarnation}];
    grant.asker = incarnation;
    grant.answers.push_back(answer);
}

void PooledLimiter::decideLocally(const PendingAsk &pending)
{
    if (!pending.asker.empty()) {
        queueAnswer(pending.asker, pending.askerIncarnation, PoolAnswer{pending.askerAskId, false, 0, 0, false});
        return;
    }
    const config::Workspace *configured = limitedWorkspace(pending.workspace);
    for (const base::RequestId &request : pending.requests) {
        if (configured == nullptr) {
            m_decisions.push_back({request, Refused{base::ResultCode::KeyUnknown, {}}});
        } else if (takeLocally(*configured, m_entries[pending.workspace])) {
            ++m_counters.admitted;
            ++m_counters.admittedWaiting;
            ++m_counters.admittedLocally;
            ++tallyOf(pending.workspace).alone;
            addDebt(pending.workspace, 1);
            m_decisions.push_back({request, Admitted{makeToken(pending.workspace)}});
        } else {
            ++m_counters.refused;
            ++m_counters.refusedUnanswered;
            ++tallyOf(pending.workspace).refused;
            m_decisions.push_back(
                {request, Refused{base::ResultCode::RateExceeded, m_settings.suspicionTime, {}, true}});
        }
    }
}

/// Hands out the granted tokens of an answered ask. `ofHome` is true if they come from the pool of the home, directly
/// or through another node.
void PooledLimiter::completeAsk(const PendingAsk &pending,
                                std::uint32_t granted,
                                base::Duration retryAfter,
                                bool ofHome)
{
    if (!pending.asker.empty()) {
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
        queueAnswer(pending.asker,
                    pending.askerIncarnation,
                    PoolAnswer{pending.askerAskId, true, granted, static_cast<std::uint32_t>(milliseconds), !ofHome});
        return;
    }
    if (!ofHome) {
        addDebt(pending.workspace, granted);
    } else if (const auto &homes = homesOf(pending.workspace); !homes.empty() && homes.front() == pending.home) {
        Debt &debt = currentDebt(pending.workspace);
        debt.settled = std::max(debt.settled, pending.reportedDebt);
    }
    for (const base::RequestId &request : pending.requests) {
        if (granted > 0) {
            --granted;
            ++m_counters.admitted;
            ++m_counters.admittedWaiting;
            countAdmitted(pending.workspace, pending.home);
            m_decisions.push_back({request, Admitted{makeToken(pending.workspace)}});
        } else {
            ++m_counters.refused;
            ++tallyOf(pending.workspace).refused;
            const base::VmId &by = pending.home.empty() ? m_self.vm : pending.home;
            m_decisions.push_back({request, Refused{base::ResultCode::RateExceeded, retryAfter, by}});
        }
    }
    if (granted > 0) {
        Entry &entry = m_entries[pending.workspace];
        entry.stock = (m_clock.now() < entry.stockUntil ? entry.stock : 0) + granted;
        entry.stockUntil = m_clock.now() + m_settings.stockLifetime;
    }
}

/// A message without asks is a probe and gets an empty answer.
void PooledLimiter::receiveAsk(const base::VmId &from, base::Incarnation incarnation, const PoolAsk &message)
{
    if (message.asks.empty() || !message.claims.empty()) {
        PoolGrant &grant = m_outgoingGrants[{from, incarnation}];
        grant.asker = incarnation;
        if (message.members != m_members) {
            grant.claims = answersTo(message.claims);
        }
    }
    for (const PoolTokenAsk &tokenAsk : message.asks) {
        receiveTokenAsk(from, incarnation, tokenAsk);
    }
}

/// Answers from the own pool, or forwards the ask to the home that this node can reach: the sender may have a broken
/// path to it, or an older VM list.
void PooledLimiter::receiveTokenAsk(const base::VmId &from, base::Incarnation incarnation, const PoolTokenAsk &message)
{
    PendingAsk pending;
    pending.workspace = message.workspace;
    pending.wanted = message.wanted;
    pending.asker = from;
    pending.askerIncarnation = incarnation;
    pending.askerAskId = message.askId;
    pending.askerUrgent = message.urgent;
    const bool forward = reachableHome(message.workspace) != m_self.vm;
    if (limitedWorkspace(message.workspace) == nullptr || m_draining || (forward && message.relayed)) {
        queueAnswer(from, incarnation, PoolAnswer{message.askId, false, 0, 0, false});
        return;
    }
    if (!forward) {
        recordAsker(*limitedWorkspace(message.workspace), from, incarnation, message);
    }
    askNextHome(std::move(pending));
}

void PooledLimiter::receiveGrant(const base::VmId &from, const PoolGrant &grant)
{
    if (grant.asker != m_self.incarnation) {
        ++m_counters.messagesIgnored;
        return;
    }
    for (const ClaimAnswer &answered : grant.claims) {
        recordClaimAnswer(from, answered);
    }
    for (const PoolAnswer &answered : grant.answers) {
        const auto found = m_pendingAsks.find(answered.askId);
        if (found == m_pendingAsks.end()) {
            ++m_counters.messagesIgnored; // Late: the ask was completed without this answer, and its tokens are lost.
            continue;
        }
        PendingAsk pending = std::move(found->second);
        m_pendingAsks.erase(found);
        if (answered.decided) {
            completeAsk(pending, answered.granted, std::chrono::milliseconds(answered.retryAfterMs), !answered.standIn);
        } else {
            suspectHome(from);
            askNextHome(std::move(pending));
        }
    }
}

void PooledLimiter::suspectHome(const base::VmId &home)
{
    if (!isSuspect(home)) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "Skipping a node that did not decide a request for tokens." << base::field("vm", home)
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

/// Counts an admitted request. `home` is the VM that gave the token; empty for this node.
void PooledLimiter::countAdmitted(const base::WorkspaceId &workspace, const base::VmId &home)
{
    const std::vector<base::VmId> &homes = homesOf(workspace);
    const base::VmId &giver = home.empty() ? m_self.vm : home;
    const bool isHome = !homes.empty() && homes.front() == giver;
    ++(isHome ? tallyOf(workspace).home : tallyOf(workspace).standIn);
}

/// Logs once a second the sources of the tokens of each workspace, unless all came from the home.
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
    PAPAYASTEP_LOG(INFO, logPrefix) << "Admitted requests with tokens that are not from the home."
                                    << base::field("workspace", workspace) << base::field("stock", tally.stock)
                                    << base::field("home", tally.home) << base::field("standIn", tally.standIn)
                                    << base::field("alone", tally.alone) << base::field("refused", tally.refused)
                                    << base::field("givenBack", tally.givenBack)
                                    << base::field("granted", tally.granted) << base::field("vms", m_vms.size())
                                    << base::field("homeVm", homes.empty() ? base::VmId() : homes.front())
                                    << base::field("part", pool == m_pools.end() ? 0 : pool->second.rateFraction);
}

}
