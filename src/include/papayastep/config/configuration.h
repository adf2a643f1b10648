#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/config/keyfingerprint.h"

#include <boost/container/small_vector.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// What operators publish, checked and merged: immutable, one object per revision, shared by all parts of a node.
namespace papayastep::config {

/// Nearly every workspace has one key, which then needs no allocation of its own.
using KeyFingerprints = boost::container::small_vector<KeyFingerprint, 1>;

/// A tenant: the keys that speak for it, and what it may use, fleet-wide.
struct Workspace
{
    base::WorkspaceId id;
    KeyFingerprints keys;
    double rate = 0; ///< Requests per second, over all VMs together; 0: no limit.
    double burst = 0; ///< Requests that may come at once, over all VMs together.
    std::optional<int> priority; ///< Goes before that of the route; 0 is the most urgent.

    bool isLimited() const
    {
        return rate > 0;
    }

    std::partial_ordering operator<=>(const Workspace &) const = default;
};

/// What a service weighs more: hearing of a sick backend server soon, or not ejecting a healthy one.
enum class DetectionPreference { FastDetection, FewEjections };

struct Service
{
    base::ServiceId id;
    DetectionPreference prefer = DetectionPreference::FastDetection;
    double floor = 0.5; ///< Share of the service's slots that ejection must leave in use.
    std::string healthPath; ///< A hint only. Empty: the service has none.

    auto operator<=>(const Service &) const = default;
};

/// A part of a route's requests that goes to one service.
struct RouteTarget
{
    base::ServiceId service;
    double weight = 1; ///< In proportion to the weights of the route's other targets.

    auto operator<=>(const RouteTarget &) const = default;
};

struct Route
{
    base::RouteId id;
    std::string host; ///< Empty: any host.
    std::string pathPrefix;
    bool onlyBelowPrefix = false; ///< Only paths below the prefix match, not the prefix itself.
    std::vector<std::string> methods; ///< Empty: any method.
    base::ServiceId service; ///< Of all requests; with `split`, of its first target.
    std::vector<RouteTarget> split; ///< Empty: all requests go to `service`.
    std::optional<bool> idempotent; ///< Absent: by method (GET, HEAD, OPTIONS are).
    bool isPublic = false; ///< Requests need no key and count for no workspace.
    int priority = 0; ///< 0 is the most urgent. Of those that wait, the more urgent go first.
    int maxAttempts = 3; ///< Backend servers that one request may be given to.
    base::Duration targetLatency{0}; ///< Answers later than this are worth less to the caller; 0: not stated.
    base::Duration deadline = std::chrono::seconds(10);
    base::Duration retention = std::chrono::hours(1); ///< How long the outcome of an Idempotency-Key is kept.
    bool stream = false; ///< Answers are passed on as they come instead of being held whole first.

    auto operator<=>(const Route &) const = default;
};

struct BackendServer
{
    base::BackendServerId id;
    base::ServiceId service;
    base::VmId vm;
    base::ZoneId zone;
    std::string address; ///< IP number, as the node on `vm` reaches it.
    std::uint16_t port = 0;
    int slots = 1; ///< Requests that it works on at once.
    bool drain = false; ///< Gets no new work: operators want it so, or it is about to stop.
    /// Tells one start of the server from the next under the same id. Only a directory knows it; 0: not known.
    std::uint64_t incarnation = 0;
    base::TimePoint coldUntil{}; ///< It is slow after its start until then. Only a directory knows it.

    auto operator<=>(const BackendServer &) const = default;
};

/// What callers may send. A field that is absent is left to the settings of each node.
struct CallerLimits
{
    std::optional<std::uint64_t> headerBytes;
    std::optional<std::uint64_t> bodyBytes;
    std::optional<base::Duration> headerTimeout;
    std::optional<base::Duration> idleTimeout;

    auto operator<=>(const CallerLimits &) const = default;
};

class Configuration;
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// All of one revision. Vectors are sorted by id; lookups are by hash.
class Configuration
{
public:
    struct Parts
    {
        std::vector<Workspace> workspaces;
        std::vector<Service> services;
        std::vector<Route> routes;
        std::vector<BackendServer> backendServers;
        CallerLimits limits;
    };

    Configuration(base::Revision revision, Parts parts);
    Configuration(const Configuration &) = delete;
    Configuration &operator=(const Configuration &) = delete;

    base::Revision revision() const;
    const std::vector<Workspace> &workspaces() const;
    const std::vector<Service> &services() const;
    const std::vector<Route> &routes() const;
    const std::vector<BackendServer> &backendServers() const;
    const CallerLimits &limits() const;

    /// The same revision with other backend servers. Shares all else, so it costs nothing for workspaces and routes:
    /// a directory of servers changes far more often than what operators publish.
    ConfigurationPtr withBackendServers(std::vector<BackendServer> servers) const;

    /// Null where there is none of that name.
    const Workspace *workspace(const base::WorkspaceId &id) const;
    const Service *service(const base::ServiceId &id) const;
    const Route *route(const base::RouteId &id) const;
    const BackendServer *backendServer(const base::BackendServerId &id) const;

    /// The workspace that `fingerprint` speaks for, or null. This is the only way from a key to a workspace.
    const Workspace *workspaceOfKey(const KeyFingerprint &fingerprint) const;

    /// Servers of a service, sorted by id.
    const std::vector<const BackendServer *> &serversOf(const base::ServiceId &service) const;

    /// The VMs that carry servers of a service, sorted and without repeats.
    std::vector<base::VmId> vmsOf(const base::ServiceId &service) const;

private:
    struct KeyEntry
    {
        std::uint64_t prefix; ///< Of the fingerprint; the workspace holds the rest.
        std::uint32_t workspace; ///< Index into the workspaces.
    };

    /// What operators publish besides backend servers.
    struct Published
    {
        std::vector<Workspace> workspaces;
        std::vector<Service> services;
        std::vector<Route> routes;
        CallerLimits limits;
        std::vector<KeyEntry> keys; ///< Sorted by prefix: 16 bytes a key instead of a hash map's hundred.
    };

    Configuration(base::Revision revision,
                  std::shared_ptr<const Published> published,
                  std::vector<BackendServer> servers);
    static std::shared_ptr<const Published> publishedOf(Parts &&parts);
    static std::vector<KeyEntry> keysOf(const std::vector<Workspace> &workspaces);

    base::Revision m_revision;
    std::shared_ptr<const Published> m_published;
    std::vector<BackendServer> m_backendServers;
    std::unordered_map<base::ServiceId, std::vector<const BackendServer *>> m_serversOf;
};

/// One VM as the platform lists it. The list lags.
struct VmEntry
{
    base::VmId id;
    base::ZoneId zone;
    std::string address; ///< IP number.
    std::uint16_t callerPort = 0; ///< HTTP, for callers.
    std::uint16_t hopPort = 0; ///< HTTP, between nodes.
    std::uint16_t peerPort = 0; ///< Messages between nodes.
    std::uint16_t adminPort = 0; ///< HTTP, for operators: /metrics, /status.
    bool leaving = false; ///< The platform is about to take it away.

    auto operator<=>(const VmEntry &) const = default;
};

/// The platform's list of VMs, sorted by id.
struct VmList
{
    std::uint64_t version = 0; ///< Rises with each change that the platform publishes.
    std::vector<VmEntry> vms;

    /// Null where the list does not name `id`.
    const VmEntry *find(const base::VmId &id) const;

    auto operator<=>(const VmList &) const = default;
};

/// One published file as it stands at the platform.
struct ConfigurationFile
{
    std::string name;
    std::string text; ///< JSON.

    auto operator<=>(const ConfigurationFile &) const = default;
};

/// The largest value the platform holds, in bytes; so the largest file.
constexpr std::size_t maxFileBytes = 1'000'000;

/// Merges `files` in the order of their names, checks all, and returns the configuration.
/// Throws Error (1xxx) naming file and JSON pointer. The same input gives the same verdict on every node.
ConfigurationPtr buildConfiguration(base::Revision revision, const std::vector<ConfigurationFile> &files);

/// The fingerprint of a caller's key.
KeyFingerprint fingerprintOf(const std::string &key);

}
