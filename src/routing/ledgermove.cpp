// The part of LedgerHome for homes that move: determines the earlier homes and fetches their records.
#include "papayastep/base/log.h"
#include "papayastep/routing/ledgerhome.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

constexpr auto logPrefix = "routing";
/// Time within which all nodes of a first installation start. A sibling that has run for longer shows that
/// LedgerSettings::noEarlierRuns was left set by mistake.
constexpr base::Duration firstStartWindow = std::chrono::seconds(30);

bool holds(const std::vector<base::VmId> &vms, const base::VmId &vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

/// Returns whether the servers of `service` are on the same VMs as before. This holds for nearly every service after a
/// change. The names are not copied: with 1,200 services the copies would delay requests by many milliseconds.
bool isUnchanged(const config::Configuration &before, const config::Configuration &now, const base::ServiceId &service)
{
    const auto &old = before.serversOf(service);
    const auto &current = now.serversOf(service);
    return std::equal(old.begin(), old.end(), current.begin(), current.end(), [](const auto *a, const auto *b) {
        return a->vm == b->vm;
    });
}

}

void LedgerHome::applyConfiguration(config::ConfigurationPtr configuration)
{
    if (m_configuration && configuration->revision() <= m_configuration->revision()) {
        return;
    }
    const auto before = std::exchange(m_configuration, std::move(configuration));
    for (const auto &service : m_configuration->services()) {
        applyToService(service.id, before);
    }
    applyToRoutes(before);
}

void LedgerHome::applyToService(const base::ServiceId &service, const config::ConfigurationPtr &before)
{
    const bool isKnown = m_services.contains(service);
    if (!isKnown && before && isUnchanged(*before, *m_configuration, service)) {
        return;
    }
    const auto old
        = std::make_shared<const std::vector<base::VmId>>(before ? before->vmsOf(service) : std::vector<base::VmId>());
    const auto now = std::make_shared<const std::vector<base::VmId>>(m_configuration->vmsOf(service));
    const bool isOurs = holds(*now, m_self);
    const bool hasChanged = before && *old != *now;
    if (!isOurs && !hasChanged && !isKnown) {
        return;
    }
    ServiceState &state = m_services[service];
    state.vms = now;
    state.previousRevision = before ? before->revision() : 0;
    state.asked.clear();
    for (Predecessor &predecessor : state.predecessors) {
        predecessor.after = KeyHash(); // The keys of this home differ now, so a fetch in progress restarts.
    }
    for (const auto &vm : *old) {
        if (hasChanged) {
            state.formerHomes[vm] = m_clock.now();
        }
    }
    if (!isOurs) {
        state.memberSince.reset();
        return;
    }

    const bool isNew = !state.memberSince.has_value();
    state.memberSince = state.memberSince.value_or(m_clock.now());
    Predecessor like;
    like.sourceService = service;
    like.atStart = isNew;
    like.before = before ? old : nullptr;
    if (isNew && !m_settings.noEarlierRuns) {
        assumeEarlierProcess(service, state);
    }
    if (isNew || hasChanged) {
        fetchFromAll(service, state, like, possibleHomes(service, state));
    }

    // Under revisions that this node never held, any key may have had other homes. Each of them fetched from this node
    // before it granted a claim, so they are recorded here, and the records of their grants must be fetched.
    std::vector<base::VmId> skipped;
    for (const Fetcher &fetcher : state.fetchers) {
        const bool isBetween
            = fetcher.revision > state.previousRevision && fetcher.revision < m_configuration->revision();
        if (isBetween) {
            skipped.push_back(fetcher.vm);
        }
    }
    like.before = nullptr;
    fetchFromAll(service, state, like, skipped);
    for (auto &[from, handOver] : m_incomingHandOvers) {
        const bool isStale = from.first == service && (hasChanged || !skipped.empty());
        handOver.isCurrent = handOver.isCurrent && !isStale;
    }
}

/// Moves the keys of routes that lead to another service now.
void LedgerHome::applyToRoutes(const config::ConfigurationPtr &before)
{
    for (const auto &route : m_configuration->routes()) {
        const auto found = m_services.find(route.service);
        if (found == m_services.end()) {
            continue;
        }
        ServiceState &state = found->second;
        state.retention = std::max(state.retention, route.retention);
        const auto *old = before ? before->route(route.id) : nullptr;
        const bool hasMoved = old != nullptr && old->service != route.service;
        if (!hasMoved || !holds(*state.vms, m_self)) {
            continue;
        }
        Predecessor like;
        like.sourceService = old->service;
        const auto earlier = m_services.find(old->service);
        auto vms = before->vmsOf(old->service);
        if (earlier != m_services.end()) {
            const auto known = possibleHomes(old->service, earlier->second);
            vms.insert(vms.end(), known.begin(), known.end());
        }
        fetchFromAll(route.service, state, like, vms);
    }
}

/// Returns all VMs that may have records of grants: the VMs of the service now and before, and those that fetched
/// records from this node.
std::vector<base::VmId> LedgerHome::possibleHomes(const base::ServiceId &service, const ServiceState &state) const
{
    std::set<base::VmId> vms;
    if (state.vms) {
        vms.insert(state.vms->begin(), state.vms->end());
    }
    if (m_configuration) {
        const auto configured = m_configuration->vmsOf(service);
        vms.insert(configured.begin(), configured.end());
    }
    for (const auto &[vm, at] : state.formerHomes) {
        vms.insert(vm);
    }
    for (const Fetcher &fetcher : state.fetchers) {
        vms.insert(fetcher.vm);
    }
    for (const Predecessor &predecessor : state.predecessors) {
        vms.insert(predecessor.vm);
    }
    return std::vector<base::VmId>(vms.begin(), vms.end());
}

/// Adds the earlier process on this VM as a predecessor, since it may have granted runs that are not recorded here.
void LedgerHome::assumeEarlierProcess(const base::ServiceId &service, ServiceState &state)
{
    const bool isAssumed
        = std::any_of(state.predecessors.begin(), state.predecessors.end(), [](const auto &p) { return p.isSelf; });
    if (isAssumed || age() >= retentionOf(state)) {
        return;
    }
    Predecessor self;
    self.vm = m_self;
    self.sourceService = service;
    self.atStart = true;
    self.isSelf = true;
    self.firstAsked = m_clock.now();
    self.lostAt = m_started;
    state.predecessors.push_back(std::move(self));
}

/// Sends a fetch to each of `vms` as a predecessor like `like`, unless one was sent so under this revision.
void LedgerHome::fetchFromAll(const base::ServiceId &service,
                              ServiceState &state,
                              const Predecessor &like,
                              const std::vector<base::VmId> &vms)
{
    for (const auto &vm : vms) {
        const bool isNew = vm != m_self && state.asked.emplace(vm, like.before).second;
        if (!isNew) {
            continue;
        }
        Predecessor predecessor = like;
        predecessor.vm = vm;
        predecessor.lostAt.reset();
        predecessor.after = KeyHash();
        predecessor.firstAsked = m_clock.now();
        sendFetch(service, state, predecessor);
        state.predecessors.push_back(std::move(predecessor));
    }
}

void LedgerHome::sendFetch(const base::ServiceId &service, const ServiceState &state, Predecessor &predecessor)
{
    predecessor.lastAsked = m_clock.now();
    LedgerFetch fetch;
    fetch.service = service;
    fetch.sourceService = predecessor.sourceService;
    fetch.revision = m_configuration->revision();
    fetch.previousRevision = state.previousRevision;
    fetch.incarnation = m_incarnation;
    fetch.vms = *state.vms;
    fetch.after = predecessor.after;
    send(predecessor.vm, wire::MessageKind::LedgerFetch, fetch);
}

void LedgerHome::receiveFetch(const base::VmId &from, const LedgerFetch &fetch)
{
    const base::Revision own = m_configuration ? m_configuration->revision() : 0;
    auto found = m_services.find(fetch.sourceService);
    const base::Revision frozenUntil = found != m_services.end() ? found->second.frozenUntilRevision : 0;
    if (fetch.revision < std::max(own, frozenUntil)) {
        // Another home may have received a later revision and may grant by it. A requester with an older revision must
        // not become home at the same time, so it gets no answer before it holds the later one.
        return;
    }
    if (found == m_services.end()) {
        found = m_services.try_emplace(fetch.sourceService).first;
        found->second.vms = std::make_shared<const std::vector<base::VmId>>();
    }
    // From here on this node grants nothing for the service under an older revision.
    found->second.frozenUntilRevision = fetch.revision;
    answerFetch(from, fetch, found->second);
}

void LedgerHome::answerFetch(const base::VmId &from, const LedgerFetch &fetch, ServiceState &state)
{
    const auto now = m_clock.now();
    const auto seen = state.seenIncarnations.find(from);
    const bool sawEarlier = seen != state.seenIncarnations.end() && seen->second != fetch.incarnation;

    LedgerFetchResult result;
    result.service = fetch.service;
    result.sourceService = fetch.sourceService;
    result.revision = fetch.revision;
    result.incarnation = fetch.incarnation;
    result.after = fetch.after;
    result.hasFullHandOver = holdsFullHandOver(from, fetch);
    result.sawEarlierProcess
        = sawEarlier || state.formerHomes.contains(from) || m_incomingHandOvers.contains({fetch.service, from});
    result.age = age().count();
    result.memberFor = state.memberSince ? (now - *state.memberSince).count() : 0;
    result.lostAgo = elapsedSince(latestLoss(fetch.sourceService, state));
    if (!state.memberSince && !m_settings.noEarlierRuns && age() < retentionOf(state)) {
        result.lostAgo = age().count(); // An earlier process here may have been home.
    }
    result.possibleHomes = possibleHomes(fetch.sourceService, state);
    result.records = m_ledger.page(
        fetch.after,
        [&](const KeyHash &key, const base::ServiceId &service) {
            return service == fetch.sourceService && homeOf(key, fetch.vms) == from;
        },
        result.last);
    noteFetcher(from, fetch, state);
    send(from, wire::MessageKind::LedgerFetchResult, result);
}

/// Returns whether this node holds the whole hand-over of the requester's earlier process. Only the first new process
/// may rely on it: that process may grant runs, of which a second one would find no records here.
bool LedgerHome::holdsFullHandOver(const base::VmId &from, const LedgerFetch &fetch)
{
    const auto handed = m_incomingHandOvers.find({fetch.service, from});
    if (handed == m_incomingHandOvers.end() || handed->second.incarnation == fetch.incarnation) {
        return false;
    }
    IncomingHandOver &handOver = handed->second;
    handOver.reclaimedBy = handOver.reclaimedBy.value_or(fetch.incarnation);
    return handOver.isWhole && handOver.isCurrent && handOver.reclaimedBy == fetch.incarnation
        && handOver.vms == fetch.vms && !handOver.lostAt;
}

void LedgerHome::noteFetcher(const base::VmId &from, const LedgerFetch &fetch, ServiceState &state)
{
    if (fetch.service != fetch.sourceService) {
        // A route moved to another service. An entry with an older revision would have its keys run here too.
        state.minClaimRevision = std::max(state.minClaimRevision, fetch.revision);
    }
    const auto isSame
        = [&](const Fetcher &fetcher) { return fetcher.vm == from && fetcher.revision == fetch.revision; };
    std::erase_if(state.fetchers, isSame);
    state.fetchers.push_back(Fetcher{from, fetch.revision, m_clock.now()});
    const auto [seen, isNew] = state.seenIncarnations.try_emplace(from, fetch.incarnation);
    if (!isNew && seen->second != fetch.incarnation) {
        // The VM stays recorded as one with an earlier process, regardless of the number of starts.
        state.formerHomes[from] = m_clock.now();
        seen->second = fetch.incarnation;
    }
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
        return predecessor.vm == from && predecessor.sourceService == result.sourceService && !predecessor.lostAt
            && predecessor.after == result.after;
    };
    const bool isExpected = std::any_of(state.predecessors.begin(), state.predecessors.end(), isAsked);
    if (!isExpected || !mergePage(result)) {
        return; // Without room the predecessor is not resolved, and the fetch is resent later.
    }
    if (result.last) {
        resolvePredecessors(from, result, state);
        return;
    }
    for (Predecessor &predecessor : state.predecessors) {
        if (isAsked(predecessor) && !result.records.empty()) {
            predecessor.after = result.records.back().key;
            sendFetch(result.service, state, predecessor);
        }
    }
}

bool LedgerHome::mergePage(const LedgerFetchResult &result)
{
    for (LedgerRecord record : result.records) {
        record.service = result.service;
        if (!m_ledger.merge(record)) {
            return false;
        }
    }
    return true;
}

/// Records whether there was an earlier process on this VM, and whether it handed its records over when it stopped.
void LedgerHome::updateEarlierProcess(const base::VmId &from, const LedgerFetchResult &result, ServiceState &state)
{
    if (result.hasFullHandOver) {
        state.handOverHolders.insert(from);
        state.handOverVms = state.vms;
    }
    state.earlierProcessSeen = state.earlierProcessSeen || result.sawEarlierProcess;
    const bool isLongTimeMember = base::Duration(result.memberFor) >= retentionOf(state);
    state.unseenByLongTimeMember = state.unseenByLongTimeMember || (isLongTimeMember && !result.sawEarlierProcess);
    if (m_settings.noEarlierRuns && base::Duration(result.age) > age() + firstStartWindow) {
        assumeEarlierProcess(result.service, state);
    }
}

/// Resolves the predecessors for `from` after its last page. Those that may have lost records are kept as lost, and the
/// VMs that the result names are asked too.
void LedgerHome::resolvePredecessors(const base::VmId &from, const LedgerFetchResult &result, ServiceState &state)
{
    updateEarlierProcess(from, result, state);
    state.seenIncarnations.try_emplace(from, base::Incarnation());
    const auto lost = timeOf(result.lostAgo);
    std::vector<Predecessor> settled;
    std::vector<Predecessor> open;
    for (Predecessor &predecessor : state.predecessors) {
        const bool isAsked = predecessor.vm == from && predecessor.sourceService == result.sourceService
            && !predecessor.lostAt && predecessor.after == result.after;
        if (isAsked) {
            settled.push_back(predecessor);
            predecessor.lostAt = lost;
        }
        if (!isAsked || lost) {
            open.push_back(std::move(predecessor));
        }
    }
    state.predecessors = std::move(open);
    for (const Predecessor &predecessor : settled) {
        fetchFromAll(result.service, state, predecessor, result.possibleHomes);
    }

    const bool allAnswered = std::all_of(
        state.predecessors.begin(), state.predecessors.end(), [](const auto &p) { return p.lostAt.has_value(); });
    if (allAnswered && state.unseenByLongTimeMember && !state.earlierProcessSeen) {
        // A home fetches from every VM of the service before it grants. So no earlier process here has granted a claim.
        std::erase_if(state.predecessors, [](const auto &p) { return p.isSelf; });
    }
    PAPAYASTEP_LOG(INFO, logPrefix) << "An earlier idempotency home sent its records."
                                    << base::field("service", result.service) << base::field("from", from)
                                    << base::field("open", state.predecessors.size());
}

}
