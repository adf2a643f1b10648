#include "papayastep/limits/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayastep::limits {

namespace {

constexpr base::Duration shortestRetryAfter = std::chrono::milliseconds(1);
constexpr base::Duration shortestRun = std::chrono::microseconds(100); ///< Lower bound of a run time in a ratio.
constexpr std::int64_t attemptsInTierMean = 8; ///< Number of recent attempts that the mean of a tier follows.
/// Less urgent priorities have the same weight, which is close to 0 already.
constexpr int leastUrgent = 8;
/// Fraction of the time until its latest start that the attempts before an attempt in the overflow may take. The rest
/// is for attempts that come later and can still be in time.
constexpr double maxOverflowWaitFraction = 0.5;
/// Number of mean run times that must fit between the start of an attempt in the overflow and its deadline, because the
/// slot is wasted on a run that ends late.
constexpr double overflowRunTimeReserve = 1.5;
constexpr int tiersPerPriority = 2; ///< Calls of runs of the priority, and its other attempts.

int tierOf(const QueueOffer &offer)
{
    const int tier = tiersPerPriority * std::clamp(offer.priority, 0, leastUrgent);
    return offer.isCall ? tier - 1 : tier;
}

base::Duration part(base::Duration duration, double share)
{
    return std::chrono::duration_cast<base::Duration>(duration * share);
}

}

SlotQueueSettings backendServerQueueSettings()
{
    SlotQueueSettings settings;
    settings.runTimeReserve = 0.7;
    settings.maxLateness = 0.3;
    settings.maxWaitFraction = 0.25;
    return settings;
}

OverflowCounters &OverflowCounters::operator+=(const OverflowCounters &other)
{
    queued += other.queued;
    started += other.started;
    dropped += other.dropped;
    return *this;
}

SlotQueue::SlotQueue(const base::Clock &clock, int slots, SlotQueueSettings settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_slots(std::max(0, slots))
    , m_runTimes(settings.initialRunTime)
    , m_coldStart(clock)
    , m_startRate(clock)
{
}

OfferResult SlotQueue::offer(const AttemptId &attempt, const base::WorkspaceId &workspace, base::TimePoint deadline)
{
    return offer(QueueOffer{attempt, workspace, deadline, 0, std::nullopt, {}, false});
}

OfferResult SlotQueue::offer(const QueueOffer &offer)
{
    if (m_queued.contains(offer.attempt) || m_running.contains(offer.attempt)) {
        return refusal(base::ResultCode::HopReplayed, offer.workspace, tierOf(offer));
    }
    // An attempt that would wait past its deadline is refused now, while its caller can still react.
    if (!canAnswerInTime(offer)) {
        return mayOverflow(offer) ? enqueueOverflow(offer)
                                  : refusal(lateCode(offer.workspace, tierOf(offer)), offer.workspace, tierOf(offer));
    }
    if (!makeRoom(offer.workspace, tierOf(offer))) {
        return refusal(base::ResultCode::HopQueueFull, offer.workspace, tierOf(offer));
    }
    enqueue(offer);
    return OfferResult{true, base::ResultCode::Ok, {}};
}

OfferResult SlotQueue::quote(const QueueOffer &offer) const
{
    const base::Duration wait = expectedWait(offer.workspace, tierOf(offer));
    if (!canAnswerInTime(offer) && mayOverflow(offer)) {
        return OfferResult{true, base::ResultCode::Ok, overflowWait(tierOf(offer)), true};
    }
    if (!canAnswerInTime(offer)) {
        return OfferResult{false, lateCode(offer.workspace, tierOf(offer)), std::max(shortestRetryAfter, wait)};
    }
    const bool full = m_queued.size() - m_overflowing >= m_settings.maxQueued
        || queueLength(offer.workspace, tierOf(offer)) >= m_settings.maxQueuedPerWorkspace;
    if (full) {
        return OfferResult{false, base::ResultCode::HopQueueFull, std::max(shortestRetryAfter, wait)};
    }
    return OfferResult{true, base::ResultCode::Ok, wait};
}

std::vector<QueueDecision> SlotQueue::poll()
{
    std::vector<QueueDecision> decisions = std::exchange(m_evicted, {});
    dropOverdue(decisions);
    startNext(decisions);
    return decisions;
}

CancelOutcome SlotQueue::cancel(const AttemptId &attempt)
{
    if (m_running.contains(attempt)) {
        return CancelOutcome::Started;
    }
    if (removeQueued(attempt)) {
        return CancelOutcome::NeverStarted;
    }
    const auto evicted = std::find_if(
        m_evicted.begin(), m_evicted.end(), [&](const QueueDecision &decision) { return decision.attempt == attempt; });
    return evicted != m_evicted.end() ? CancelOutcome::NeverStarted : CancelOutcome::Unknown;
}

void SlotQueue::finished(const AttemptId &attempt, bool recordRunTime)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    m_lastFinishedAt = m_clock.now();
    if (recordRunTime) {
        m_runTimes.record(found->second.route, *m_lastFinishedAt - found->second.startedAt);
    }
    m_running.erase(found);
}

void SlotQueue::dropQueued(base::ResultCode code)
{
    while (!m_queued.empty()) {
        const AttemptId attempt = m_queued.begin()->first;
        removeQueued(attempt);
        m_evicted.push_back(QueueDecision{attempt, false, code, {}});
    }
}

void SlotQueue::limitStarts(std::optional<double> startsPerSecond)
{
    m_startRate.setRate(startsPerSecond);
    std::size_t ahead = 0;
    for (const Queued &queued : queuedInOrder()) {
        const base::Duration delay = m_startRate.wait(ahead);
        if (m_clock.now() + delay < queued.latestStart) {
            ++ahead;
            continue;
        }
        removeQueued(queued.attempt);
        m_evicted.push_back(QueueDecision{queued.attempt, false, base::ResultCode::HopBackendServerLimited, delay});
    }
}

void SlotQueue::setSlots(int slots)
{
    m_slots = std::max(0, slots);
}

std::optional<base::TimePoint> SlotQueue::nextTick() const
{
    if (!m_evicted.empty()) {
        return m_clock.now();
    }
    if (m_deadlines.empty()) {
        return std::nullopt;
    }
    const base::TimePoint drop = m_deadlines.begin()->first;
    const bool isFree = m_running.size() < static_cast<std::size_t>(m_slots);
    return isFree ? std::min(drop, m_clock.now() + startDelay(0)) : drop;
}

int SlotQueue::slots() const
{
    return m_slots;
}

std::size_t SlotQueue::running() const
{
    return m_running.size();
}

std::size_t SlotQueue::queued() const
{
    return m_queued.size();
}

bool SlotQueue::isIdle() const
{
    return m_running.empty() && m_queued.empty() && m_evicted.empty();
}

ColdStartLimiter &SlotQueue::coldStart()
{
    return m_coldStart;
}

const ColdStartLimiter &SlotQueue::coldStart() const
{
    return m_coldStart;
}

StartRateLimiter &SlotQueue::startRate()
{
    return m_startRate;
}

const StartRateLimiter &SlotQueue::startRate() const
{
    return m_startRate;
}

std::size_t SlotQueue::overflowing() const
{
    return m_overflowing;
}

OverflowCounters SlotQueue::overflowCounters() const
{
    return {m_overflowQueued, m_overflowStarted, m_overflowQueued - m_overflowStarted - m_overflowing};
}

std::uint64_t SlotQueue::starts() const
{
    return m_starts;
}

const RunTimes &SlotQueue::runTimes() const
{
    return m_runTimes;
}

std::optional<base::TimePoint> SlotQueue::idleSince() const
{
    return m_running.empty() ? m_lastFinishedAt : std::nullopt;
}

base::Duration SlotQueue::expectedWait(const base::WorkspaceId &workspace, int tier) const
{
    return waitBehind(startsAhead(workspace, tier));
}

/// Returns the number of queued attempts that are expected to start before an attempt offered now.
std::size_t SlotQueue::startsAhead(const base::WorkspaceId &workspace, int tier) const
{
    const std::size_t own = queueLength(workspace, tier);
    std::size_t ahead = own;
    const auto found = m_tiers.find(tier);
    if (found != m_tiers.end()) {
        for (const WorkspaceQueue &lane : found->second.queues) {
            // Each other workspace gets one turn for each turn of this one.
            ahead += lane.workspace == workspace ? 0 : std::min(lane.attempts.size(), own + 1);
        }
    }
    const std::size_t turns = ahead + 1;
    for (const auto &[other, waiting] : m_tiers) {
        if (other != tier) {
            const double starts
                = static_cast<double>(turns) * weight(other) / weight(tier) * runSeconds(tier) / runSeconds(other);
            ahead += std::min(waiting.size, static_cast<std::size_t>(std::llround(starts)));
        }
    }
    return ahead;
}

base::Duration SlotQueue::startDelay(std::size_t ahead) const
{
    return std::max(m_coldStart.wait(ahead), m_startRate.wait(ahead));
}

base::ResultCode SlotQueue::lateCode(const base::WorkspaceId &workspace, int tier) const
{
    const std::size_t ahead = startsAhead(workspace, tier);
    const base::Duration limitWait = m_startRate.wait(ahead);
    const bool isLimited = limitWait > base::Duration::zero() && limitWait >= waitBehind(ahead);
    return isLimited ? base::ResultCode::HopBackendServerLimited : base::ResultCode::HopQueueTimeout;
}

std::list<SlotQueue::WorkspaceQueue>::iterator SlotQueue::queueOf(Tier &tier, const base::WorkspaceId &workspace)
{
    return std::find_if(tier.queues.begin(), tier.queues.end(), [&](const WorkspaceQueue &lane) {
        return lane.workspace == workspace;
    });
}

std::size_t SlotQueue::queueLength(const base::WorkspaceId &workspace, int tier) const
{
    const auto found = m_tiers.find(tier);
    if (found == m_tiers.end()) {
        return 0;
    }
    const auto lane = std::find_if(found->second.queues.begin(),
                                   found->second.queues.end(),
                                   [&](const WorkspaceQueue &candidate) { return candidate.workspace == workspace; });
    return lane != found->second.queues.end() ? lane->attempts.size() : 0;
}

/// Returns the mean run time of the attempts that were last queued in the tier.
double SlotQueue::runSeconds(int tier) const
{
    const auto found = m_tierRuns.find(tier);
    const base::Duration run = found != m_tierRuns.end() ? found->second : m_runTimes.mean();
    return std::chrono::duration<double>(std::max(run, shortestRun)).count();
}

void SlotQueue::recordTierRun(int tier, base::Duration run)
{
    base::Duration &mean = m_tierRuns.try_emplace(tier, run).first->second;
    mean += (run - mean) / attemptsInTierMean;
}

/// Returns the share of a tier in the slot time.
double SlotQueue::weight(int tier) const
{
    const bool isCall = tier % tiersPerPriority != 0;
    const int priority = (isCall ? tier + 1 : tier) / tiersPerPriority;
    return std::pow(m_settings.nextTierWeight, priority) * (isCall ? m_settings.callWeight : 1);
}

OfferResult SlotQueue::refusal(base::ResultCode code, const base::WorkspaceId &workspace, int tier) const
{
    const base::Duration wait = std::max(shortestRetryAfter, expectedWait(workspace, tier));
    return OfferResult{false, code, wait};
}

/// Returns the time after which `reserve` mean run times do not fit before the deadline.
base::TimePoint SlotQueue::latestStart(const QueueOffer &offer, double reserve) const
{
    return offer.deadline - part(m_runTimes.mean(offer.route), reserve);
}

/// Whether an answer is expected soon enough for the caller.
bool SlotQueue::canAnswerInTime(const QueueOffer &offer) const
{
    const base::TimePoint now = m_clock.now();
    const base::Duration wait = expectedWait(offer.workspace, tierOf(offer));
    if (wait == base::Duration::zero()) {
        return now < offer.deadline;
    }
    const base::TimePoint start = now + wait;
    if (start >= latestStart(offer, m_settings.runTimeReserve)) {
        return false;
    }
    if (offer.isCall) {
        return true;
    }
    const base::Duration run = m_runTimes.mean(offer.route);
    const bool canBeWanted = offer.wantedBy && *offer.wantedBy > now + run;
    const base::Duration slack = (canBeWanted ? std::min(*offer.wantedBy, offer.deadline) : offer.deadline) - now - run;
    if (m_settings.maxWaitFraction < 1 && wait > part(slack, m_settings.maxWaitFraction)) {
        return false;
    }
    if (!offer.wantedBy || *offer.wantedBy >= offer.deadline) {
        return true;
    }
    return start + run <= *offer.wantedBy + part(offer.deadline - *offer.wantedBy, m_settings.maxLateness);
}

/// Whether an attempt that would wait too long is queued in the overflow.
bool SlotQueue::mayOverflow(const QueueOffer &offer) const
{
    if (!m_settings.overflow || offer.isCall || !offer.wantedBy) {
        return false;
    }
    const base::TimePoint now = m_clock.now();
    const base::Duration spareTime = std::max(offer.deadline - *offer.wantedBy, *offer.wantedBy - now);
    const base::TimePoint latest = latestStart(offer, overflowRunTimeReserve);
    return spareTime >= m_settings.overflow->minTimeAfterTarget
        && overflowWait(tierOf(offer)) <= part(latest - now, maxOverflowWaitFraction) && hasOverflowRoom(offer);
}

bool SlotQueue::hasOverflowRoom(const QueueOffer &offer) const
{
    if (m_overflowing < m_settings.overflow->maxQueued) {
        return true;
    }
    const auto last = leastOverflowing();
    if (!last) {
        return false;
    }
    const int tier = tierOf(offer);
    const int least = m_queued.at(*last).tier;
    return tier < least || (tier == least && m_tiers.at(least).overflow.comesBeforeLast(offer.workspace));
}

/// Returns the attempt in the overflow that is started last.
std::optional<AttemptId> SlotQueue::leastOverflowing() const
{
    for (auto place = m_tiers.rbegin(); place != m_tiers.rend(); ++place) {
        if (const auto last = place->second.overflow.last()) {
            return last->attempt;
        }
    }
    return std::nullopt;
}

OfferResult SlotQueue::enqueueOverflow(const QueueOffer &offer)
{
    if (m_overflowing >= m_settings.overflow->maxQueued) {
        const AttemptId last = *leastOverflowing();
        const base::Duration wait = std::max(shortestRetryAfter, overflowWait(m_queued.at(last).tier));
        removeQueued(last);
        m_evicted.push_back(QueueDecision{last, false, base::ResultCode::HopQueueFull, wait});
    }
    const int number = tierOf(offer);
    const base::TimePoint latest = latestStart(offer, overflowRunTimeReserve);
    Tier &tier = tierForNew(number, offer.route);
    tier.overflow.add({offer.attempt, offer.workspace, *offer.wantedBy - m_runTimes.mean(offer.route)});
    ++tier.size;
    ++m_overflowing;
    ++m_overflowQueued;
    const Queued queued{offer.attempt, latest, offer.route};
    m_queued.emplace(offer.attempt, QueuedPosition{number, offer.workspace, queued});
    m_deadlines.emplace(latest, offer.attempt);
    return OfferResult{true, base::ResultCode::Ok, {}, true};
}

/// Returns the expected wait of an attempt that is added to the overflow of a tier, behind all attempts that are as
/// urgent.
base::Duration SlotQueue::overflowWait(int tier) const
{
    std::size_t ahead = 0;
    for (const auto &[number, waiting] : m_tiers) {
        ahead += number <= tier ? waiting.size : 0;
    }
    return waitBehind(ahead);
}

/// Returns whether one more attempt fits. In a full queue, the newest attempt in the longest workspace queue of the
/// least urgent tier is evicted if that tier is less urgent, or that queue is longer than the one of `workspace` would
/// be. So no workspace can block another one.
bool SlotQueue::makeRoom(const base::WorkspaceId &workspace, int tier)
{
    const std::size_t own = queueLength(workspace, tier);
    if (own >= m_settings.maxQueuedPerWorkspace) {
        return false;
    }
    if (m_queued.size() - m_overflowing < m_settings.maxQueued) {
        return true;
    }
    const auto least = std::find_if(
        m_tiers.rbegin(), m_tiers.rend(), [](const auto &entry) { return !entry.second.queues.empty(); });
    auto &lanes = least->second.queues;
    const auto longest
        = std::max_element(lanes.begin(), lanes.end(), [](const WorkspaceQueue &a, const WorkspaceQueue &b) {
              return a.attempts.size() < b.attempts.size();
          });
    const bool isLessUrgent = least->first > tier;
    if (least->first < tier || (!isLessUrgent && longest->attempts.size() <= own + 1)) {
        return false;
    }
    const AttemptId newest = longest->attempts.back().attempt;
    const base::Duration wait = std::max(shortestRetryAfter, expectedWait(longest->workspace, least->first));
    removeQueued(newest);
    m_evicted.push_back(QueueDecision{newest, false, base::ResultCode::HopQueueFull, wait});
    return true;
}

/// Returns the tier of an offer, which is added if it has no attempts.
SlotQueue::Tier &SlotQueue::tierForNew(int number, const base::RouteId &route)
{
    recordTierRun(number, m_runTimes.mean(route));
    const auto [place, isNew] = m_tiers.try_emplace(number);
    if (isNew) {
        place->second.pass = m_pass;
    }
    return place->second;
}

void SlotQueue::enqueue(const QueueOffer &offer)
{
    const int number = tierOf(offer);
    Tier &tier = tierForNew(number, offer.route);
    auto lane = queueOf(tier, offer.workspace);
    if (lane == tier.queues.end()) {
        tier.queues.push_back(WorkspaceQueue{offer.workspace, {}});
        lane = std::prev(tier.queues.end());
    }
    const base::TimePoint latest = latestStart(offer, m_settings.runTimeReserve);
    lane->attempts.push_back(Queued{offer.attempt, latest, offer.route});
    ++tier.size;
    m_queued.emplace(offer.attempt, QueuedPosition{number, offer.workspace, std::nullopt});
    m_deadlines.emplace(latest, offer.attempt);
}

void SlotQueue::dropOverdue(std::vector<QueueDecision> &decisions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_clock.now()) {
        const AttemptId attempt = m_deadlines.begin()->second;
        const QueuedPosition place = m_queued.at(attempt);
        const base::Duration wait = std::max(shortestRetryAfter, expectedWait(place.workspace, place.tier));
        const base::ResultCode code = lateCode(place.workspace, place.tier);
        removeQueued(attempt);
        decisions.push_back(QueueDecision{attempt, false, code, wait});
    }
}

void SlotQueue::startNext(std::vector<QueueDecision> &decisions)
{
    while (!m_tiers.empty() && m_running.size() < static_cast<std::size_t>(m_slots)
           && startDelay(0) == base::Duration::zero()) {
        const auto place = selectTier();
        Tier &tier = place->second;
        m_pass = tier.pass;
        tier.pass += runSeconds(place->first) / weight(place->first);
        const Queued next = takeNext(tier);
        m_running.emplace(next.attempt, Running{m_clock.now(), next.route});
        m_coldStart.recordStart();
        m_startRate.recordStart();
        ++m_starts;
        decisions.push_back(QueueDecision{next.attempt, true, base::ResultCode::Ok, {}});
    }
}

SlotQueue::Queued SlotQueue::takeNext(Tier &tier)
{
    if (tier.queues.empty()) {
        Queued next = *m_queued.at(tier.overflow.next(m_clock.now())->attempt).overflowing;
        ++m_overflowStarted;
        removeQueued(next.attempt);
        return next;
    }
    Queued next = tier.queues.front().attempts.front();
    // The workspace has had its turn and moves to the back, before its queue is removed if it becomes empty.
    tier.queues.splice(tier.queues.end(), tier.queues, tier.queues.begin());
    removeQueued(next.attempt);
    return next;
}

/// Returns the tier with the smallest pass value; of two equal ones the more urgent one.
SlotQueue::Tiers::iterator SlotQueue::selectTier()
{
    return std::min_element(
        m_tiers.begin(), m_tiers.end(), [](const auto &a, const auto &b) { return a.second.pass < b.second.pass; });
}

bool SlotQueue::removeQueued(const AttemptId &attempt)
{
    const auto queued = m_queued.find(attempt);
    if (queued == m_queued.end()) {
        return false;
    }
    const auto place = m_tiers.find(queued->second.tier);
    Tier &tier = place->second;
    if (queued->second.overflowing) {
        m_deadlines.erase({queued->second.overflowing->latestStart, attempt});
        tier.overflow.remove(attempt);
        --m_overflowing;
    } else {
        removeFromWorkspace(tier, queued->second.workspace, attempt);
    }
    --tier.size;
    if (tier.size == 0) {
        m_tiers.erase(place);
    }
    m_queued.erase(queued);
    return true;
}

void SlotQueue::removeFromWorkspace(Tier &tier, const base::WorkspaceId &workspace, const AttemptId &attempt)
{
    const auto lane = queueOf(tier, workspace);
    const auto position = std::find_if(lane->attempts.begin(), lane->attempts.end(), [&attempt](const Queued &entry) {
        return entry.attempt == attempt;
    });
    m_deadlines.erase({position->latestStart, attempt});
    lane->attempts.erase(position);
    if (lane->attempts.empty()) {
        tier.queues.erase(lane);
    }
}

base::Duration SlotQueue::waitBehind(std::size_t ahead) const
{
    const base::Duration delay = startDelay(ahead);
    const std::size_t slots = static_cast<std::size_t>(m_slots);
    const std::size_t busy = m_running.size() + ahead;
    if (busy < slots) {
        return delay;
    }
    // Without any slot the wait is unknown; assuming one slot keeps the result finite.
    const auto turns = static_cast<std::int64_t>(busy - slots + 1);
    return std::max(delay, m_runTimes.mean() * turns / static_cast<std::int64_t>(std::max<std::size_t>(1, slots)));
}

/// Returns the queued attempts, the most urgent tier first, and those of a tier by the turns of their workspaces.
std::vector<SlotQueue::Queued> SlotQueue::queuedInOrder() const
{
    std::vector<Queued> result;
    result.reserve(m_queued.size());
    for (const auto &[number, tier] : m_tiers) {
        const std::size_t end = result.size() + tier.size - tier.overflow.size();
        for (std::size_t turn = 0; result.size() < end; ++turn) {
            for (const WorkspaceQueue &lane : tier.queues) {
                if (turn < lane.attempts.size()) {
                    result.push_back(lane.attempts[turn]);
                }
            }
        }
        for (const OverflowAttempt &attempt : tier.overflow.inOrder()) {
            result.push_back(*m_queued.at(attempt.attempt).overflowing);
        }
    }
    return result;
}

}
