#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/error.h"
#include "papayastep/config/configstore.h"
#include "papayastep/membership/announcedrevisions.h"
#include "papayastep/membership/buildqueue.h"
#include "papayastep/membership/leavingannouncements.h"
#include "papayastep/membership/messages.h"
#include "papayastep/membership/noticeschedule.h"
#include "papayastep/membership/peerrepair.h"
#include "papayastep/membership/platformschedule.h"
#include "papayastep/membership/pushtree.h"
#include "papayastep/membership/transfer.h"
#include "papayastep/membership/transferanswers.h"
#include "papayastep/membership/vmdirectory.h"
#include "papayastep/wire/message.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// Distribution of configuration revisions and VM lists to every node within seconds, while the platform is read by few
/// nodes and may be unreachable for hours. docs/design/configuration.md compares the alternatives.
namespace papayastep::membership {

/// The identity of the node that a ConfigDistributor decides for.
struct NodeIdentity
{
    base::VmId vm;
    base::ZoneId zone;
    base::Incarnation incarnation = 0;

    auto operator<=>(const NodeIdentity &) const = default;
};

/// Intervals, rates and limits of a ConfigDistributor.
struct DistributionSettings
{
    int readersPerZone = 2; ///< Nodes of a zone that watch the platform; 0 if another component triggers the reads.
    std::chrono::seconds watchWait{25}; ///< Time for which one watch waits for a change.
    /// Shortest mean interval between reads of a node without a watch.
    base::Duration shortestPollInterval = std::chrono::seconds(30);
    double pollsPerSecond = 20; ///< Reads of all nodes without a watch together; the platform handles 2,000.
    bool listingIncludesFiles = false; ///< Whether a listing carries its files, so that no call is needed for a file.
    double fetchesPerSecond = 500; ///< File reads of the whole fleet otherwise, when many nodes start at once.
    /// Longest wait after the first failed call of the platform.
    base::Duration shortestBackoff = std::chrono::milliseconds(500);
    base::Duration longestBackoff = std::chrono::seconds(30);
    base::Duration noticeInterval = std::chrono::seconds(2); ///< Mean interval between notices to a random peer.
    int noticeFanOut = 3; ///< Random peers that are notified at once of something new.
    int peersAskedAtStart = 3; ///< Random peers that a starting node notifies at once.
    /// Delay before a request to a peer, because a push may already be on its way.
    base::Duration pullDelay = std::chrono::milliseconds(40);
    base::Duration pullTimeout = std::chrono::seconds(1);
    /// The same for the first part of what has changed since the revision that this node holds, which is mostly small.
    /// A node must be able to ask several peers before a new configuration must be active.
    base::Duration patchTimeout = std::chrono::milliseconds(400);
    /// Delay before a peer that declined is asked again.
    base::Duration retryDelayAfterDecline = std::chrono::milliseconds(200);
    int treeFanOut = 3;
    std::size_t partBytes = 700'000;
    /// Larger changes are announced by notices only, and each peer requests them once.
    std::size_t largestPushBytes = 128u << 10;
    std::size_t largestTransferBytes = 24u << 20; ///< Limit for one transfer that a peer can make this node hold.
    std::size_t answersPerSecond = 16; ///< Transfers sent on request; limits the load that one peer can cause.
    /// Whether the caller takes each build by takeBuild(); otherwise it is run at once.
    bool buildInOtherThread = false;
    config::InvalidEntries invalidEntries = config::InvalidEntries::Reject;

    auto operator<=>(const DistributionSettings &) const = default;
};

/// The files to fetch for a revision that the platform offers. If `isNeeded` is true and `files` is empty, the node
/// holds all files already and applyPlatformFiles() may be called at once.
struct FetchPlan
{
    bool isNeeded = false;
    base::TimePoint notBefore{};
    std::vector<config::FileReference> files;
};

/// A configuration that became the active one.
struct AcceptedConfiguration
{
    config::ConfigurationPtr configuration;
    std::string source; ///< "platform", or the VM that sent the revision.
    /// Time from the first announcement of a missing revision to the moment at which this one replaced it.
    base::Duration delay{0};
};

/// The state of a ConfigDistributor. Its counters count since the distributor was created.
struct DistributionStatus
{
    base::Revision revision = 0;
    base::Revision platformRevision = 0; ///< The revision that the platform offered last to this node.
    bool platformStale = false; ///< Whether the platform offered a revision that is older than the active one.
    /// Time since `revision` was known to be the newest; empty if it never was.
    std::optional<base::Duration> confirmationAge;
    bool reader = false;
    std::uint64_t vmListVersion = 0;
    std::size_t storeBytes = 0;
    std::uint64_t buildCount = 0; ///< Number of configurations parsed; one per new revision.
    std::uint64_t rejectedCount = 0; ///< Number of revisions that were complete but not valid.
    std::string lastRejection; ///< Error of the revision that was rejected last.
    std::size_t skippedEntries = 0; ///< Number of invalid entries that were left out of the active revision.
    std::uint64_t peersAsked = 0; ///< Number of requests to peers for a newer revision.
    std::uint64_t peersDeclined = 0; ///< Number of those requests that the peer declined.
    std::uint64_t peersTimedOut = 0; ///< Number of those requests that the peer did not answer in time.
    std::uint64_t requestsDeclined = 0; ///< Number of requests of peers that this node declined.
    /// Number of transfer parts refused: from unlisted VMs, too large, or malformed.
    std::uint64_t transfersRefused = 0;
};

/// Decides for one node when to read, send, request and accept configuration revisions and VM lists. Takes events and
/// returns messages and platform calls; does no I/O. Not thread-safe. Parsing a large configuration takes a second,
/// during which the node would answer no request: with `buildInOtherThread` the caller takes each build, runs it in
/// another thread and passes back the result.
class ConfigDistributor
{
public:
    ConfigDistributor(NodeIdentity self,
                      VmDirectory &directory,
                      const base::Clock &clock,
                      std::uint64_t seed,
                      DistributionSettings settings = {});

    ConfigDistributor(const ConfigDistributor &) = delete;
    ConfigDistributor &operator=(const ConfigDistributor &) = delete;

    // Calls to the platform and their results.
    PlatformCall configurationCall() const;
    PlatformCall vmListCall() const;

    /// Handles a listing from the platform. Returns the files to fetch, if any.
    FetchPlan applyPlatformListing(const config::FileListing &listing);
    /// Handles the files of a fetch plan after all of them were fetched. Does not throw: a revision that is incomplete
    /// or invalid is logged and ignored, and an invalid one is counted.
    void applyPlatformFiles(const config::FileListing &listing, const std::vector<config::ConfigurationFile> &fetched);
    /// Records that the platform holds `revision`, as reported by another of its answers. If the revision is new, a
    /// read is due at once.
    void notePlatformRevision(base::Revision revision);
    /// Handles a watch that ended without a new revision.
    void notePlatformUnchanged();
    void notePlatformFailed();

    void applyPlatformVmList(config::VmList list);
    /// Accepts a VM list that each node builds from its own reads. It is not sent to other nodes.
    void applyLocalVmList(config::VmList list);
    void notePlatformVmListUnchanged();
    void notePlatformVmListFailed();

    // Messages from and to other nodes.
    /// Handles a message of kinds 30 to 39. Throws Error(MessageMalformed), Error(MessageFromStranger) or, for any
    /// other kind, Error(MessageUnknownKind).
    void receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload);
    /// Handles the revision on the envelope of any authenticated message.
    void notePeerRevision(const base::VmId &from, base::Revision revision);
    /// Announces to the fleet that this VM is about to stop.
    void announceLeaving();

    // Timers and builds.
    void tick();
    base::TimePoint nextTick() const;

    /// Returns the build to run with runBuild(), if there is one; only with `buildInOtherThread`, and one at a time.
    std::optional<Build> takeBuild();
    /// Handles the result of a build. A revision that is no longer newer than the active one is ignored.
    void finishBuild(Build build, const BuildResult &result);

    // Results.
    std::vector<wire::Outgoing> takeMessages();
    /// Returns the peers that did not answer a request in time since the last call. The connection to them may be
    /// silent, so that it should be opened again before messages are sent.
    std::vector<base::VmId> takeSilentPeers();
    /// Returns the newest configuration that was accepted since the last call, if any.
    std::optional<AcceptedConfiguration> takeAccepted();
    /// Returns whether the VM list changed since the last call; the list itself is in the directory.
    bool takeVmListChanged();

    base::Revision revision() const;
    const config::ConfigStore &store() const;
    bool isReader() const;
    DistributionStatus status() const;

private:
    void enqueueBuild(Build build);
    /// Returns whether there is no reason to request `revision`: it is not newer than the active one, or it is being
    /// built or was rejected before.
    bool isRevisionHandled(base::Revision revision) const;
    void noteAnnounced(base::Revision revision);
    bool acceptVmList(config::VmList list, bool fromPlatform);
    void distributeConfiguration(const config::ConfigStore &older);
    void distributeVmList(const config::VmList &older);
    void push(TransferContent content, std::uint64_t version, const std::string &bytes);
    void enqueueMessages(std::vector<wire::Outgoing> messages);

    void receiveNotice(const base::VmId &from, const RevisionNotice &notice);
    void receiveRequest(const base::VmId &from, const ConfigurationRequest &request);
    void decline(const base::VmId &peer, TransferContent content);
    void receiveDeclined(const base::VmId &from, const RequestDeclined &declined);
    void receivePart(const base::VmId &from, wire::MessageKind kind, std::string_view payload);
    void receiveLeaving(const VmLeaving &leaving);
    void completeConfiguration(const base::VmId &from, const CompletedTransfer &transfer);
    void completeVmList(const base::VmId &from, const CompletedTransfer &transfer);

    void request(const base::VmId &peer, TransferContent content);
    void sendNotice(const base::VmId &peer);
    void sendNotices(const std::vector<base::VmId> &peers);
    base::Duration randomFetchDelay(std::size_t files);

    NodeIdentity m_self;
    VmDirectory &m_directory;
    const base::Clock &m_clock;
    std::mt19937_64 m_random;
    const DistributionSettings m_settings;

    config::ConfigStore m_store;
    config::ConfigStore m_previous; ///< Base of the patches for nodes that are one revision behind.
    std::optional<base::TimePoint> m_confirmedAt; ///< Time at which m_store's revision was known to be the newest.
    base::Revision m_newestPlatformRevision = 0; ///< The newest revision that the platform is known to hold.
    std::optional<AcceptedConfiguration> m_accepted;
    bool m_vmListChanged = false;
    DistributionStatus m_status; ///< Holds the counters; status() fills in the other fields.
    BuildQueue m_buildQueue;

    PlatformSchedule m_configurationSchedule;
    PlatformSchedule m_vmListSchedule;
    PeerRepair m_configurationRepair;
    PeerRepair m_vmListRepair;
    AnnouncedRevisions m_announcedRevisions;
    std::size_t m_skippedEntries = 0; ///< Invalid entries that were left out of the active revision.
    TransferAssembler m_assembler;
    TransferAnswers m_transferAnswers;
    PushTree m_pushTree;
    NoticeSchedule m_noticeSchedule;
    LeavingAnnouncements m_leavingAnnouncements;
    std::vector<wire::Outgoing> m_messages;
};

}
