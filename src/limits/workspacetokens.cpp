#include "workspacetokens.h"

#include "papayastep/base/hashing.h"
#include "papayastep/base/log.h"

#include <algorithm>

namespace papayastep::limits {

namespace {

constexpr base::Duration deadlineMargin = std::chrono::milliseconds(5);
constexpr base::Duration shortestRetryAfter = std::chrono::milliseconds(1);
constexpr base::Duration longestRetryAfter = std::chrono::hours(1);
constexpr base::Duration crowdedRetryAfter = std::chrono::milliseconds(20);
constexpr base::Duration overloadPause = std::chrono::milliseconds(200);
constexpr base::Duration longestPause = std::chrono::milliseconds(50);
constexpr base::Duration staleAfter = std::chrono::milliseconds(50);
constexpr base::Duration forgetAfter = std::chrono::seconds(3);
constexpr base::Duration longestSettle = std::chrono::milliseconds(100);
constexpr int settleDivisor = 40; ///< Unreported spends hold up at most this part of a share's refill.
constexpr int slowFill = 8; ///< A share that fills in more grant validities than this loses little to open grants.
constexpr double overloadFraction = 0.3;
constexpr double overloadEvents = 3;
constexpr double prefetchRefill = 0.4; ///< Ask anew when less than this part of the horizon is left.
constexpr double holdFactor = 1.6; ///< Unused tokens go back after this many prefetch horizons.
constexpr int extraDivisor = 4; ///< Tokens that nobody waits for come from at most this part of a level.
constexpr int maxRounds = 3;
constexpr Tokens crumb = oneToken / 1000;

Tokens wholeOnly(Tokens amount)
{
    return amount / oneToken * oneToken;
}

std::uint32_t toMicroseconds(base::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

Tokens yield(double perSecond, base::Duration time)
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
        return Refused{base::ResultCode::DeadlineExceeded, crowdedRetryAfter};
    }
    Waiter need;
    need.request = request;
    need.urgent = oneToken;
    need.until = until;
    m_waiters.push_back(need);
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
    const auto removed
        = std::erase_if(m_waiters, [&request](const Waiter &need) { return !need.remote && need.request == request; });
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
    Waiter need;
    need.remote = true;
    need.from = from;
    need.incarnation = incarnation;
    need.askId = ask.askId;
    need.urgent = ask.urgent;
    need.wanted = ask.wanted;
    need.until = now + m_context.settings.loanTimeout;
    m_waiters.push_back(need);
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
    const auto hold = std::chrono::duration_cast<base::Duration>(m_context.settings.prefetch * holdFactor);
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
        ShareView &site = m_views[ask.view];
        site.level = std::clamp<Tokens>(answer.level, 0, site.burst);
        site.levelReceivedAt = now;
        site.busyUntil = answer.busy ? now + overloadPause : now;
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
    forgetAsks([&](const PendingAsk &ask) { return ask.askedAt + m_context.settings.grantValidity <= now; });
    for (PendingAsk &ask : m_asks) {
        const base::Duration patience = ask.loan ? m_context.settings.loanTimeout : m_context.settings.askTimeout;
        if (!ask.timedOut && ask.askedAt + patience <= now) {
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
    for (const Waiter &need : m_waiters) {
        due = std::min(due, need.until);
    }
    for (const PendingAsk &ask : m_asks) {
        const base::Duration patience = ask.loan ? m_context.settings.loanTimeout : m_context.settings.askTimeout;
        due = std::min(due, ask.askedAt + (ask.timedOut ? m_context.settings.grantValidity : patience));
    }
    return due != base::TimePoint::max() ? due : idleAt();
}

/// When it is next worth a look whether this workspace can be forgotten.
base::TimePoint WorkspaceTokens::idleAt() const
{
    const base::TimePoint unused = m_lastUse + forgetAfter;
    if (!m_share || m_share->isUntouched()) {
        return unused;
    }
    const base::TimePoint full = m_share->timeOfLevel(m_share->terms().burst);
    return std::max({unused, full, m_context.clock.now() + forgetAfter});
}

bool WorkspaceTokens::isIdle() const
{
    const bool used = !m_waiters.empty() || !m_asks.empty() || !m_lots.empty();
    const bool untouched = !m_share || m_share->isUntouched();
    return !used && untouched && m_context.clock.now() - m_lastUse >= forgetAfter;
}

bool WorkspaceTokens::holdsShare() const
{
    return m_share != nullptr;
}

void WorkspaceTokens::forgetTokens()
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
    for (const ShareView &site : m_views) {
        ShareStatus share;
        share.zone = site.zone;
        share.holder = site.holder;
        share.rate = site.rate / static_cast<double>(oneToken);
        share.burst = wholeTokens(site.burst);
        if (m_share && site.holder == m_context.self.vm) {
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

/// Brings sites and share up to date with list, configuration, tenure and clock.
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
        ShareView site;
        site.zone = zone;
        site.holder = holderOf(m_id, zone, m_context.list);
        site.rate = static_cast<double>(terms.ratePerSecond);
        site.burst = terms.burst;
        const auto known = std::find_if(
            before.begin(), before.end(), [&](const ShareView &old) { return old.holder == site.holder; });
        if (known != before.end()) {
            site.level = known->level;
            site.levelReceivedAt = known->levelReceivedAt;
            site.busyUntil = known->busyUntil;
        }
        // Without a share in the own zone, each zone turns to another one, so that the load spreads.
        const std::uint64_t weight = zone == m_context.self.zone
            ? UINT64_MAX
            : base::rendezvousWeight(m_context.self.zone.value(), zone.value());
        if (m_views.empty() || weight > nearest) {
            nearest = weight;
            m_ownView = m_views.size();
        }
        m_views.push_back(site);
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

/// Makes, keeps or drops the share after a change. A share that was away meanwhile starts empty.
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
    forgetAsks([](const PendingAsk &) { return true; });
    refuseAll(code);
}

template<typename Condition>
void WorkspaceTokens::forgetAsks(Condition condition)
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

/// Whether this node answers entries and borrows, instead of asking a holder.
bool WorkspaceTokens::isGatherer() const
{
    const bool asked = std::any_of(m_waiters.begin(), m_waiters.end(), [](const Waiter &need) { return need.remote; });
    const bool first = m_ownView < m_views.size() && m_views[m_ownView].holder == m_context.self.vm;
    return asked || (first && !m_context.draining);
}

/// Serves who waits as far as the tokens go, asks for more where that may help, and refuses the others at once.
void WorkspaceTokens::serveWaiters()
{
    while (!m_waiters.empty() && serveFirst()) {}
    refuseExpired();
    if (m_waiters.empty()) {
        m_answeredShort = false;
        m_loanRounds = 0;
        for (ShareView &site : m_views) {
            site.unanswered = false;
        }
        return;
    }
    requestMissing();
    if (!hasOpenAsks()) {
        refuseAll(base::ResultCode::RateExceeded);
    }
}

/// Serves the one that waits longest, if the tokens suffice.
bool WorkspaceTokens::serveFirst()
{
    const Waiter need = m_waiters.front();
    if (available() < need.urgent) {
        return false;
    }
    m_waiters.erase(m_waiters.begin());
    if (!need.remote) {
        ++m_context.counters.admittedWaiting;
        m_context.decisions.push_back(AdmissionDecision{need.request, Admitted{*takeToken()}});
        return true;
    }
    const Tokens extra = std::min(need.wanted - need.urgent, (available() - need.urgent) / extraDivisor);
    m_requestedRate.add(wholeTokens(wholeOnly(extra)), m_context.clock.now());
    answer(need, need.urgent + wholeOnly(extra));
    return true;
}

void WorkspaceTokens::refuseAll(base::ResultCode code)
{
    const std::vector<Waiter> needs = std::exchange(m_waiters, {});
    for (const Waiter &need : needs) {
        refuse(need, code);
    }
    m_answeredShort = false;
    m_loanRounds = 0;
}

void WorkspaceTokens::refuse(const Waiter &need, base::ResultCode code)
{
    const base::TimePoint now = m_context.clock.now();
    if (need.remote) {
        const Tokens part = std::min(need.urgent, wholeOnly(available()));
        m_refusedRate.add(wholeTokens(need.urgent - part), now);
        answer(need, part);
        return;
    }
    m_refusedRate.add(1, now);
    const bool told = m_answeredShort && !isGatherer();
    m_receivedRetryAfter
        = std::clamp(told ? m_receivedRetryAfter : retryAfter(), shortestRetryAfter, longestRetryAfter);
    const base::Duration pause = isOverloaded() ? overloadPause : std::min(m_receivedRetryAfter, longestPause);
    m_refusedUntil = now + pause;
    m_context.counters.refusedUnanswered += m_answeredShort ? 0 : 1;
    m_context.decisions.push_back(
        AdmissionDecision{need.request, Refused{code, std::max(m_receivedRetryAfter, pause)}});
    VLOG(1) << "limits: Refused a request." << base::field("workspace", m_id) << base::field("request", need.request);
}

void WorkspaceTokens::refuseExpired()
{
    const base::TimePoint now = m_context.clock.now();
    std::vector<Waiter> expired;
    for (const Waiter &need : m_waiters) {
        if (need.until <= now) {
            expired.push_back(need);
        }
    }
    std::erase_if(m_waiters, [now](const Waiter &need) { return need.until <= now; });
    for (const Waiter &need : expired) {
        refuse(need, base::ResultCode::RateExceeded);
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
        askEntryHolder(missing, wholeOnly(yield(horizon, m_context.settings.prefetch)));
    }
}

/// Tokens that are waited for, neither here nor asked for.
Tokens WorkspaceTokens::uncovered() const
{
    Tokens missing = -available();
    for (const Waiter &need : m_waiters) {
        missing += need.urgent;
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
        const ShareView &site = m_views[index];
        const bool reachable = !site.holder.empty() && site.holder != m_context.self.vm;
        if (reachable && !site.unanswered && !m_context.isSuspected(site.holder)) {
            send(index, urgent, urgent + extra, false);
            return;
        }
    }
    // All are under suspicion: ask the first that these requests have not tried.
    for (std::size_t step = 0; step < m_views.size(); ++step) {
        const std::size_t index = (m_ownView + step) % m_views.size();
        const ShareView &site = m_views[index];
        if (!site.holder.empty() && site.holder != m_context.self.vm && !site.unanswered) {
            send(index, urgent, urgent + extra, false);
            return;
        }
    }
}

/// Asks the other shares, those first that probably have most, and no more of them than needed.
void WorkspaceTokens::borrow(Tokens urgent, Tokens extra)
{
    if (m_loanRounds >= maxRounds) {
        return;
    }
    const base::TimePoint now = m_context.clock.now();
    std::vector<std::size_t> lenders;
    Tokens expected = 0;
    for (std::size_t index = 0; index < m_views.size(); ++index) {
        const ShareView &site = m_views[index];
        const bool reachable = !site.holder.empty() && site.holder != m_context.self.vm && !site.unanswered;
        const bool promising = expectedLevel(site) >= crumb || now - site.levelReceivedAt >= staleAfter;
        if (reachable && promising && now >= site.busyUntil && !m_context.isSuspected(site.holder)) {
            lenders.push_back(index);
            expected += expectedLevel(site);
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

void WorkspaceTokens::send(std::size_t site, Tokens urgent, Tokens wanted, bool loan)
{
    PendingAsk ask;
    ask.id = ++m_context.lastAsk;
    ask.view = site;
    ask.to = m_views[site].holder;
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

/// Asks before the tokens run out, so that the requests of a busy workspace wait for no round trip.
void WorkspaceTokens::prefetch()
{
    if (m_views.empty() || hasOpenAsks() || isOverloaded()) {
        return;
    }
    const base::TimePoint now = m_context.clock.now();
    const bool gatherer = isGatherer();
    const double demand = m_requestedRate.perSecond(now) * static_cast<double>(oneToken);
    const double uncoveredDemand = gatherer ? demand - m_views[m_ownView].rate : demand;
    const Tokens horizon = wholeOnly(yield(std::max(0.0, uncoveredDemand), m_context.settings.prefetch));
    const Tokens low = yield(demand * prefetchRefill, m_context.settings.prefetch);
    if (horizon < oneToken || available() >= low) {
        return;
    }
    if (gatherer) {
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

void WorkspaceTokens::answer(const Waiter &need, Tokens amount)
{
    GrantAnswer answer;
    answer.askId = need.askId;
    const Tokens granted = grantParts(answer, amount);
    answer.level = ownLevel();
    answer.busy = isOverloaded();
    answer.reportWithin = reportWithin();
    if (granted < need.urgent) {
        answer.retryAfter = toMicroseconds(std::clamp(retryAfter(), shortestRetryAfter, longestRetryAfter));
    }
    m_context.outbox.answer(need.from, need.incarnation, answer);
    VLOG(1) << "limits: Granted tokens." << base::field("workspace", m_id) << base::field("to", need.from)
            << base::field("amount", wholeTokens(granted)) << base::field("urgent", wholeTokens(need.urgent))
            << base::field("level", wholeTokens(answer.level));
}

/// Gives out loans before the own level, since they expire.
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
    for (const Waiter &need : m_waiters) {
        spare -= need.urgent;
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

/// A grant takes its place in the burst until it is reported. Where the share would fill meanwhile, reports must come
/// soon, or part of the rate is lost.
std::uint32_t WorkspaceTokens::reportWithin() const
{
    if (m_ownView >= m_views.size() || m_views[m_ownView].rate <= 0) {
        return 0;
    }
    const ShareView &site = m_views[m_ownView];
    const std::chrono::duration<double> fill(static_cast<double>(site.burst) / site.rate);
    if (fill >= slowFill * m_context.settings.grantValidity) {
        return 0;
    }
    const auto part = std::chrono::duration_cast<base::Duration>(fill / settleDivisor);
    return toMicroseconds(std::clamp(part, shortestRetryAfter, longestSettle));
}

/// What the share of `site` probably has now.
Tokens WorkspaceTokens::expectedLevel(const ShareView &site) const
{
    const base::Duration age
        = std::min<base::Duration>(m_context.clock.now() - site.levelReceivedAt, longestRetryAfter);
    return std::min(site.burst, site.level + yield(site.rate, age));
}

/// When the shares together will have made a token, as far as is known here.
base::Duration WorkspaceTokens::retryAfter() const
{
    Tokens together = available();
    for (const ShareView &site : m_views) {
        if (site.holder != m_context.self.vm && m_context.clock.now() >= site.busyUntil) {
            together += expectedLevel(site);
        }
    }
    if (together >= oneToken || m_rate <= 0) {
        return m_rate <= 0 ? longestRetryAfter : crowdedRetryAfter;
    }
    const double seconds = static_cast<double>(oneToken - together) / m_rate;
    const double longest = std::chrono::duration<double>(longestRetryAfter).count();
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(std::min(seconds, longest)));
}

/// The workspace sends so much more than it may that asking for each request would be in vain.
bool WorkspaceTokens::isOverloaded() const
{
    const base::TimePoint now = m_context.clock.now();
    const double failed = m_refusedRate.perSecond(now);
    return failed >= overloadEvents && failed >= overloadFraction * m_requestedRate.perSecond(now);
}

}
