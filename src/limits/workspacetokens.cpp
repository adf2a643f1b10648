#include "workspacetokens.h"

#include "papayastep/base/hashing.h"
#include "papayastep/base/log.h"

#include <algorithm>

namespace papayastep::limits {

namespace {

constexpr base::Duration deadlineMargin = std::chrono::milliseconds(5);
constexpr base::Duration shortestRetryAfter = std::chrono::milliseconds(1);
constexpr base::Duration longestRetryAfter = std::chrono::hours(1);
constexpr base::Duration defaultRetryAfter = std::chrono::milliseconds(20);
constexpr base::Duration overloadPause = std::chrono::milliseconds(200);
constexpr base::Duration maxPause = std::chrono::milliseconds(50);
constexpr base::Duration maxLevelAge = std::chrono::milliseconds(50);
constexpr base::Duration idleTimeout = std::chrono::seconds(3);
constexpr base::Duration maxReportDelay = std::chrono::milliseconds(100);
constexpr int reportDivisor = 40; ///< Unreported spends delay at most this part of a share's refill.
/// A share that takes more grant validities than this to fill loses little to open grants.
constexpr int slowFillValidities = 8;
constexpr double overloadFraction = 0.3;
constexpr double overloadEvents = 3;
constexpr double prefetchRefill = 0.4; ///< Fraction of the prefetched demand below which more tokens are requested.
constexpr double returnFactor = 1.6; ///< Number of prefetch times after which unused tokens are returned.
constexpr int extraDivisor = 4; ///< Tokens that no request waits for use at most this part of a level.
constexpr int maxLoanRounds = 3;
constexpr Tokens minLoan = oneToken / 1000;

Tokens roundDownToWhole(Tokens amount)
{
    return amount / oneToken * oneToken;
}

std::uint32_t toMicroseconds(base::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

Tokens tokensIn(double perSecond, base::Duration time)
{
    const double amount = perSecond * std::chrono::duration<double>(time).count();
    return static_cast<Tokens>(std::min(amount, maxWholeTokens * static_cast<double>(oneToken)));
}

}

WorkspaceTokens::WorkspaceTokens(base::WorkspaceId id, BrokerContext &context)
    : m_id(std::move(id))
    , m_context(context)
    , m_term(context.tenure.term())
    , m_lastUse(context.clock.now())
{
}

const base::WorkspaceId &WorkspaceTokens::id() const
{
    return m_id;
}

Admission WorkspaceTokens::acquire(const base::RequestId &request, base::TimePoint deadline)
{
    refresh();
    const base::TimePoint now = m_context.clock.now();
    m_lastUse = now;
    if (m_views.empty()) {
        return Refused{base::ResultCode::RateExceeded, longestRetryAfter};
    }
    m_requestedRate.add(1, now);
    if (m_waiters.empty()) {
        if (auto token = takeToken()) {
            prefetch();
            return Admitted{std::move(*token)};
        }
    }
    if (now < m_refusedUntil) {
        m_refusedRate.add(1, now);
        return Refused{base::ResultCode::RateExceeded, std::max(m_receivedRetryAfter, m_refusedUntil - now)};
    }
    const base::TimePoint until = std::min(now + m_context.settings.waitLimit, deadline - deadlineMargin);
    if (until <= now) {
        return Refused{base::ResultCode::DeadlineExceeded, defaultRetryAfter};
    }
    Waiter waiter;
    waiter.request = request;
    waiter.urgent = oneToken;
    waiter.until = until;
    m_waiters.push_back(waiter);
    serveWaiters();
    std::vector<AdmissionDecision> &decisions = m_context.decisions;
    if (!decisions.empty() && decisions.back().request == request) {
        Admission decided = std::move(decisions.back().admission);
        decisions.pop_back();
        return decided;
    }
    return Waiting{};
}

bool WorkspaceTokens::cancelWaiting(const base::RequestId &request)
{
    const auto removed = std::erase_if(
        m_waiters, [&request](const Waiter &waiter) { return !waiter.remote && waiter.request == request; });
    return removed != 0;
}

bool WorkspaceTokens::giveBack(const Token &token)
{
    refresh();
    bool all = true;
    for (const TokenPart &part : token.parts) {
        if (!part.local) {
            all = m_lots.giveBack(part, m_context.clock.now()) && all;
        } else {
            all = m_share && m_share->giveBack(part.source) && all;
        }
    }
    serveWaiters();
    return all;
}

void WorkspaceTokens::receive(const base::VmId &from, base::Incarnation incarnation, const TokenAsk &ask)
{
    refresh();
    if (ask.urgent < 0 || ask.wanted < ask.urgent) {
        ++m_context.counters.messagesIgnored;
        return;
    }
    const base::TimePoint now = m_context.clock.now();
    m_lastUse = now;
    if (ask.loan) {
        answerLoan(from, incarnation, ask);
        return;
    }
    m_requestedRate.add(wholeTokens(ask.urgent), now);
    Waiter waiter;
    waiter.remote = true;
    waiter.from = from;
    waiter.incarnation = incarnation;
    waiter.askId = ask.askId;
    waiter.urgent = ask.urgent;
    waiter.wanted = ask.wanted;
    waiter.until = now + m_context.settings.loanTimeout;
    m_waiters.push_back(waiter);
    serveWaiters();
    prefetch();
}

bool WorkspaceTokens::receive(const base::VmId &from, base::Incarnation incarnation, const GrantAnswer &answer)
{
    refresh();
    const auto found = std::find_if(
        m_asks.begin(), m_asks.end(), [&](const PendingAsk &ask) { return ask.id == answer.askId && ask.to == from; });
    if (found == m_asks.end()) {
        return false;
    }
    const PendingAsk ask = *found;
    m_context.askWorkspaces.erase(ask.id);
    m_asks.erase(found);
    const base::TimePoint now = m_context.clock.now();
    const auto hold = std::chrono::duration_cast<base::Duration>(m_context.settings.prefetch * returnFactor);
    Tokens granted = 0;
    for (const GrantPart &part : answer.parts) {
        const base::TimePoint usableUntil = ask.askedAt + std::chrono::microseconds(part.validity);
        if (part.amount <= 0 || part.amount > ask.wanted - granted || usableUntil <= now) {
            ++m_context.counters.messagesIgnored;
            continue;
        }
        granted += part.amount;
        Lot lot;
        lot.id = ++m_context.lastLot;
        lot.holder = from;
        lot.holderIncarnation = incarnation;
        lot.grantId = part.grantId;
        lot.amount = part.amount;
        lot.usableUntil = usableUntil;
        lot.returnAt = now + hold;
        lot.reportWithin = std::chrono::microseconds(answer.reportWithin);
        m_lots.add(std::move(lot));
    }
    if (granted < ask.urgent) {
        m_answeredShort = true;
        m_receivedRetryAfter = std::chrono::microseconds(answer.retryAfter);
    }
    if (ask.loan && ask.view < m_views.size() && m_views[ask.view].holder == from) {
        ShareView &view = m_views[ask.view];
        view.level = std::clamp<Tokens>(answer.level, 0, view.burst);
        view.levelReceivedAt = now;
        view.busyUntil = answer.busy ? now + overloadPause : now;
    }
    serveWaiters();
    return true;
}

bool WorkspaceTokens::receive(const GrantUse &use)
{
    refresh();
    const bool known = (m_share && m_share->report(use.grantId, use.spent, use.unused))
        || m_lots.report(use.grantId, use.spent, use.unused, m_context.clock.now());
    if (known && !m_waiters.empty()) {
        serveWaiters();
    }
    return known;
}

void WorkspaceTokens::service()
{
    refresh();
    const base::TimePoint now = m_context.clock.now();
    for (const auto &[holder, use] : m_lots.takeDueReports(m_id, now)) {
        m_context.outbox.report(holder, use);
    }
    removeAsks([&](const PendingAsk &ask) { return ask.askedAt + m_context.settings.grantValidity <= now; });
    for (PendingAsk &ask : m_asks) {
        const base::Duration timeout = ask.loan ? m_context.settings.loanTimeout : m_context.settings.askTimeout;
        if (!ask.timedOut && ask.askedAt + timeout <= now) {
            ask.timedOut = true;
            m_context.suspect(ask.to);
            if (ask.view < m_views.size()) {
                m_views[ask.view].unanswered = true;
            }
        }
    }
    serveWaiters();
}

base::TimePoint WorkspaceTokens::nextDue() const
{
    base::TimePoint due = m_lots.nextDue();
    for (const Waiter &waiter : m_waiters) {
        due = std::min(due, waiter.until);
    }
    for (const PendingAsk &ask : m_asks) {
        const base::Duration timeout = ask.loan ? m_context.settings.loanTimeout : m_context.settings.askTimeout;
        due = std::min(due, ask.askedAt + (ask.timedOut ? m_context.settings.grantValidity : timeout));
    }
    return due != base::TimePoint::max() ? due : idleAt();
}

/// Returns the time of the next check whether the state of this workspace can be removed.
base::TimePoint WorkspaceTokens::idleAt() const
{
    const base::TimePoint unused = m_lastUse + idleTimeout;
    if (!m_share || m_share->isUntouched()) {
        return unused;
    }
    const base::TimePoint full = m_share->timeOfLevel(m_share->terms().burst);
    return std::max({unused, full, m_context.clock.now() + idleTimeout});
}

bool WorkspaceTokens::isIdle() const
{
    const bool used = !m_waiters.empty() || !m_asks.empty() || !m_lots.empty();
    const bool untouched = !m_share || m_share->isUntouched();
    return !used && untouched && m_context.clock.now() - m_lastUse >= idleTimeout;
}

bool WorkspaceTokens::holdsShare() const
{
    return m_share != nullptr;
}

void WorkspaceTokens::dropTokens()
{
    dropAll(base::ResultCode::RateExceeded);
}

void WorkspaceTokens::drain()
{
    refresh();
    refuseAll(base::ResultCode::NodeDraining);
    m_share.reset();
}

WorkspaceStatus WorkspaceTokens::status()
{
    refresh();
    const base::TimePoint now = m_context.clock.now();
    WorkspaceStatus status;
    status.workspace = m_id;
    status.revision = m_context.configuration ? m_context.configuration->revision() : 0;
    status.demand = m_requestedRate.perSecond(now);
    const Tokens inHand = m_lots.usable(now);
    for (const ShareView &view : m_views) {
        ShareStatus share;
        share.zone = view.zone;
        share.holder = view.holder;
        share.rate = view.rate / static_cast<double>(oneToken);
        share.burst = wholeTokens(view.burst);
        if (m_share && view.holder == m_context.self.vm) {
            share.held = m_context.tenure.mayGrant();
            share.level = wholeTokens(m_share->level());
            share.outstanding = wholeTokens(m_share->outstanding());
            share.borrowed = wholeTokens(inHand);
        }
        status.shares.push_back(share);
    }
    status.entryTokens = isGatherer() ? 0 : wholeTokens(inHand);
    return status;
}

/// Updates the shares from VM list, configuration, tenure and clock.
void WorkspaceTokens::refresh()
{
    const std::uint64_t topology = m_context.topology();
    if (m_topology != topology) {
        m_topology = topology;
        const config::Workspace *workspace = m_context.workspace(m_id);
        if (workspace == nullptr) {
            m_views.clear();
            dropAll(base::ResultCode::KeyUnknown);
            return;
        }
        rebuildViews(*workspace);
        m_shareChecked = false;
    }
    refreshShare();
}

void WorkspaceTokens::rebuildViews(const config::Workspace &workspace)
{
    const std::vector<ShareView> before = std::exchange(m_views, {});
    const std::vector<base::ZoneId> zones = m_context.shares.zonesOf(workspace);
    const double fraction = zones.empty() ? 0 : 1.0 / static_cast<double>(zones.size());
    const ShareTerms terms = termsOf(workspace, fraction, m_context.settings.clockDriftBound);
    m_rate = static_cast<double>(terms.ratePerSecond) * static_cast<double>(zones.size());
    std::uint64_t nearest = 0;
    for (const base::ZoneId &zone : zones) {
        ShareView view;
        view.zone = zone;
        view.holder = holderOf(m_id, zone, m_context.list);
        view.rate = static_cast<double>(terms.ratePerSecond);
        view.burst = terms.burst;
        const auto known = std::find_if(
            before.begin(), before.end(), [&](const ShareView &old) { return old.holder == view.holder; });
        if (known != before.end()) {
            view.level = known->level;
            view.levelReceivedAt = known->levelReceivedAt;
            view.busyUntil = known->busyUntil;
        }
        // Without a share in the own zone, a hash selects the zone to ask, so that the load is distributed.
        const std::uint64_t weight = zone == m_context.self.zone
            ? UINT64_MAX
            : base::rendezvousWeight(m_context.self.zone.value(), zone.value());
        if (m_views.empty() || weight > nearest) {
            nearest = weight;
            m_ownView = m_views.size();
        }
        m_views.push_back(view);
    }
}

void WorkspaceTokens::refreshShare()
{
    if (m_term != m_context.tenure.term()) {
        m_term = m_context.tenure.term();
        m_share.reset();
    }
    const bool first = m_ownView < m_views.size() && m_views[m_ownView].zone == m_context.self.zone
        && m_views[m_ownView].holder == m_context.self.vm && !m_context.draining;
    if (!first) {
        m_share.reset();
        return;
    }
    const base::TimePoint now = m_context.clock.now();
    if (!m_share || !m_shareChecked) {
        updateShare(now);
    }
    if (m_share) {
        m_share->refill(now);
    }
}

/// Creates, keeps or removes the share after a change. A share that was not held in between starts empty.
void WorkspaceTokens::updateShare(base::TimePoint now)
{
    const auto held = m_context.tenure.heldSince(m_id);
    const config::Workspace &workspace = *m_context.workspace(m_id);
    const base::TimePoint since = std::max(held.value_or(base::TimePoint::max()), m_context.fillsSince(workspace));
    if (since > now) {
        m_share.reset();
        return;
    }
    const ShareTerms terms = m_context.ownTerms(workspace);
    if (!m_share || since > m_shareSince) {
        m_share = std::make_unique<TokenShare>(terms, since);
        m_shareSince = since;
    }
    m_share->refill(now);
    m_share->setTerms(terms);
    m_shareChecked = true;
}

void WorkspaceTokens::dropAll(base::ResultCode code)
{
    m_share.reset();
    m_lots.clear();
    removeAsks([](const PendingAsk &) { return true; });
    refuseAll(code);
}

template<typename Condition>
void WorkspaceTokens::removeAsks(Condition condition)
{
    std::erase_if(m_asks, [&](const PendingAsk &ask) {
        const bool forgotten = condition(ask);
        if (forgotten) {
            m_context.askWorkspaces.erase(ask.id);
        }
        return forgotten;
    });
}

Tokens WorkspaceTokens::ownLevel() const
{
    return m_share && !m_context.draining && m_context.tenure.mayGrant() ? m_share->level() : 0;
}

Tokens WorkspaceTokens::available() const
{
    return m_lots.usable(m_context.clock.now()) + ownLevel();
}

std::optional<Token> WorkspaceTokens::takeToken()
{
    if (available() < oneToken) {
        return std::nullopt;
    }
    const base::TimePoint now = m_context.clock.now();
    Token token{m_id, {}, now + m_context.settings.grantValidity};
    const Tokens missing = oneToken - m_lots.spend(oneToken, now, token.parts, token.usableUntil);
    if (missing > 0) {
        token.parts.push_back(TokenPart{m_share->spend(missing, now), missing, true, 0});
    }
    return token;
}

/// Whether this node answers entries and borrows tokens instead of asking a holder.
bool WorkspaceTokens::isGatherer() const
{
    const bool asked
        = std::any_of(m_waiters.begin(), m_waiters.end(), [](const Waiter &waiter) { return waiter.remote; });
    const bool first = m_ownView < m_views.size() && m_views[m_ownView].holder == m_context.self.vm;
    return asked || (first && !m_context.draining);
}

/// Serves the waiters while tokens are available, asks for more where that may help, and otherwise refuses them at
/// once.
void WorkspaceTokens::serveWaiters()
{
    while (!m_waiters.empty() && serveFirst()) {}
    refuseExpired();
    if (m_waiters.empty()) {
        m_answeredShort = false;
        m_loanRounds = 0;
        for (ShareView &view : m_views) {
            view.unanswered = false;
        }
        return;
    }
    requestMissing();
    if (!hasOpenAsks()) {
        refuseAll(base::ResultCode::RateExceeded);
    }
}

/// Serves the oldest waiter if enough tokens are available. Returns whether it was served.
bool WorkspaceTokens::serveFirst()
{
    const Waiter waiter = m_waiters.front();
    if (available() < waiter.urgent) {
        return false;
    }
    m_waiters.erase(m_waiters.begin());
    if (!waiter.remote) {
        ++m_context.counters.admittedWaiting;
        m_context.decisions.push_back(AdmissionDecision{waiter.request, Admitted{*takeToken()}});
        return true;
    }
    const Tokens extra = std::min(waiter.wanted - waiter.urgent, (available() - waiter.urgent) / extraDivisor);
    m_requestedRate.add(wholeTokens(roundDownToWhole(extra)), m_context.clock.now());
    answer(waiter, waiter.urgent + roundDownToWhole(extra));
    return true;
}

void WorkspaceTokens::refuseAll(base::ResultCode code)
{
    const std::vector<Waiter> waiters = std::exchange(m_waiters, {});
    for (const Waiter &waiter : waiters) {
        refuse(waiter, code);
    }
    m_answeredShort = false;
    m_loanRounds = 0;
}

void WorkspaceTokens::refuse(const Waiter &waiter, base::ResultCode code)
{
    const base::TimePoint now = m_context.clock.now();
    if (waiter.remote) {
        const Tokens part = std::min(waiter.urgent, roundDownToWhole(available()));
        m_refusedRate.add(wholeTokens(waiter.urgent - part), now);
        answer(waiter, part);
        return;
    }
    m_refusedRate.add(1, now);
    const bool holderAnswered = m_answeredShort && !isGatherer();
    m_receivedRetryAfter
        = std::clamp(holderAnswered ? m_receivedRetryAfter : retryAfter(), shortestRetryAfter, longestRetryAfter);
    const base::Duration pause = isOverloaded() ? overloadPause : std::min(m_receivedRetryAfter, maxPause);
    m_refusedUntil = now + pause;
    m_context.counters.refusedUnanswered += m_answeredShort ? 0 : 1;
    m_context.decisions.push_back(
        AdmissionDecision{waiter.request, Refused{code, std::max(m_receivedRetryAfter, pause)}});
    VLOG(1) << "limits: Refused a request." << base::field("workspace", m_id) << base::field("request", waiter.request);
}

void WorkspaceTokens::refuseExpired()
{
    const base::TimePoint now = m_context.clock.now();
    std::vector<Waiter> expired;
    for (const Waiter &waiter : m_waiters) {
        if (waiter.until <= now) {
            expired.push_back(waiter);
        }
    }
    std::erase_if(m_waiters, [now](const Waiter &waiter) { return waiter.until <= now; });
    for (const Waiter &waiter : expired) {
        refuse(waiter, base::ResultCode::RateExceeded);
    }
}

void WorkspaceTokens::requestMissing()
{
    const Tokens missing = uncovered();
    if (missing <= 0) {
        return;
    }
    if (isGatherer()) {
        borrow(missing, 0);
    } else {
        const double horizon = m_requestedRate.perSecond(m_context.clock.now()) * static_cast<double>(oneToken);
        askEntryHolder(missing, roundDownToWhole(tokensIn(horizon, m_context.settings.prefetch)));
    }
}

/// Returns the tokens that waiters need and that are neither available nor asked for.
Tokens WorkspaceTokens::uncovered() const
{
    Tokens missing = -available();
    for (const Waiter &waiter : m_waiters) {
        missing += waiter.urgent;
    }
    for (const PendingAsk &ask : m_asks) {
        missing -= ask.timedOut ? 0 : ask.urgent;
    }
    return missing;
}

void WorkspaceTokens::askEntryHolder(Tokens urgent, Tokens extra)
{
    if (m_answeredShort) {
        return;
    }
    for (std::size_t step = 0; step < m_views.size(); ++step) {
        const std::size_t index = (m_ownView + step) % m_views.size();
        const ShareView &view = m_views[index];
        const bool reachable = !view.holder.empty() && view.holder != m_context.self.vm;
        if (reachable && !view.unanswered && !m_context.isSuspected(view.holder)) {
            send(index, urgent, urgent + extra, false);
            return;
        }
    }
    // All holders are suspected: ask the first one that has not failed to answer for these requests.
    for (std::size_t step = 0; step < m_views.size(); ++step) {
        const std::size_t index = (m_ownView + step) % m_views.size();
        const ShareView &view = m_views[index];
        if (!view.holder.empty() && view.holder != m_context.self.vm && !view.unanswered) {
            send(index, urgent, urgent + extra, false);
            return;
        }
    }
}

/// Asks the holders of the other shares for loans. Those with the highest expected levels are asked first, and for no
/// more than needed if the expected levels suffice.
void WorkspaceTokens::borrow(Tokens urgent, Tokens extra)
{
    if (m_loanRounds >= maxLoanRounds) {
        return;
    }
    const base::TimePoint now = m_context.clock.now();
    std::vector<std::size_t> lenders;
    Tokens expected = 0;
    for (std::size_t index = 0; index < m_views.size(); ++index) {
        const ShareView &view = m_views[index];
        const bool reachable = !view.holder.empty() && view.holder != m_context.self.vm && !view.unanswered;
        const bool mayHaveTokens = expectedLevel(view) >= minLoan || now - view.levelReceivedAt >= maxLevelAge;
        if (reachable && mayHaveTokens && now >= view.busyUntil && !m_context.isSuspected(view.holder)) {
            lenders.push_back(index);
            expected += expectedLevel(view);
        }
    }
    std::sort(lenders.begin(), lenders.end(), [this](std::size_t a, std::size_t b) {
        return expectedLevel(m_views[a]) > expectedLevel(m_views[b]);
    });
    if (!lenders.empty()) {
        ++m_loanRounds;
    }
    const bool enough = expected >= urgent + extra;
    Tokens left = urgent;
    for (const std::size_t index : lenders) {
        const Tokens part = enough ? std::min(left, expectedLevel(m_views[index])) : urgent;
        const Tokens share = extra / static_cast<Tokens>(lenders.size());
        if (part + share > 0) {
            send(index, part, part + share, true);
        }
        left -= part;
    }
}

void WorkspaceTokens::send(std::size_t view, Tokens urgent, Tokens wanted, bool loan)
{
    PendingAsk ask;
    ask.id = ++m_context.lastAsk;
    ask.view = view;
    ask.to = m_views[view].holder;
    ask.urgent = urgent;
    ask.wanted = wanted;
    ask.loan = loan;
    ask.askedAt = m_context.clock.now();
    m_asks.push_back(ask);
    m_context.askWorkspaces.emplace(ask.id, m_id);
    m_context.outbox.ask(ask.to, TokenAsk{m_id, ask.id, urgent, wanted, loan});
    for (const GrantUse &use : m_lots.takeReportsFor(m_id, ask.to)) {
        m_context.outbox.report(ask.to, use);
    }
    ++m_context.counters.asksSent;
}

/// Asks before the tokens run out, so that the requests of a busy workspace do not wait for a round trip.
void WorkspaceTokens::prefetch()
{
    if (m_views.empty() || hasOpenAsks() || isOverloaded()) {
        return;
    }
    const base::TimePoint now = m_context.clock.now();
    const bool gathering = isGatherer();
    const double demand = m_requestedRate.perSecond(now) * static_cast<double>(oneToken);
    const double uncoveredDemand = gathering ? demand - m_views[m_ownView].rate : demand;
    const Tokens horizon = roundDownToWhole(tokensIn(std::max(0.0, uncoveredDemand), m_context.settings.prefetch));
    const Tokens low = tokensIn(demand * prefetchRefill, m_context.settings.prefetch);
    if (horizon < oneToken || available() >= low) {
        return;
    }
    if (gathering) {
        m_loanRounds = 0;
        borrow(0, horizon);
    } else {
        askEntryHolder(0, horizon);
    }
}

bool WorkspaceTokens::hasOpenAsks() const
{
    return std::any_of(m_asks.begin(), m_asks.end(), [](const PendingAsk &ask) { return !ask.timedOut; });
}

void WorkspaceTokens::answer(const Waiter &waiter, Tokens amount)
{
    GrantAnswer answer;
    answer.askId = waiter.askId;
    const Tokens granted = grantParts(answer, amount);
    answer.level = ownLevel();
    answer.busy = isOverloaded();
    answer.reportWithin = reportWithin();
    if (granted < waiter.urgent) {
        answer.retryAfter = toMicroseconds(std::clamp(retryAfter(), shortestRetryAfter, longestRetryAfter));
    }
    m_context.outbox.answer(waiter.from, waiter.incarnation, answer);
    VLOG(1) << "limits: Granted tokens." << base::field("workspace", m_id) << base::field("to", waiter.from)
            << base::field("amount", wholeTokens(granted)) << base::field("urgent", wholeTokens(waiter.urgent))
            << base::field("level", wholeTokens(answer.level));
}

/// Grants tokens of lots before those of the own level, because lots expire.
Tokens WorkspaceTokens::grantParts(GrantAnswer &answer, Tokens amount)
{
    const base::TimePoint now = m_context.clock.now();
    const BrokerSettings &settings = m_context.settings;
    Tokens granted = 0;
    while (granted < amount) {
        const auto sublease = m_lots.lend(m_context.lastGrant + 1, amount - granted, now);
        if (!sublease) {
            break;
        }
        const auto validity = (sublease->usableUntil - now) / (1 + 2 * settings.clockDriftBound);
        const auto shortened = std::chrono::duration_cast<base::Duration>(validity);
        answer.parts.push_back(GrantPart{++m_context.lastGrant, sublease->amount, toMicroseconds(shortened)});
        granted += sublease->amount;
    }
    const Tokens own = std::min(amount - granted, ownLevel());
    if (own > 0) {
        m_share->grant(++m_context.lastGrant, own, now + surelyExpired(settings, settings.grantValidity));
        answer.parts.push_back(GrantPart{m_context.lastGrant, own, toMicroseconds(settings.grantValidity)});
        granted += own;
    }
    m_context.counters.grantsMade += answer.parts.size();
    m_context.counters.tokensGranted += wholeTokens(granted);
    return granted;
}

void WorkspaceTokens::answerLoan(const base::VmId &from, base::Incarnation incarnation, const TokenAsk &ask)
{
    const base::TimePoint now = m_context.clock.now();
    Tokens spare = isOverloaded() ? 0 : ownLevel();
    for (const Waiter &waiter : m_waiters) {
        spare -= waiter.urgent;
    }
    const Tokens urgent = std::clamp<Tokens>(spare, 0, ask.urgent);
    const Tokens extra = std::min(ask.wanted - urgent, std::max<Tokens>(0, spare - urgent) / extraDivisor);
    const Tokens amount = urgent + extra;
    GrantAnswer answer;
    answer.askId = ask.askId;
    if (amount > 0) {
        const BrokerSettings &settings = m_context.settings;
        m_share->grant(++m_context.lastGrant, amount, now + surelyExpired(settings, settings.grantValidity));
        answer.parts.push_back(GrantPart{m_context.lastGrant, amount, toMicroseconds(settings.grantValidity)});
        ++m_context.counters.loansMade;
        m_context.counters.tokensLent += wholeTokens(amount);
    }
    answer.level = ownLevel();
    answer.busy = isOverloaded();
    answer.reportWithin = reportWithin();
    m_context.outbox.answer(from, incarnation, answer);
    VLOG(1) << "limits: Lent tokens to another share." << base::field("workspace", m_id) << base::field("to", from)
            << base::field("amount", wholeTokens(amount)) << base::field("level", wholeTokens(answer.level));
}

/// Returns the time within which spends must be reported. A grant occupies its part of the burst until it is reported.
/// If the share would fill up meanwhile, late reports cost part of the rate.
std::uint32_t WorkspaceTokens::reportWithin() const
{
    if (m_ownView >= m_views.size() || m_views[m_ownView].rate <= 0) {
        return 0;
    }
    const ShareView &view = m_views[m_ownView];
    const std::chrono::duration<double> fill(static_cast<double>(view.burst) / view.rate);
    if (fill >= slowFillValidities * m_context.settings.grantValidity) {
        return 0;
    }
    const auto part = std::chrono::duration_cast<base::Duration>(fill / reportDivisor);
    return toMicroseconds(std::clamp(part, shortestRetryAfter, maxReportDelay));
}

/// Returns the estimated current level of a share.
Tokens WorkspaceTokens::expectedLevel(const ShareView &view) const
{
    const base::Duration age
        = std::min<base::Duration>(m_context.clock.now() - view.levelReceivedAt, longestRetryAfter);
    return std::min(view.burst, view.level + tokensIn(view.rate, age));
}

/// Returns the estimated time until the shares together have a whole token.
base::Duration WorkspaceTokens::retryAfter() const
{
    Tokens total = available();
    for (const ShareView &view : m_views) {
        if (view.holder != m_context.self.vm && m_context.clock.now() >= view.busyUntil) {
            total += expectedLevel(view);
        }
    }
    if (total >= oneToken || m_rate <= 0) {
        return m_rate <= 0 ? longestRetryAfter : defaultRetryAfter;
    }
    const double seconds = static_cast<double>(oneToken - total) / m_rate;
    const double longest = std::chrono::duration<double>(longestRetryAfter).count();
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(std::min(seconds, longest)));
}

/// Whether so many tokens of the workspace are refused that asking for each request would be useless.
bool WorkspaceTokens::isOverloaded() const
{
    const base::TimePoint now = m_context.clock.now();
    const double refused = m_refusedRate.perSecond(now);
    return refused >= overloadEvents && refused >= overloadFraction * m_requestedRate.perSecond(now);
}

}
