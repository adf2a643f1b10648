#include "papayastep/membership/configdistributor.h"
#include "vmlistupdate.h"

#include "papayastep/base/log.h"
#include "papayastep/membership/distributiontree.h"

#include <algorithm>
#include <iterator>

namespace papayastep::membership {

namespace {

constexpr std::string_view logPrefix = "membership";
constexpr std::size_t maxFiles = 2000;
constexpr std::size_t maxLoggedEntries = 20; ///< Of the invalid entries of one revision.

std::uint64_t milliseconds(base::Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void logSkipped(base::Revision revision, const std::vector<config::SkippedEntry> &skipped)
{
    for (std::size_t index = 0; index < std::min(skipped.size(), maxLoggedEntries); ++index) {
        const config::SkippedEntry &entry = skipped[index];
        PAPAYASTEP_LOG(ERROR, logPrefix) << "Skipped an invalid entry of a revision."
                                         << base::field("revision", revision) << base::field("section", entry.section)
                                         << base::field("id", entry.id) << base::field("code", number(entry.code))
                                         << base::field("detail", entry.detail);
    }
}

}

ConfigDistributor::ConfigDistributor(NodeIdentity self,
                                     VmDirectory &directory,
                                     const base::Clock &clock,
                                     std::uint64_t seed,
                                     DistributionSettings settings)
    : m_self(std::move(self))
    , m_directory(directory)
    , m_clock(clock)
    , m_random(seed)
    , m_settings(settings)
    , m_configurationSchedule(m_settings)
    , m_vmListSchedule(m_settings)
    , m_configurationRepair(m_settings)
    , m_vmListRepair(m_settings)
    , m_assembler(clock, m_settings.largestTransferBytes)
    , m_transferAnswers(clock, m_settings)
    , m_pushTree(m_self.vm, m_self.zone, directory, m_settings)
    , m_noticeSchedule(m_self.vm, directory, clock, m_settings, m_random)
    , m_leavingAnnouncements(m_self.vm, directory, m_settings.treeFanOut)
{
}

// Calls to the platform and their results.

PlatformCall ConfigDistributor::configurationCall() const
{
    const base::Revision held = std::max(m_store.revision(), m_buildQueue.newestPendingOrRejected());
    PlatformCall call = m_configurationSchedule.call(isReader(), held);
    const base::Revision known = std::max(held, m_newestPlatformRevision);
    if (call.kind == PlatformCallKind::Read && known > 0) {
        call.after = known - 1;
    }
    return call;
}

PlatformCall ConfigDistributor::vmListCall() const
{
    return m_vmListSchedule.call(isReader(), m_directory.list().version);
}

FetchPlan ConfigDistributor::applyPlatformListing(const config::FileListing &listing)
{
    const base::TimePoint now = m_clock.now();
    m_configurationSchedule.readAnswered(now, m_directory.list().vms.size(), m_random);
    m_status.platformRevision = listing.revision;
    m_status.platformStale = listing.revision < m_store.revision();
    if (m_status.platformStale) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "The platform offers an older revision." << base::field("offered", listing.revision)
            << base::field("revision", m_store.revision());
    }
    if (listing.revision == m_store.revision()) {
        m_confirmedAt = now;
    }
    if (isRevisionHandled(listing.revision)) {
        return {};
    }
    if (listing.files.size() > maxFiles) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "The platform lists too many files." << base::field("files", listing.files.size());
        notePlatformFailed();
        return {};
    }
    FetchPlan plan{true, now, {}};
    std::copy_if(listing.files.begin(),
                 listing.files.end(),
                 std::back_inserter(plan.files),
                 [this](const config::FileReference &file) { return !m_store.holds(file); });
    if (!isReader() && !m_settings.listingIncludesFiles) {
        plan.notBefore += randomFetchDelay(plan.files.size());
    }
    return plan;
}

/// When a whole fleet starts at once, all nodes read the listing, and reading the files would take tens of thousands of
/// calls. So most nodes wait for a random part of the time that those reads may take, and get the files from a peer
/// before it ends.
base::Duration ConfigDistributor::randomFetchDelay(std::size_t files)
{
    const double reads = static_cast<double>(m_directory.list().vms.size() * files);
    const std::chrono::duration<double> longest(reads / m_settings.fetchesPerSecond);
    std::uniform_real_distribution<double> part(0, 1);
    return std::chrono::duration_cast<base::Duration>(longest * part(m_random));
}

void ConfigDistributor::applyPlatformFiles(const config::FileListing &listing,
                                           const std::vector<config::ConfigurationFile> &fetched)
{
    if (isRevisionHandled(listing.revision)) {
        return;
    }
    try {
        enqueueBuild({m_store.assemble(listing, fetched), "platform", m_clock.now()});
    } catch (const base::Error &error) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "A revision from the platform is incomplete." << base::field("revision", listing.revision)
            << base::field("error", error.what());
        notePlatformFailed();
    }
}

void ConfigDistributor::notePlatformRevision(base::Revision revision)
{
    m_newestPlatformRevision = std::max(m_newestPlatformRevision, revision);
    noteAnnounced(revision);
    if (!isRevisionHandled(revision)) {
        m_configurationSchedule.requestRead();
    }
}

void ConfigDistributor::notePlatformUnchanged()
{
    m_configurationSchedule.watchEnded();
}

void ConfigDistributor::notePlatformFailed()
{
    m_configurationSchedule.failed(m_clock.now(), m_random);
}

void ConfigDistributor::applyPlatformVmList(config::VmList list)
{
    if (list.vms.empty() && !m_directory.list().vms.empty()) {
        // An empty list would cut each node off from all others, and so from every repair.
        PAPAYASTEP_LOG(WARNING, logPrefix) << "Ignored a VM list of the platform that contains no VM.";
        notePlatformVmListFailed();
        return;
    }
    m_vmListSchedule.readAnswered(m_clock.now(), list.vms.size(), m_random);
    acceptVmList(std::move(list), true);
}

void ConfigDistributor::applyLocalVmList(config::VmList list)
{
    if (!m_directory.acceptLocal(std::move(list))) {
        return;
    }
    m_vmListChanged = true;
    m_vmListRepair.noteHeldVersion(m_directory.list().version);
}

void ConfigDistributor::notePlatformVmListUnchanged()
{
    m_vmListSchedule.watchEnded();
}

void ConfigDistributor::notePlatformVmListFailed()
{
    m_vmListSchedule.failed(m_clock.now(), m_random);
}

// Acceptance.

bool ConfigDistributor::isRevisionHandled(base::Revision revision) const
{
    return revision <= m_store.revision() || m_buildQueue.isPendingOrRejected(revision);
}

void ConfigDistributor::noteAnnounced(base::Revision revision)
{
    // All that a node starts with is missing at first, so the time until then shows no delay.
    if (m_store.revision() > 0 && revision > m_store.revision()) {
        m_announcedRevisions.note(revision, m_clock.now());
    }
}

void ConfigDistributor::enqueueBuild(Build build)
{
    if (isRevisionHandled(build.store.revision())) {
        return;
    }
    noteAnnounced(build.store.revision());
    m_configurationRepair.noteHeldVersion(build.store.revision());
    m_buildQueue.put(std::move(build));
    if (m_settings.buildInOtherThread) {
        return;
    }
    if (auto next = m_buildQueue.take()) {
        const BuildResult result = runBuild(*next, m_settings.invalidEntries);
        finishBuild(std::move(*next), result);
    }
}

std::optional<Build> ConfigDistributor::takeBuild()
{
    return m_buildQueue.take();
}

void ConfigDistributor::finishBuild(Build build, const BuildResult &result)
{
    const base::Revision revision = build.store.revision();
    m_buildQueue.finish(revision, result);
    if (!result.configuration) {
        PAPAYASTEP_LOG(ERROR, logPrefix) << "Rejected a revision." << base::field("revision", revision)
                                         << base::field("source", build.source) << base::field("error", result.error);
        return;
    }
    if (revision <= m_store.revision()) {
        return;
    }
    m_previous = std::move(m_store);
    m_store = std::move(build.store);
    m_skippedEntries = result.skipped.size();
    logSkipped(revision, result.skipped);
    m_buildQueue.noteActivated(revision);
    const base::Duration delay = m_announcedRevisions.delayOf(revision, m_clock.now());
    m_announcedRevisions.removeUpTo(revision);
    m_accepted = AcceptedConfiguration{result.configuration, build.source, delay};
    if (build.confirmedAt) {
        m_confirmedAt = build.confirmedAt;
    }
    PAPAYASTEP_LOG(INFO, logPrefix) << "Accepted a revision." << base::field("revision", revision)
                                    << base::field("source", build.source)
                                    << base::field("delayMs", milliseconds(delay));
    if (isReader() || build.confirmedAt) {
        distributeConfiguration(m_previous);
    }
    sendNotices(m_noticeSchedule.randomPeers(m_settings.noticeFanOut));
}

bool ConfigDistributor::acceptVmList(config::VmList list, bool fromPlatform)
{
    const config::VmList older = m_directory.list();
    if (!m_directory.accept(std::move(list))) {
        return false;
    }
    m_vmListChanged = true;
    const std::uint64_t version = m_directory.list().version;
    m_vmListRepair.noteHeldVersion(version);
    PAPAYASTEP_LOG(INFO, logPrefix) << "Accepted a VM list." << base::field("version", version)
                                    << base::field("vms", m_directory.list().vms.size());
    if (isReader() || fromPlatform) {
        distributeVmList(older);
    }
    sendNotices(m_noticeSchedule.randomPeers(m_settings.noticeFanOut));
    return true;
}

void ConfigDistributor::distributeConfiguration(const config::ConfigStore &older)
{
    if (older.revision() == 0) {
        // This node has just started: most nodes hold the configuration already, and a push would send all files to all
        // of them.
        sendNotices(m_noticeSchedule.randomPeers(m_settings.treeFanOut));
        return;
    }
    const std::string bytes = wire::encode(m_store.patchFor(older.listing(), older));
    push(TransferContent::Configuration, m_store.revision(), bytes);
}

void ConfigDistributor::distributeVmList(const config::VmList &older)
{
    if (older.version == 0) {
        sendNotices(m_noticeSchedule.randomPeers(m_settings.treeFanOut));
        return;
    }
    const std::string bytes = wire::encode(updateBetween(older, m_directory.list()));
    push(TransferContent::VmList, m_directory.list().version, bytes);
}

void ConfigDistributor::push(TransferContent content, std::uint64_t version, const std::string &bytes)
{
    if (bytes.size() > m_settings.largestPushBytes) {
        sendNotices(m_noticeSchedule.randomPeers(m_settings.treeFanOut));
        return;
    }
    const wire::MessageKind kind = content == TransferContent::Configuration ? wire::MessageKind::ConfigurationDelta
                                                                             : wire::MessageKind::VmListNotice;
    enqueueMessages(m_pushTree.push(kind, content, version, bytes));
}

// Messages from other nodes.

void ConfigDistributor::receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload)
{
    // A VM that is newer than the own list may send the list that names it, and nothing else. A node that starts while
    // the platform is unreachable has no list; it learns from notices who has one, requests it, and only then requests
    // a configuration.
    const bool isFirstNotice = m_directory.list().vms.empty() && kind == wire::MessageKind::RevisionNotice;
    if (!m_directory.isListed(from) && !isFirstNotice && kind != wire::MessageKind::VmListNotice) {
        throw base::Error(base::ResultCode::MessageFromStranger, "the VM " + from.value() + " is not listed");
    }
    switch (kind) {
    case wire::MessageKind::RevisionNotice:
        receiveNotice(from, wire::decode<RevisionNotice>(payload));
        break;
    case wire::MessageKind::ConfigurationRequest:
        receiveRequest(from, wire::decode<ConfigurationRequest>(payload));
        break;
    case wire::MessageKind::ConfigurationDelta:
    case wire::MessageKind::ConfigurationPart:
    case wire::MessageKind::VmListNotice:
        receivePart(from, kind, payload);
        break;
    case wire::MessageKind::RequestDeclined:
        receiveDeclined(from, wire::decode<RequestDeclined>(payload));
        break;
    case wire::MessageKind::VmLeaving:
        receiveLeaving(wire::decode<VmLeaving>(payload));
        break;
    default:
        throw base::Error(base::ResultCode::MessageUnknownKind,
                          "the kind of the message is not one of configuration or membership");
    }
}

void ConfigDistributor::notePeerRevision(const base::VmId &from, base::Revision revision)
{
    if (!isRevisionHandled(revision) && m_directory.isListed(from)) {
        noteAnnounced(revision);
        m_configurationRepair.noteAhead(from, revision, m_clock.now());
    } else if (revision < m_store.revision() && m_noticeSchedule.mayReply(from)) {
        sendNotice(from);
    }
}

void ConfigDistributor::receiveNotice(const base::VmId &from, const RevisionNotice &notice)
{
    const base::TimePoint now = m_clock.now();
    const std::uint64_t listVersion = m_directory.list().version;
    if (notice.revision == m_store.revision()
        && notice.confirmationAgeMilliseconds < milliseconds(std::chrono::hours(10000))) {
        const base::TimePoint confirmed = now - std::chrono::milliseconds(notice.confirmationAgeMilliseconds);
        m_confirmedAt = std::max(m_confirmedAt.value_or(confirmed), confirmed);
    }
    if (notice.vmListVersion > listVersion) {
        m_vmListRepair.noteAhead(from, notice.vmListVersion, now);
    }
    if (notice.vmListVersion < listVersion && notice.revision >= m_store.revision()
        && m_noticeSchedule.mayReply(from)) {
        sendNotice(from);
    }
    notePeerRevision(from, notice.revision);
}

void ConfigDistributor::receiveRequest(const base::VmId &from, const ConfigurationRequest &request)
{
    if (request.have.files.size() > maxFiles) {
        throw base::Error(base::ResultCode::MessageMalformed, "a configuration request lists too many files");
    }
    if (request.wantConfiguration && request.have.revision < m_store.revision()) {
        if (const auto *parts = m_transferAnswers.configuration(request.have, m_store, m_previous)) {
            enqueueMessages(messagesForPeers({from}, wire::MessageKind::ConfigurationPart, *parts));
        } else {
            decline(from, TransferContent::Configuration);
        }
    }
    if (request.wantVmList && request.vmListVersion < m_directory.list().version) {
        if (const auto *parts = m_transferAnswers.vmList(m_directory.list())) {
            enqueueMessages(messagesForPeers({from}, wire::MessageKind::VmListNotice, *parts));
        } else {
            decline(from, TransferContent::VmList);
        }
    }
}

void ConfigDistributor::decline(const base::VmId &peer, TransferContent content)
{
    const RequestDeclined declined{content == TransferContent::Configuration, content == TransferContent::VmList};
    m_messages.push_back(wire::outgoing(peer, wire::MessageKind::RequestDeclined, declined));
    PAPAYASTEP_LOG(INFO, logPrefix) << "Declined a request because too many were received within a second."
                                    << base::field("vm", peer) << base::field("declined", m_transferAnswers.declined());
}

void ConfigDistributor::receiveDeclined(const base::VmId &from, const RequestDeclined &declined)
{
    const base::TimePoint now = m_clock.now();
    if (declined.configuration) {
        m_configurationRepair.noteDeclined(from, now);
    }
    if (declined.vmList) {
        m_vmListRepair.noteDeclined(from, now);
    }
}

void ConfigDistributor::receivePart(const base::VmId &from, wire::MessageKind kind, std::string_view payload)
{
    const auto part = wire::decode<TransferPart>(payload);
    const bool isVmList = part.content == static_cast<std::uint8_t>(TransferContent::VmList);
    const bool isVmListKind = kind == wire::MessageKind::VmListNotice;
    if (part.content > static_cast<std::uint8_t>(TransferContent::VmList) || isVmList != isVmListKind) {
        throw base::Error(base::ResultCode::MessageMalformed,
                          "the content of a transfer does not match the kind of its message");
    }
    const std::uint64_t have = isVmList ? m_directory.list().version : m_store.revision();
    // A version that this node holds already is still forwarded once along the tree: the node may have it from another
    // source, and the next node may not have it.
    if (part.version < have || (part.version == have && part.treeRoot.empty())) {
        return;
    }
    // A push from a peer is no answer to the request that the peer has not answered.
    const bool isAnswer = part.treeRoot.empty() && kind != wire::MessageKind::ConfigurationDelta;
    PeerRepair &repair = isVmList ? m_vmListRepair : m_configurationRepair;
    try {
        const auto transfer = m_assembler.add(from, part, payload);
        if (isAnswer && !transfer) {
            repair.noteProgress(from, m_clock.now());
        }
        if (!transfer) {
            return;
        }
        if (isAnswer) {
            repair.noteAnswered(from, m_clock.now());
        }
        enqueueMessages(m_pushTree.forward(kind, *transfer));
        if (isVmList) {
            completeVmList(from, *transfer);
        } else {
            completeConfiguration(from, *transfer);
        }
    } catch (const base::Error &) {
        ++m_status.transfersRefused;
        throw;
    }
}

void ConfigDistributor::completeConfiguration(const base::VmId &from, const CompletedTransfer &transfer)
{
    if (isRevisionHandled(transfer.version)) {
        return;
    }
    const auto patch = wire::decode<config::ConfigurationPatch>(transfer.bytes);
    if (patch.target != transfer.version) {
        throw base::Error(base::ResultCode::MessageMalformed,
                          "a transfer states another revision than the patch that it contains");
    }
    if (patch.baseDigest == m_store.listing().digest()) {
        enqueueBuild({m_store.apply(patch), from.value(), std::nullopt});
    } else if (patch.baseDigest == config::FileListing().digest()) {
        enqueueBuild({config::ConfigStore().apply(patch), from.value(), std::nullopt});
    } else {
        notePeerRevision(from, patch.target);
    }
}

void ConfigDistributor::completeVmList(const base::VmId &from, const CompletedTransfer &transfer)
{
    const auto update = wire::decode<VmListUpdate>(transfer.bytes);
    if (update.to <= m_directory.list().version) {
        return;
    }
    auto list = applyUpdate(m_directory.list(), update);
    if (list && list->vms.empty()) {
        throw base::Error(base::ResultCode::MessageMalformed, "a VM list update leads to an empty list");
    }
    if (list) {
        acceptVmList(std::move(*list), false);
    } else if (m_directory.isListed(from)) {
        m_vmListRepair.noteAhead(from, update.to, m_clock.now());
    }
}

void ConfigDistributor::announceLeaving()
{
    PAPAYASTEP_LOG(INFO, logPrefix) << "Announcing that this VM is leaving." << base::field("vm", m_self.vm);
    enqueueMessages(m_leavingAnnouncements.announce(m_self.incarnation));
}

void ConfigDistributor::receiveLeaving(const VmLeaving &leaving)
{
    LeavingAnnouncements::Received received = m_leavingAnnouncements.receive(leaving);
    if (received.isNew) {
        m_vmListChanged = true;
        PAPAYASTEP_LOG(INFO, logPrefix) << "A VM is leaving." << base::field("vm", leaving.vm);
    }
    enqueueMessages(std::move(received.forwarded));
}

void ConfigDistributor::enqueueMessages(std::vector<wire::Outgoing> messages)
{
    std::move(messages.begin(), messages.end(), std::back_inserter(m_messages));
}

// Requests and notices.

void ConfigDistributor::request(const base::VmId &peer, TransferContent content)
{
    ConfigurationRequest request;
    request.vmListVersion = m_directory.list().version;
    request.wantConfiguration = content == TransferContent::Configuration;
    request.wantVmList = content == TransferContent::VmList;
    if (request.wantConfiguration) {
        request.have = m_store.listing();
        PAPAYASTEP_LOG(INFO, logPrefix) << "Asked a peer for a newer revision." << base::field("vm", peer)
                                        << base::field("revision", m_store.revision());
    }
    m_messages.push_back(wire::outgoing(peer, wire::MessageKind::ConfigurationRequest, request));
}

void ConfigDistributor::sendNotice(const base::VmId &peer)
{
    RevisionNotice notice{m_store.revision(), m_directory.list().version, RevisionNotice::neverConfirmed};
    if (m_confirmedAt) {
        notice.confirmationAgeMilliseconds = milliseconds(m_clock.now() - *m_confirmedAt);
    }
    m_messages.push_back(wire::outgoing(peer, wire::MessageKind::RevisionNotice, notice));
}

void ConfigDistributor::sendNotices(const std::vector<base::VmId> &peers)
{
    for (const base::VmId &peer : peers) {
        sendNotice(peer);
    }
}

// Timers.

void ConfigDistributor::tick()
{
    const base::TimePoint now = m_clock.now();
    m_assembler.expire();
    const bool holdsRevision = m_store.revision() > 0;
    if (const auto peer
        = m_configurationRepair.due(now, holdsRevision ? m_settings.patchTimeout : m_settings.pullTimeout)) {
        request(*peer, TransferContent::Configuration);
    }
    if (const auto peer = m_vmListRepair.due(now, m_settings.pullTimeout)) {
        request(*peer, TransferContent::VmList);
    }
    sendNotices(m_noticeSchedule.due(m_store.revision() == 0));
}

base::TimePoint ConfigDistributor::nextTick() const
{
    base::TimePoint next = m_noticeSchedule.nextDue();
    for (const PeerRepair *repair : {&m_configurationRepair, &m_vmListRepair}) {
        if (const auto due = repair->nextDue()) {
            next = std::min(next, *due);
        }
    }
    return next;
}

// Results.

std::vector<wire::Outgoing> ConfigDistributor::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<base::VmId> ConfigDistributor::takeSilentPeers()
{
    std::vector<base::VmId> peers = m_configurationRepair.takeSilentPeers();
    const std::vector<base::VmId> ofVmList = m_vmListRepair.takeSilentPeers();
    peers.insert(peers.end(), ofVmList.begin(), ofVmList.end());
    return peers;
}

std::optional<AcceptedConfiguration> ConfigDistributor::takeAccepted()
{
    return std::exchange(m_accepted, std::nullopt);
}

bool ConfigDistributor::takeVmListChanged()
{
    return std::exchange(m_vmListChanged, false);
}

base::Revision ConfigDistributor::revision() const
{
    return m_store.revision();
}

const config::ConfigStore &ConfigDistributor::store() const
{
    return m_store;
}

bool ConfigDistributor::isReader() const
{
    const auto readers = readersOfZone(m_directory, m_self.zone, m_settings.readersPerZone);
    return std::find(readers.begin(), readers.end(), m_self.vm) != readers.end();
}

DistributionStatus ConfigDistributor::status() const
{
    DistributionStatus status = m_status;
    status.buildCount = m_buildQueue.finishedCount();
    status.rejectedCount = m_buildQueue.rejectedCount();
    status.lastRejection = m_buildQueue.lastRejection();
    status.skippedEntries = m_skippedEntries;
    status.peersAsked = m_configurationRepair.counts().asked;
    status.peersTimedOut = m_configurationRepair.counts().unanswered;
    status.peersDeclined = m_configurationRepair.counts().declined;
    status.requestsDeclined = m_transferAnswers.declined();
    status.revision = m_store.revision();
    status.reader = isReader();
    status.vmListVersion = m_directory.list().version;
    status.storeBytes = m_store.compressedBytes();
    if (m_confirmedAt) {
        status.confirmationAge = m_clock.now() - *m_confirmedAt;
    }
    return status;
}

}
