#include "papayastep/routing/ledgerhome.h"

#include "papayastep/base/log.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

constexpr auto logPrefix = "routing";
/// Time after which a VM that the platform does not list counts as gone. Before it, the VM may be too new for the
/// lagging list.
constexpr base::Duration listGrace = std::chrono::seconds(10);
/// Time within which all nodes of a first installation start. A sibling that has run for longer shows that
/// LedgerSettings::noEarlierRuns was left set by mistake.
constexpr base::Duration firstStartWindow = std::chrono::seconds(30);
constexpr base::Duration tickEvery = std::chrono::seconds(1);
/// Resend intervals for an earlier home that stays silent: it is asked less often, so that the cost of a dead VM is
/// negligible.
constexpr base::Duration slowResend = std::chrono::seconds(1);
constexpr base::Duration slowestResend = std::chrono::seconds(10);
constexpr base::Duration slowestAfter = std::chrono::minutes(1);
/// Retention of the data on fetches and lost records for a service of which no route states a retention.
constexpr base::Duration defaultRetention = std::chrono::hours(1);
constexpr base::Duration retryWhileFetching = std::chrono::seconds(1);

ClaimAnswer refuseNotRun(base::ResultCode code, RetryClass retryClass, base::Duration retryAfter)
{
    return ClaimAnswer{ClaimVerdict::Refuse, {}, Refusal{Outcome::NotRun, code, retryClass, retryAfter}};
}

LedgerClaimResult messageOf(const base::RequestId &request, const ClaimAnswer &answer)
{
    LedgerClaimResult result;
    result.request = request;
    result.verdict = static_cast<std::uint8_t>(answer.verdict);
    result.code = base::number(answer.refusal.code);
    result.outcome = static_cast<std::uint8_t>(answer.refusal.outcome);
    result.retryClass = static_cast<std::uint8_t>(answer.refusal.retryClass);
    result.retryAfter = answer.refusal.retryAfter.count();
    result.answer = answer.answer;
    return result;
}

base::Duration resendInterval(base::Duration waited, const LedgerSettings &settings)
{
    if (waited < slowResend) {
        return settings.resendEvery;
    }
    return waited < slowestAfter ? slowResend : slowestResend;
}

bool holds(const std::vector<base::VmId> &vms, const base::VmId &vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

std::optional<base::TimePoint> later(std::optional<base::TimePoint> a, std::optional<base::TimePoint> b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::max(*a, *b);
}

}

LedgerHome::LedgerHome(const base::Clock &clock,
                       base::VmId self,
                       base::Incarnation incarnation,
                       LedgerSettings settings)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_started(clock.now())
    , m_ledger(clock, settings)
    , m_lastTick(clock.now())
{
}

std::vector<wire::Outgoing> LedgerHome::takeMessages()
{
    return std::exchange(m_messages, {});
}

const IdempotencyLedger &LedgerHome::ledger() const
{
    return m_ledger;
}

void LedgerHome::applyVmList(const config::VmList &list)
{
    m_listed.clear();
    for (const auto &vm : list.vms) {
        m_listed.insert(vm.id);
    }
    m_hasList = true;
}

// Claims

bool LedgerHome::isHome(const ServiceState &state, const KeyHash &key) const
{
    return homeOf(key, *state.vms) == m_self;
}

const LedgerHome::IncomingHandOver *LedgerHome::actingHandOver(const ServiceState &state,
                                                               const base::ServiceId &service,
                                                               const KeyHash &key) const
{
    if (nextHomeOf(key, *state.vms) != m_self) {
        return nullptr;
    }
    const auto found = m_incomingHandOvers.find({service, homeOf(key, *state.vms)});
    const bool isWhole = found != m_incomingHandOvers.end() && found->second.isWhole && found->second.isCurrent
        && found->second.vms == *state.vms;
    if (!isWhole || found->second.reclaimedBy) {
        return nullptr;
    }
    return &found->second;
}

std::optional<ClaimAnswer> LedgerHome::claim(const LedgerClaim &claim)
{
    const auto found = m_services.find(claim.service);
    if (m_stopping || !m_configuration || found == m_services.end()) {
        return std::nullopt;
    }
    const base::Revision revision = m_configuration->revision();
    const ServiceState &state = found->second;
    // Either side may hold the older configuration. No claim is decided until both determine the same home.
    if (claim.revision > revision || state.frozenUntilRevision > revision || claim.revision < state.minClaimRevision) {
        return std::nullopt;
    }
    if (!isHome(state, claim.key) && actingHandOver(state, claim.service, claim.key) == nullptr) {
        return std::nullopt;
    }
    if (claim.remaining <= 0) {
        return refuseNotRun(base::ResultCode::DeadlineExceeded, RetryClass::WithSameKey, {});
    }
    if (auto known = m_ledger.lookUp(claim)) {
        return known;
    }
    // A key from the future would look new to a home that lost its record, so none may run (see grantBlockAfterLoss()).
    const auto wallNow = m_clock.wallNow().time_since_epoch();
    if (base::Duration(claim.keyTime) > wallNow + m_settings.maxKeyAhead) {
        return refuseNotRun(base::ResultCode::IdempotencyKeyInvalid, RetryClass::WithNewKey, {});
    }
    if (const auto block = grantBlockFor(claim.service, state, claim)) {
        return block->refusal;
    }
    return m_ledger.grant(claim);
}

bool LedgerHome::isCoveredByHandOver(const ServiceState &state, const KeyHash &key) const
{
    return state.handOverVms && homeOf(key, *state.handOverVms) == m_self
        && state.handOverHolders.contains(nextHomeOf(key, *state.handOverVms));
}

bool LedgerHome::concernsKey(const Predecessor &predecessor, const ServiceState &state, const KeyHash &key) const
{
    if (predecessor.before && homeOf(key, *predecessor.before) == m_self) {
        return false;
    }
    // The records of this VM's earlier process are back, and it was home of this key. They cover what others lost
    // before.
    return !(predecessor.lostAt && predecessor.atStart && isCoveredByHandOver(state, key));
}

/// Returns the whole hand-over of the home that `key` had before the move, if that home chose this node as the next
/// one.
const LedgerHome::IncomingHandOver *LedgerHome::completedHandOver(const Predecessor &predecessor,
                                                                  const KeyHash &key) const
{
    if (!predecessor.before) {
        return nullptr;
    }
    const auto found = m_incomingHandOvers.find({predecessor.sourceService, homeOf(key, *predecessor.before)});
    const bool isOurs = found != m_incomingHandOvers.end() && found->second.isWhole && !found->second.reclaimedBy
        && found->second.vms == *predecessor.before && nextHomeOf(key, *predecessor.before) == m_self;
    return isOurs ? &found->second : nullptr;
}

std::optional<LedgerHome::GrantBlock> LedgerHome::grantBlockFor(const base::ServiceId &service,
                                                                const ServiceState &state,
                                                                const LedgerClaim &claim) const
{
    if (!isHome(state, claim.key)) {
        const auto *handOver = actingHandOver(state, service, claim.key);
        return handOver->lostAt ? grantBlockAfterLoss(*handOver->lostAt, state, claim) : std::nullopt;
    }
    for (const Predecessor &predecessor : state.predecessors) {
        if (!concernsKey(predecessor, state, claim.key)) {
            continue;
        }
        const auto *handOver = completedHandOver(predecessor, claim.key);
        const auto lost = handOver != nullptr ? handOver->lostAt : predecessor.lostAt;
        if (lost) {
            if (auto block = grantBlockAfterLoss(*lost, state, claim)) {
                return block;
            }
        }
        if (!isOpen(predecessor, state, claim.key)) {
            continue;
        }
        if (m_clock.now() - predecessor.firstAsked < m_settings.fetchTimeout) {
            return GrantBlock{};
        }
        return GrantBlock{
            refuseNotRun(base::ResultCode::IdempotencyHomeFresh, RetryClass::WithSameKey, retryWhileFetching)};
    }
    return std::nullopt;
}

/// Returns the block of a claim whose record may have been lost, as records from before `lost` are missing. The key is
/// certainly new if the retention has passed since, or if the key contains a time after `lost`: earlier homes ran no
/// key from further in the future than maxKeyAhead, and their calendar clocks differ from this node's by at most
/// clockSkew.
std::optional<LedgerHome::GrantBlock> LedgerHome::grantBlockAfterLoss(base::TimePoint lost,
                                                                      const ServiceState &state,
                                                                      const LedgerClaim &claim) const
{
    const base::Duration ago = m_clock.now() - lost;
    const base::Duration retention = std::max(retentionOf(state), base::Duration(claim.retention));
    if (ago >= retention) {
        return std::nullopt;
    }
    const base::Duration lostByWall = m_clock.wallNow().time_since_epoch() - ago;
    if (base::Duration(claim.keyTime) > lostByWall + m_settings.maxKeyAhead + m_settings.clockSkew) {
        return std::nullopt;
    }
    return GrantBlock{refuseNotRun(base::ResultCode::IdempotencyHomeFresh, RetryClass::WithNewKey, retention - ago)};
}

bool LedgerHome::complete(const LedgerComplete &report)
{
    const LedgerRecord &record = report.record;
    const auto found = m_services.find(record.service);
    if (!m_configuration || found == m_services.end()) {
        return false;
    }
    const ServiceState &state = found->second;
    const bool isOurs = isHome(state, record.key) || actingHandOver(state, record.service, record.key) != nullptr;
    if (!isOurs) {
        return false;
    }
    if (!m_ledger.complete(record)) {
        return false;
    }
    const bool nextHasIt = !m_stopping || forwardRecord(state, record.key);
    // While frozen, or after a fetch, the new home needs the report too. Without an acknowledgement the entry resends
    // it.
    if (!nextHasIt || state.frozenUntilRevision > m_configuration->revision()) {
        return false;
    }
    // An earlier home that has not answered yet may still answer claims by its older record. A stopping node answers no
    // claims, and must not be delayed by a silent home.
    return m_stopping || std::none_of(state.predecessors.begin(), state.predecessors.end(), [&](const auto &p) {
               return isOpen(p, state, record.key);
           });
}

/// Returns whether `predecessor` may still answer claims for `key`, as it has neither answered nor stopped.
bool LedgerHome::isOpen(const Predecessor &predecessor, const ServiceState &state, const KeyHash &key) const
{
    return !predecessor.lostAt && isHome(state, key) && concernsKey(predecessor, state, key)
        && completedHandOver(predecessor, key) == nullptr;
}

/// Sends a record that changed after the hand-over began to the next home, and returns whether the next home has
/// acknowledged it. The next home may act already, and would answer a repeat that the run has not ended although the
/// caller has its answer.
bool LedgerHome::forwardRecord(const ServiceState &state, const KeyHash &key)
{
    const auto current = m_ledger.record(key);
    const base::VmId next = nextHomeOf(key, *state.vms);
    if (!current || next.empty() || next == m_self) {
        return true;
    }
    if (m_forwarded.emplace(current->request, current->state).second) {
        LedgerHandOver part;
        part.service = current->service;
        part.records.push_back(*current);
        queuePart(next, std::move(part));
    }
    return std::none_of(m_parts.begin(), m_parts.end(), [&](const OutgoingPart &sent) {
        const auto &records = sent.part.records;
        return std::any_of(records.begin(), records.end(), [&](const LedgerRecord &record) {
            return record.request == current->request && record.state == current->state;
        });
    });
}

// Messages

void LedgerHome::receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload)
{
    switch (kind) {
    case wire::MessageKind::LedgerClaim:
        return receiveClaim(from, wire::decode<LedgerClaim>(payload));
    case wire::MessageKind::LedgerComplete:
        return receiveComplete(from, wire::decode<LedgerComplete>(payload));
    case wire::MessageKind::LedgerFetch:
        return receiveFetch(from, wire::decode<LedgerFetch>(payload));
    case wire::MessageKind::LedgerFetchResult:
        return receiveFetchResult(from, wire::decode<LedgerFetchResult>(payload));
    case wire::MessageKind::LedgerHandOver:
        return receiveHandOver(from, wire::decode<LedgerHandOver>(payload));
    case wire::MessageKind::LedgerHandOverResult:
        return receiveHandOverResult(from, wire::decode<LedgerHandOverResult>(payload));
    default:
        throw base::Error(base::ResultCode::MessageUnknownKind,
                          "the message kind is not for the home side of a ledger");
    }
}

void LedgerHome::receiveClaim(const base::VmId &from, const LedgerClaim &message)
{
    if (const auto answer = claim(message)) {
        send(from, wire::MessageKind::LedgerClaimResult, messageOf(message.request, *answer));
    }
}

void LedgerHome::receiveComplete(const base::VmId &from, const LedgerComplete &report)
{
    if (complete(report)) {
        send(from, wire::MessageKind::LedgerCompleteResult, LedgerCompleteResult{report.record.request});
    }
}

std::int64_t LedgerHome::elapsedSince(const std::optional<base::TimePoint> &at) const
{
    return at ? std::max<std::int64_t>((m_clock.now() - *at).count(), 0) : -1;
}

std::optional<base::TimePoint> LedgerHome::timeOf(std::int64_t ago) const
{
    return ago < 0 ? std::nullopt : std::optional(m_clock.now() - base::Duration(ago));
}

std::optional<base::TimePoint> LedgerHome::latestLoss(const base::ServiceId &service, const ServiceState &state) const
{
    std::optional<base::TimePoint> result;
    for (const Predecessor &predecessor : state.predecessors) {
        const bool isUndecided = !predecessor.lostAt && predecessor.atStart && !m_settings.noEarlierRuns;
        result = later(result, isUndecided ? std::optional(m_started) : predecessor.lostAt);
    }
    for (const auto &[from, handOver] : m_incomingHandOvers) {
        result = from.first == service && !handOver.reclaimedBy ? later(result, handOver.lostAt) : result;
    }
    return result;
}

base::Duration LedgerHome::retentionOf(const ServiceState &state) const
{
    return state.retention > base::Duration::zero() ? state.retention : defaultRetention;
}

base::Duration LedgerHome::age() const
{
    return m_clock.now() - m_started;
}

// The planned stop

void LedgerHome::beginHandOver()
{
    if (std::exchange(m_stopping, true)) {
        return;
    }
    for (const auto &[service, state] : m_services) {
        if (state.vms && holds(*state.vms, m_self)) {
            handOverService(service, state);
        }
    }
}

void LedgerHome::handOverService(const base::ServiceId &service, const ServiceState &state)
{
    // While an earlier home has neither answered nor stopped, no next home may act for this home, as records may be
    // missing.
    const bool isWhole = std::all_of(
        state.predecessors.begin(), state.predecessors.end(), [](const auto &p) { return p.lostAt.has_value(); });
    for (const auto &vm : *state.vms) {
        if (vm == m_self) {
            continue;
        }
        OutgoingHandOver &outgoing = m_outgoingHandOvers[{service, vm}];
        outgoing.mayFinish = isWhole;
        outgoing.vms = *state.vms;
        outgoing.lostAt = latestLoss(service, state);
        KeyHash after;
        for (bool isLast = false; !isLast;) {
            LedgerHandOver part;
            part.service = service;
            part.records = m_ledger.page(
                after,
                [&](const KeyHash &key, const base::ServiceId &ofRecord) {
                    return ofRecord == service && isHome(state, key) && nextHomeOf(key, *state.vms) == vm;
                },
                isLast);
            if (!part.records.empty()) {
                after = part.records.back().key;
            }
            queuePart(vm, std::move(part));
        }
    }
}

void LedgerHome::queuePart(const base::VmId &to, LedgerHandOver part)
{
    if (to.empty() || to == m_self) {
        return;
    }
    part.incarnation = m_incarnation;
    part.part = m_outgoingHandOvers[{part.service, to}].nextPart++;
    send(to, wire::MessageKind::LedgerHandOver, part);
    m_parts.push_back(OutgoingPart{to, std::move(part), m_clock.now()});
}

/// Sends the last part after all others were acknowledged, which permits the next home to act.
void LedgerHome::finishHandOver(const base::ServiceId &service, const base::VmId &to)
{
    OutgoingHandOver &outgoing = m_outgoingHandOvers[{service, to}];
    if (!outgoing.mayFinish || outgoing.hasFinished || !outgoing.receiver) {
        return;
    }
    outgoing.hasFinished = true;
    LedgerHandOver part;
    part.service = service;
    part.last = true;
    part.lostAgo = elapsedSince(outgoing.lostAt);
    part.vms = outgoing.vms;
    part.receiver = *outgoing.receiver;
    queuePart(to, std::move(part));
}

bool LedgerHome::handOverDone() const
{
    return m_stopping && m_parts.empty();
}

void LedgerHome::receiveHandOver(const base::VmId &from, const LedgerHandOver &part)
{
    IncomingHandOver &handOver = m_incomingHandOvers[{part.service, from}];
    if (handOver.pastIncarnations.contains(part.incarnation)) {
        return;
    }
    if (handOver.incarnation != part.incarnation) {
        auto past = std::move(handOver.pastIncarnations);
        past.insert(handOver.incarnation);
        handOver = IncomingHandOver();
        handOver.incarnation = part.incarnation;
        handOver.pastIncarnations = std::move(past);
    }
    for (const LedgerRecord &record : part.records) {
        if (!m_ledger.merge(record)) {
            return; // There is no room. Without an acknowledgement the sender does not count the part as received.
        }
    }
    if (part.last && part.receiver == m_incarnation) {
        handOver.isWhole = true;
        handOver.vms = part.vms;
        handOver.lostAt = timeOf(part.lostAgo);
        PAPAYASTEP_LOG(INFO, logPrefix) << "An idempotency home handed over its records."
                                        << base::field("service", part.service) << base::field("from", from);
    }
    const LedgerHandOverResult result{part.service, part.incarnation, part.part, m_incarnation};
    send(from, wire::MessageKind::LedgerHandOverResult, result);
}

void LedgerHome::receiveHandOverResult(const base::VmId &from, const LedgerHandOverResult &result)
{
    if (result.incarnation != m_incarnation) {
        return;
    }
    const auto isOpen
        = [&](const OutgoingPart &sent) { return sent.to == from && sent.part.service == result.service; };
    const auto erased = std::erase_if(
        m_parts, [&](const OutgoingPart &sent) { return isOpen(sent) && sent.part.part == result.part; });
    if (erased == 0) {
        return;
    }
    OutgoingHandOver &outgoing = m_outgoingHandOvers[{result.service, from}];
    if (outgoing.receiver.value_or(result.receiver) != result.receiver) {
        outgoing.mayFinish = false; // The next home has restarted, and neither of its processes has all records.
    }
    outgoing.receiver = result.receiver;
    if (std::none_of(m_parts.begin(), m_parts.end(), isOpen)) {
        finishHandOver(result.service, from);
    }
}

// Time

void LedgerHome::tick()
{
    const auto now = m_clock.now();
    for (auto &[service, state] : m_services) {
        if (m_configuration) {
            tickService(service, state);
        }
    }
    for (OutgoingPart &part : m_parts) {
        if (now - part.sent >= m_settings.resendEvery) {
            part.sent = now;
            send(part.to, wire::MessageKind::LedgerHandOver, part.part);
        }
    }
    if (now - m_lastTick >= tickEvery) {
        m_lastTick = now;
        m_ledger.tick();
    }
}

void LedgerHome::tickService(const base::ServiceId &service, ServiceState &state)
{
    const auto now = m_clock.now();
    for (Predecessor &predecessor : state.predecessors) {
        if (predecessor.lostAt) {
            continue;
        }
        const base::Duration waited = now - predecessor.firstAsked;
        if (wasNeverHome(predecessor)) {
            continue;
        }
        if (isGone(predecessor)) {
            predecessor.lostAt = now;
            state.seenIncarnations.try_emplace(predecessor.vm, base::Incarnation());
            PAPAYASTEP_LOG(WARNING, logPrefix) << "An earlier idempotency home is gone, and its records are lost."
                                               << base::field("service", service) << base::field("vm", predecessor.vm);
        } else if (now - predecessor.lastAsked >= resendInterval(waited, m_settings)) {
            sendFetch(service, state, predecessor);
        }
    }
    const base::Duration retention = retentionOf(state);
    std::erase_if(state.predecessors, [&](const Predecessor &predecessor) {
        return wasNeverHome(predecessor) || (predecessor.lostAt && now - *predecessor.lostAt >= retention);
    });
    std::erase_if(state.fetchers, [&](const Fetcher &fetcher) { return now - fetcher.at >= retention; });
    std::erase_if(state.formerHomes, [&](const auto &entry) { return now - entry.second >= retention; });
    std::erase_if(state.seenIncarnations, [&](const auto &entry) {
        return !holds(*state.vms, entry.first) && !state.formerHomes.contains(entry.first);
    });
}

bool LedgerHome::isGone(const Predecessor &predecessor) const
{
    return m_hasList && !m_listed.contains(predecessor.vm) && m_clock.now() - predecessor.firstAsked >= listGrace;
}

/// Returns whether `predecessor` is a VM of a first installation that is configured but does not run yet.
bool LedgerHome::wasNeverHome(const Predecessor &predecessor) const
{
    return m_settings.noEarlierRuns && predecessor.atStart && !predecessor.lostAt && m_hasList
        && !m_listed.contains(predecessor.vm) && m_clock.now() - m_started < firstStartWindow;
}

base::TimePoint LedgerHome::nextTick() const
{
    const bool isWaiting = std::any_of(m_services.begin(), m_services.end(), [](const auto &entry) {
        const auto &predecessors = entry.second.predecessors;
        return std::any_of(predecessors.begin(), predecessors.end(), [](const auto &p) { return !p.lostAt; });
    });
    return m_clock.now() + (isWaiting || !m_parts.empty() ? m_settings.resendEvery : tickEvery);
}

bool LedgerHome::hasResolvedEarlierHomes(const base::ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end()
        && std::all_of(found->second.predecessors.begin(), found->second.predecessors.end(), [](const auto &p) {
               return p.lostAt.has_value();
           });
}

}
