#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/error.h"
#include "papayastep/config/configstore.h"
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

/// How a new revision and a new VM list reach every node within seconds, while the platform sees few readers and may
/// be away for hours. docs/design/configuration.md weighs the ways.
namespace papayastep::membership {

/// The node that decides.
struct NodeIdentity
{
    base::VmId vm;
    base::ZoneId zone;
    base::Incarnation incarnation = 0;

    auto operator<=>(const NodeIdentity &) const = default;
};

struct DistributionSettings
{
    int readersPerZone = 2; ///< Nodes that hold a watch at the platform; 0: something else tells when to read.
    std::chrono::seconds watchWait{25}; ///< How long one watch waits.
    base::Duration shortestPollInterval = std::chrono::seconds(30); ///< Of nodes that hold no watch.
    double pollsPerSecond = 20; ///< Of all those nodes together; the platform takes 2,000 reads.
    bool listingIncludesFiles = false; ///< No call is needed for a file.
    double fetchesPerSecond = 500; ///< Of files otherwise, when many nodes start at once.
    base::Duration shortestBackoff = std::chrono::milliseconds(500); ///< After a failed call of the platform.
    base::Duration longestBackoff = std::chrono::seconds(30);
    base::Duration noticeInterval = std::chrono::seconds(2); ///< Between notices to a random peer.
    int noticeFanOut = 3; ///< Random peers told at once of something new.
    int peersAskedAtStart = 3; ///< Peers that a starting node asks.
    base::Duration pullDelay = std::chrono::milliseconds(40); ///< For a push that may be on its way already.
    base::Duration pullTimeout = std::chrono::seconds(1);
    base::Duration retryDelayAfterDecline
        = std::chrono::milliseconds(200); ///< Before a peer that declined is asked again.
    int treeFanOut = 3;
    std::size_t partBytes = 700'000;
    std::size_t largestPushBytes
        = 128u << 10; ///< Bytes; of a larger change only notices are pushed, and peers pull it once.
    std::size_t largestTransferBytes = 24u << 20; ///< Bytes of one transfer that a peer can make this node hold.
    std::size_t answersPerSecond = 16; ///< Transfers sent on request; bounds what one peer can cost.
    bool buildInOtherThread = false; ///< Builds are taken by takeBuild() instead of being run at once.

    auto operator<=>(const DistributionSettings &) const = default;
};

/// The files to fetch for a revision that the platform offers. Empty `files` with `isNeeded`: all are held already,
/// and platformFiles() may be called at once.
struct FetchPlan
{
    bool isNeeded = false;
    base::TimePoint notBefore{};
    std::vector<config::FileReference> files;
};

/// A revision that came into force.
struct AcceptedConfiguration
{
    config::ConfigurationPtr configuration;
    std::string source; ///< "platform", or the VM that it came from.
};

struct DistributionStatus
{
    base::Revision revision = 0;
    base::Revision platformRevision = 0; ///< The last that the platform offered to this node.
    bool platformStale = false; ///< It offered an older one than is in force.
    std::optional<base::Duration> confirmationAge; ///< Since `revision` was known to be the newest; empty if never.
    bool reader = false;
    std::uint64_t vmListVersion = 0;
    std::size_t storeBytes = 0;
    std::uint64_t buildCount = 0; ///< Configurations parsed; one per new revision.
    std::uint64_t rejectedCount = 0; ///< Revisions that were whole but not valid.
    std::string lastRejection; ///< Why the last one was.
    std::uint64_t peersAsked = 0; ///< For a newer revision.
    std::uint64_t peersDeclined = 0; ///< Of those, how many had no time.
    std::uint64_t peersTimedOut = 0; ///< How many said nothing in time.
    std::uint64_t requestsDeclined = 0; ///< Requests of peers that this node had no time for.
    std::uint64_t transfersRefused = 0; ///< Parts from strangers, too large, or broken.
};

/// The decisions of one node about configuration and VM list. Events in, messages and calls out; no I/O. Not
/// thread-safe. Parsing a large configuration takes a second, in which a node would answer nobody: with
/// `buildInOtherThread` the driver takes each build, runs it in another thread and brings back the result.
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

    // The platform.
    PlatformCall configurationCall() const;
    PlatformCall vmListCall() const;

    /// The platform answered with a listing. Tells which files to fetch, if any.
    FetchPlan platformListing(const config::FileListing &listing);
    /// All files of a plan came. Throws nothing: a revision that is broken or invalid is counted and left.
    void platformFiles(const config::FileListing &listing, const std::vector<config::ConfigurationFile> &fetched);
    /// The platform holds `revision`, as something else that it said shows: worth a read at once if that is news.
    void notePlatformRevision(base::Revision revision);
    /// A watch ended without a new revision.
    void platformUnchanged();
    void platformFailed();

    void platformVmList(config::VmList list);
    /// A list that every node makes for itself from what it reads: taken, and not passed on to others.
    void localVmList(config::VmList list);
    void platformVmListUnchanged();
    void platformVmListFailed();

    // Other nodes.
    /// A message of kinds 30 to 39. Throws Error(MessageMalformed) or Error(MessageFromStranger).
    void receive(const base::VmId &from, wire::MessageKind kind, std::string_view payload);
    /// The revision on the envelope of any authenticated message.
    void notePeerRevision(const base::VmId &from, base::Revision revision);
    /// Tells the fleet that this VM is about to stop.
    void announceLeaving();

    // Time.
    void tick();
    base::TimePoint nextTick() const;

    /// What to run with runBuild(), if anything; only with `buildInOtherThread`, and one at a time.
    std::optional<Build> takeBuild();
    /// The result of a build. A revision that was overtaken in the meantime is left.
    void finishBuild(Build build, const BuildResult &result);

    // Results.
    std::vector<wire::Outgoing> takeMessages();
    /// The newest accepted revision since the last call.
    std::optional<AcceptedConfiguration> takeAccepted();
    /// Whether the VM list changed since the last call; it is in the directory.
    bool takeVmListChanged();

    base::Revision revision() const;
    const config::ConfigStore &store() const;
    bool isReader() const;
    DistributionStatus status() const;

private:
    void enqueueBuild(Build build);
    /// Whether there is no point in asking for `revision`: overtaken, being built, or rejected before.
    bool isRevisionHandled(base::Revision revision) const;
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
    config::ConfigStore m_previous; ///< Base of patches for nodes that are one revision behind.
    std::optional<base::TimePoint> m_confirmedAt; ///< When m_store's revision was known to be the newest.
    base::Revision m_newestPlatformRevision = 0; ///< The newest that the platform is known to hold.
    std::optional<AcceptedConfiguration> m_accepted;
    bool m_vmListChanged = false;
    DistributionStatus m_status; ///< The counters; the rest is filled in by status().
    BuildQueue m_buildQueue;

    PlatformSchedule m_configurationSchedule;
    PlatformSchedule m_vmListSchedule;
    PeerRepair m_configurationRepair;
    PeerRepair m_vmListRepair;
    TransferAssembler m_assembler;
    TransferAnswers m_transferAnswers;
    PushTree m_pushTree;
    NoticeSchedule m_noticeSchedule;
    LeavingAnnouncements m_leavingAnnouncements;
    std::vector<wire::Outgoing> m_messages;
};

}
