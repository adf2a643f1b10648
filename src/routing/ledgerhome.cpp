#include "papayastep/routing/ledgerhome.h"

#include "papayastep/base/log.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

constexpr auto logPrefix = "routing";
/// A VM that the platform does not list may be too new for the lagging list; after this time it counts as gone.
constexpr base::Duration listGrace = std::chrono::seconds(10);
/// The nodes of a first installation start within this time of each other. A sibling that has run for longer shows
/// that LedgerSettings::noEarlierRuns was left set by mistake.
constexpr base::Duration firstStartWindow = std::chrono::seconds(30);
constexpr base::Duration tickEvery = std::chrono::seconds(1);
/// An earlier home that stays silent is asked more rarely, so that a dead VM costs next to nothing.
constexpr base::Duration slowResend = std::chrono::seconds(1);
constexpr base::Duration slowestResend = std::chrono::seconds(10);
constexpr base::Duration slowestAfter = std::chrono::minutes(1);
/// How long it is remembered who fetched and what was lost, even where no route asks for a longer retention.
constexpr base::Duration leastMemory = std::chrono::hours(1);
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

bool LedgerHome::IncomingHandOver::isWhole() const
{
    return last && std::distance(parts.begin(), parts.upper_bound(*last)) == static_cast<std::ptrdiff_t>(*last) + 1;
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

template<typename Value>
void LedgerHome::send(const base::VmId &to, wire::MessageKind kind, const Value &value)
{
    m_messages.push_back(wire::outgoing(to, kind, value));
}

std::vector<wire::Outgoing> LedgerHome::takeMessages()
{
    return std::exchange(m_messages, {});
}

const IdempotencyLedger &LedgerHome::ledger() const
{
    return m_ledger;
}

// Homes and how they move

void LedgerHome::applyConfiguration(config::ConfigurationPtr configuration)
{
    if (m_configuration && configuration->revision() <= m_configuration->revision()) {
        return;
    }
    const auto before = std::exchange(m_configuration, std::move(configuration));
    const base::Revision revision = m_configuration->revision();

    for (const auto &service : m_configuration->services()) {
        const auto now = std::make_shared<const std::vector<base::VmId>>(m_configuration->vmsOf(service.id));
        const bool isOurs = holds(*now, m_self);
        const auto known = m_services.find(service.id);
        if (!isOurs && known == m_services.end()) {
            continue;
        }
        ServiceState &state = m_services[service.id];
        const VmSet old = std::exchange(state.vms, now);
        state.previousRevision = before ? before->revision() : 0;
        // Other keys are ours now, so a fetch that is under way begins again.
        for (Predecessor &predecessor : state.predecessors) {
            predecessor.after = KeyHash();
        }
        if (!isOurs) {
            continue;
        }
        const bool knewService = before && before->service(service.id) != nullptr;
        if (!before || (!knewService && revision > before->revision() + 1)) {
            // A new process, or a service that came and may have moved in revisions that this node has not seen.
            askSiblings(service.id, state);
            continue;
        }
        const VmSet oldVms = old ? old : std::make_shared<const std::vector<base::VmId>>(before->vmsOf(service.id));
        if (*oldVms != *now) {
            moveHome(service.id, state, service.id, oldVms);
        }
        askSkippedHomes(service.id, state, before->revision(), revision);
    }

    // A route that now leads to another service takes its keys with it.
    for (const auto &route : m_configuration->routes()) {
        auto &state = m_services[route.service];
        state.retention = std::max(state.retention, route.retention);
        const auto *old = before ? before->route(route.id) : nullptr;
        if (old != nullptr && old->service != route.service && state.vms && holds(*state.vms, m_self)) {
            const auto vms = std::make_shared<const std::vector<base::VmId>>(before->vmsOf(old->service));
            moveHome(route.service, state, old->service, vms);
        }
    }
    std::erase_if(m_services, [](const auto &entry) { return !entry.second.vms; });
}

/// This process is new. Its earlier self may have granted runs; a planned stop left its records with the siblings.
void LedgerHome::askSiblings(const base::ServiceId &service, ServiceState &state)
{
    for (const auto &vm : *state.vms) {
        Predecessor predecessor;
        predecessor.vm = vm;
        predecessor.heldAs = service;
        predecessor.atStart = true;
        if (vm != m_self) {
            addPredecessor(service, state, predecessor);
        }
    }
    if (state.vms->size() == 1 && !m_settings.noEarlierRuns) {
        Predecessor earlierSelf;
        earlierSelf.vm = m_self;
        earlierSelf.heldAs = service;
        earlierSelf.lost = m_started;
        addPredecessor(service, state, earlierSelf);
    }
}

void LedgerHome::moveHome(const base::ServiceId &service,
                          ServiceState &state,
                          const base::ServiceId &heldAs,
                          const VmSet &before)
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Idempotency homes moved." << base::field("service", service)
                                    << base::field("revision", m_configuration->revision());
    for (const auto &vm : *before) {
        Predecessor predecessor;
        predecessor.vm = vm;
        predecessor.heldAs = heldAs;
        predecessor.scope = Scope::HomeOf;
        predecessor.vms = before;
        if (vm != m_self) {
            addPredecessor(service, state, predecessor);
        }
    }
}

/// Revisions that this node never held may have had other homes. Each of them fetched from us before it granted
/// anything, so we know them, and what they granted since must come back.
void LedgerHome::askSkippedHomes(const base::ServiceId &service,
                                 ServiceState &state,
                                 base::Revision from,
                                 base::Revision to)
{
    for (const Fetcher &fetcher : state.fetchers) {
        if (fetcher.revision > from && fetcher.revision < to) {
            Predecessor predecessor;
            predecessor.vm = fetcher.vm;
            predecessor.heldAs = service;
            addPredecessor(service, state, predecessor);
        }
    }
}

void LedgerHome::addPredecessor(const base::ServiceId &service, ServiceState &state, Predecessor predecessor)
{
    predecessor.asked = m_clock.now();
    if (!predecessor.lost) {
        ask(service, state, predecessor);
    }
    state.predecessors.push_back(std::move(predecessor));
}

void LedgerHome::ask(const base::ServiceId &service, const ServiceState &state, Predecessor &predecessor)
{
    predecessor.sent = m_clock.now();
    LedgerFetch fetch;
    fetch.service = service;
    fetch.heldAs = predecessor.heldAs;
    fetch.revision = m_configuration->revision();
    fetch.previousRevision = state.previousRevision;
    fetch.incarnation = m_incarnation;
    fetch.vms = *state.vms;
    fetch.after = predecessor.after;
    send(predecessor.vm, wire::MessageKind::LedgerFetch, fetch);
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

const LedgerHome::IncomingHandOver *LedgerHome::actingFor(const ServiceState &state,
                                                          const base::ServiceId &service,
                                                          const KeyHash &key) const
{
    if (nextHomeOf(key, *state.vms) != m_self) {
        return nullptr;
    }
    const auto found = m_handedToUs.find({service, homeOf(key, *state.vms)});
    if (found == m_handedToUs.end() || !found->second.isWhole() || found->second.takenBack) {
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
    // Either side may hold the older configuration. Nothing is decided until both name the same home.
    if (claim.revision > revision || state.frozenUntil > revision || claim.revision < state.leastClaimRevision) {
        return std::nullopt;
    }
    if (!isHome(state, claim.key) && actingFor(state, claim.service, claim.key) == nullptr) {
        return std::nullopt;
    }
    if (claim.left <= 0) {
        return refuseNotRun(base::ResultCode::DeadlineExceeded, RetryClass::WithSameKey, {});
    }
    if (auto known = m_ledger.lookUp(claim)) {
        return known;
    }
    // A key from the future would look new to a home that forgot it: never let one run (see gapSince()).
    const auto wallNow = m_clock.wallNow().time_since_epoch();
    if (base::Duration(claim.keyTime) > wallNow + m_settings.keyAhead) {
        return refuseNotRun(base::ResultCode::IdempotencyKeyInvalid, RetryClass::WithNewKey, {});
    }
    if (const auto gap = gapFor(claim.service, state, claim)) {
        return gap->refusal;
    }
    return m_ledger.grant(claim);
}

bool LedgerHome::concerns(const Predecessor &predecessor, const ServiceState &state, const KeyHash &key) const
{
    switch (predecessor.scope) {
    case Scope::Any:
        return true;
    case Scope::NextHomeOf:
        return nextHomeOf(key, *state.vms) == predecessor.vm;
    case Scope::HomeOf:
        break;
    }
    return homeOf(key, *predecessor.vms) == predecessor.vm;
}

/// The whole hand-over of `predecessor`, if it gave `key` to this node.
const LedgerHome::IncomingHandOver *LedgerHome::handedOver(const Predecessor &predecessor, const KeyHash &key) const
{
    const auto found = m_handedToUs.find({predecessor.heldAs, predecessor.vm});
    const bool isOurs = found != m_handedToUs.end() && found->second.isWhole() && !found->second.takenBack
        && predecessor.scope == Scope::HomeOf && nextHomeOf(key, *predecessor.vms) == m_self;
    return isOurs ? &found->second : nullptr;
}

std::optional<LedgerHome::Gap> LedgerHome::gapFor(const base::ServiceId &service,
                                                  const ServiceState &state,
                                                  const LedgerClaim &claim) const
{
    if (!isHome(state, claim.key)) {
        const auto *handOver = actingFor(state, service, claim.key);
        return handOver->lost ? gapSince(*handOver->lost, state, claim) : std::nullopt;
    }
    for (const Predecessor &predecessor : state.predecessors) {
        if (!concerns(predecessor, state, claim.key)) {
            continue;
        }
        const auto *handOver = handedOver(predecessor, claim.key);
        const auto lost = handOver != nullptr ? handOver->lost : predecessor.lost;
        if (lost) {
            if (auto gap = gapSince(*lost, state, claim)) {
                return gap;
            }
        }
        if (lost || handOver != nullptr) {
            continue;
        }
        if (m_clock.now() - predecessor.asked < m_settings.fetchPatience) {
            return Gap{};
        }
        return Gap{refuseNotRun(base::ResultCode::IdempotencyHomeFresh, RetryClass::WithSameKey, retryWhileFetching)};
    }
    return std::nullopt;
}

/// What was known before `lost` is gone. A key may be new all the same when the retention has passed since, or when
/// it carries a time after `lost`: earlier homes ran no key from further in the future than keyAhead, and their
/// calendar clocks differ from ours by at most clockSkew.
std::optional<LedgerHome::Gap> LedgerHome::gapSince(base::TimePoint lost,
                                                    const ServiceState &state,
                                                    const LedgerClaim &claim) const
{
    const base::Duration ago = m_clock.now() - lost;
    const base::Duration retention = std::max(state.retention, base::Duration(claim.retention));
    if (ago >= retention) {
        return std::nullopt;
    }
    const base::Duration lostByWall = m_clock.wallNow().time_since_epoch() - ago;
    if (base::Duration(claim.keyTime) > lostByWall + m_settings.keyAhead + m_settings.clockSkew) {
        return std::nullopt;
    }
    return Gap{refuseNotRun(base::ResultCode::IdempotencyHomeFresh, RetryClass::WithNewKey, retention - ago)};
}

bool LedgerHome::complete(const LedgerComplete &report)
{
    const LedgerRecord &record = report.record;
    const auto found = m_services.find(record.service);
    if (!m_configuration || found == m_services.end()) {
        return false;
    }
    const ServiceState &state = found->second;
    const bool isOurs = isHome(state, record.key) || actingFor(state, record.service, record.key) != nullptr;
    if (!isOurs) {
        return false;
    }
    if (!m_ledger.complete(record)) {
        return false;
    }
    if (m_stopping) {
        // The record may be under way to the next home already, in the state before.
        LedgerHandOver part;
        part.service = record.service;
        if (auto current = m_ledger.record(record.key)) {
            part.records.push_back(std::move(*current));
            queuePart(nextHomeOf(record.key, *state.vms), std::move(part));
        }
    }
    // While frozen, or after a fetch, the new home must hear it too: no acknowledgement, so the entry asks on.
    return state.frozenUntil <= m_configuration->revision();
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
        throw base::Error(base::ResultCode::MessageUnknownKind, "not a message for the home of a ledger");
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

void LedgerHome::receiveFetch(const base::VmId &from, const LedgerFetch &fetch)
{
    LedgerFetchResult result;
    result.service = fetch.service;
    result.heldAs = fetch.heldAs;
    result.revision = fetch.revision;
    result.incarnation = fetch.incarnation;
    result.after = fetch.after;

    const base::Revision own = m_configuration ? m_configuration->revision() : 0;
    ServiceState *state = nullptr;
    if (const auto known = m_services.find(fetch.heldAs); known != m_services.end()) {
        // Another home may have been told of a later revision and may grant by it. An asker that is behind must not
        // become home beside it, so it gets no answer before it has caught up.
        if (fetch.revision < std::max(own, known->second.frozenUntil)) {
            return;
        }
    } else if (fetch.revision < own) {
        return;
    }
    if (const auto found = m_services.find(fetch.heldAs); found != m_services.end()) {
        state = &found->second;
        // From here on this node grants nothing for the service under an older revision.
        state->frozenUntil = std::max(state->frozenUntil, fetch.revision);
    } else if (own < fetch.revision) {
        // Nothing is known of the service here, and an older configuration must not make this node its home later.
        state = &m_services[fetch.heldAs];
        state->vms = std::make_shared<const std::vector<base::VmId>>();
        state->frozenUntil = fetch.revision;
    }

    const auto handed = m_handedToUs.find({fetch.service, from});
    const bool isRestart = handed != m_handedToUs.end() && handed->second.incarnation != fetch.incarnation;
    if (isRestart && !handed->second.takenBack) {
        handed->second.takenBack = fetch.incarnation;
    }
    const bool vouches = isRestart && handed->second.isWhole() && handed->second.takenBack == fetch.incarnation;
    result.vouches = vouches;

    if (fetch.previousRevision == 0) {
        result.lostAgo = vouches ? agoOf(handed->second.lost) : agoOf(m_started);
    } else {
        result.lostAgo = state != nullptr ? agoOf(lostAt(fetch.heldAs, *state)) : agoOf(m_started);
    }
    if (state != nullptr) {
        for (const Predecessor &predecessor : state->predecessors) {
            if (!predecessor.lost && predecessor.vm != from) {
                result.others.push_back(predecessor.vm);
            }
        }
        for (const Fetcher &fetcher : state->fetchers) {
            if (fetcher.vm != from && fetcher.revision > fetch.previousRevision && fetcher.revision < fetch.revision) {
                result.others.push_back(fetcher.vm);
            }
        }
        noteFetcher(*state, from, fetch);
    }
    result.records = m_ledger.page(
        fetch.after,
        [&](const KeyHash &key, const base::ServiceId &service) {
            return service == fetch.heldAs && homeOf(key, fetch.vms) == from;
        },
        result.last);
    send(from, wire::MessageKind::LedgerFetchResult, result);
}

void LedgerHome::noteFetcher(ServiceState &state, const base::VmId &from, const LedgerFetch &fetch)
{
    if (fetch.service != fetch.heldAs) {
        // A route moved to another service. An entry that does not know it yet would have its keys run here too.
        state.leastClaimRevision = std::max(state.leastClaimRevision, fetch.revision);
    }
    std::erase_if(state.fetchers,
                  [&](const Fetcher &fetcher) { return fetcher.vm == from && fetcher.revision == fetch.revision; });
    state.fetchers.push_back(Fetcher{from, fetch.revision, m_clock.now()});
}

void LedgerHome::receiveFetchResult(const base::VmId &from, const LedgerFetchResult &result)
{
    const auto found = m_services.find(result.service);
    const bool isForUs = m_configuration && result.revision == m_configuration->revision()
        && result.incarnation == m_incarnation && found != m_services.end();
    if (!isForUs) {
        return;
    }
    ServiceState &state = found->second;
    const auto isAsked = [&](const Predecessor &predecessor) {
        return predecessor.vm == from && predecessor.heldAs == result.heldAs && !predecessor.lost
            && predecessor.after == result.after;
    };
    if (std::none_of(state.predecessors.begin(), state.predecessors.end(), isAsked)) {
        return;
    }
    for (LedgerRecord record : result.records) {
        record.service = result.service;
        if (!m_ledger.merge(record)) {
            return; // No room: not settled, asked again later.
        }
    }
    for (Predecessor &predecessor : state.predecessors) {
        if (!isAsked(predecessor)) {
            continue;
        }
        if (!result.last) {
            predecessor.after = result.records.back().key;
            ask(result.service, state, predecessor);
        }
    }
    if (!result.last) {
        return;
    }

    state.answered[from] = result.revision;
    std::vector<Predecessor> open;
    for (Predecessor &predecessor : state.predecessors) {
        bool isSettled = false;
        if (isAsked(predecessor)) {
            settle(predecessor, result, isSettled);
        }
        if (!isSettled) {
            open.push_back(std::move(predecessor));
        }
    }
    state.predecessors = std::move(open);
    PAPAYASTEP_LOG(INFO, logPrefix) << "An earlier idempotency home gave its records."
                                    << base::field("service", result.service) << base::field("from", from)
                                    << base::field("open", state.predecessors.size());

    for (const auto &vm : result.others) {
        const auto answered = state.answered.find(vm);
        const bool isDone = answered != state.answered.end() && answered->second == result.revision;
        const bool isOpen = std::any_of(state.predecessors.begin(), state.predecessors.end(), [&](const auto &p) {
            return p.vm == vm && !p.lost && p.scope == Scope::Any;
        });
        if (vm == m_self || isDone || isOpen) {
            continue;
        }
        Predecessor predecessor;
        predecessor.vm = vm;
        predecessor.heldAs = result.heldAs;
        addPredecessor(result.service, state, predecessor);
    }
}

/// All pages of `predecessor` are here. What it can't vouch for stays open as lost.
void LedgerHome::settle(Predecessor &predecessor, const LedgerFetchResult &result, bool &isSettled) const
{
    auto lost = timeOf(result.lostAgo);
    if (predecessor.atStart) {
        predecessor.scope = Scope::NextHomeOf;
        const bool startedTogether = lost && *lost > m_started - firstStartWindow;
        if (!result.vouches) {
            lost = m_settings.noEarlierRuns && startedTogether ? std::nullopt : later(lost, m_started);
        }
    }
    predecessor.lost = lost;
    isSettled = !lost.has_value();
}

std::int64_t LedgerHome::agoOf(const std::optional<base::TimePoint> &at) const
{
    return at ? std::max<std::int64_t>((m_clock.now() - *at).count(), 0) : -1;
}

std::optional<base::TimePoint> LedgerHome::timeOf(std::int64_t ago) const
{
    return ago < 0 ? std::nullopt : std::optional(m_clock.now() - base::Duration(ago));
}

std::optional<base::TimePoint> LedgerHome::lostAt(const base::ServiceId &service, const ServiceState &state) const
{
    std::optional<base::TimePoint> result;
    for (const Predecessor &predecessor : state.predecessors) {
        const auto lost = predecessor.lost || !predecessor.atStart ? predecessor.lost : std::optional(m_started);
        result = later(result, lost);
    }
    for (const auto &[from, handOver] : m_handedToUs) {
        result = from.first == service && !handOver.takenBack ? later(result, handOver.lost) : result;
    }
    return result;
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
    // With a gap that is still open, nobody may act for this home as if it knew everything.
    const bool isWhole = std::all_of(
        state.predecessors.begin(), state.predecessors.end(), [](const auto &p) { return p.lost.has_value(); });
    for (const auto &vm : *state.vms) {
        if (vm == m_self) {
            continue;
        }
        KeyHash after;
        for (bool last = false; !last;) {
            LedgerHandOver part;
            part.service = service;
            part.records = m_ledger.page(
                after,
                [&](const KeyHash &key, const base::ServiceId &ofRecord) {
                    return ofRecord == service && isHome(state, key) && nextHomeOf(key, *state.vms) == vm;
                },
                last);
            if (!part.records.empty()) {
                after = part.records.back().key;
            }
            part.last = last && isWhole;
            part.lostAgo = agoOf(lostAt(service, state));
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
    part.part = m_nextPart[{part.service, to}]++;
    send(to, wire::MessageKind::LedgerHandOver, part);
    m_parts.push_back(OutgoingPart{to, std::move(part), m_clock.now()});
}

bool LedgerHome::handOverDone() const
{
    return m_stopping && m_parts.empty();
}

void LedgerHome::receiveHandOver(const base::VmId &from, const LedgerHandOver &part)
{
    IncomingHandOver &handOver = m_handedToUs[{part.service, from}];
    if (handOver.incarnation != part.incarnation) {
        handOver = IncomingHandOver();
        handOver.incarnation = part.incarnation;
    }
    for (const LedgerRecord &record : part.records) {
        if (!m_ledger.merge(record)) {
            return; // No room: no acknowledgement, so the other side doesn't think that we have it.
        }
    }
    handOver.parts.insert(part.part);
    handOver.lost = later(handOver.lost, timeOf(part.lostAgo));
    if (part.last) {
        handOver.last = part.part;
    }
    send(
        from, wire::MessageKind::LedgerHandOverResult, LedgerHandOverResult{part.service, part.incarnation, part.part});
    if (part.last) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "An idempotency home handed its records over."
                                        << base::field("service", part.service) << base::field("from", from);
    }
}

void LedgerHome::receiveHandOverResult(const base::VmId &from, const LedgerHandOverResult &result)
{
    if (result.incarnation != m_incarnation) {
        return;
    }
    std::erase_if(m_parts, [&](const OutgoingPart &sent) {
        return sent.to == from && sent.part.service == result.service && sent.part.part == result.part;
    });
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
        if (predecessor.lost) {
            continue;
        }
        const base::Duration waited = now - predecessor.asked;
        if (neverWas(predecessor)) {
            continue;
        }
        if (isGone(predecessor)) {
            predecessor.lost = now;
            predecessor.scope = predecessor.atStart ? Scope::NextHomeOf : predecessor.scope;
            PAPAYASTEP_LOG(WARNING, logPrefix) << "An earlier idempotency home is gone with its records."
                                               << base::field("service", service) << base::field("vm", predecessor.vm);
        } else if (now - predecessor.sent >= resendInterval(waited, m_settings)) {
            ask(service, state, predecessor);
        }
    }
    const base::Duration retention = std::max<base::Duration>(state.retention, leastMemory);
    std::erase_if(state.predecessors, [&](const Predecessor &predecessor) {
        return neverWas(predecessor) || (predecessor.lost && now - *predecessor.lost >= retention);
    });
    std::erase_if(state.fetchers, [&](const Fetcher &fetcher) { return now - fetcher.at >= retention; });
}

bool LedgerHome::isGone(const Predecessor &predecessor) const
{
    return m_hasList && !m_listed.contains(predecessor.vm) && m_clock.now() - predecessor.asked >= listGrace;
}

/// A first installation where the configuration names VMs that do not run yet.
bool LedgerHome::neverWas(const Predecessor &predecessor) const
{
    return m_settings.noEarlierRuns && predecessor.atStart && !predecessor.lost && m_hasList
        && !m_listed.contains(predecessor.vm) && m_clock.now() - m_started < firstStartWindow;
}

base::TimePoint LedgerHome::nextTick() const
{
    const bool isWaiting = std::any_of(m_services.begin(), m_services.end(), [](const auto &entry) {
        const auto &predecessors = entry.second.predecessors;
        return std::any_of(predecessors.begin(), predecessors.end(), [](const auto &p) { return !p.lost; });
    });
    return m_clock.now() + (isWaiting || !m_parts.empty() ? m_settings.resendEvery : tickEvery);
}

bool LedgerHome::isCovered(const base::ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.predecessors.empty();
}

}
