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

/// The published configuration after validation and merging. There is one immutable object per revision, which all
/// parts of a node share.
namespace papayastep::config {

/// The keys of a workspace. Nearly every workspace has a single key, which is stored inline without an allocation.
using KeyFingerprints = boost::container::small_vector<KeyFingerprint, 1>;

/// A tenant, with the keys that identify it and its rate limit across the fleet.
struct Workspace
{
    base::WorkspaceId id;
    KeyFingerprints keys;
    double rate = 0; ///< Requests per second, summed over all VMs. 0 means no limit.
    double burst = 0; ///< Requests that may arrive at once, summed over all VMs.
    std::optional<int> priority; ///< Overrides the priority of the route. 0 is the most urgent.

    bool isLimited() const
    {
        return rate > 0;
    }

    std::partial_ordering operator<=>(const Workspace &) const = default;
};

/// Whether the detection of unhealthy backend servers of a service favours a short detection time or few ejections of
/// healthy servers.
enum class DetectionPreference { FastDetection, FewEjections };

/// The load that a backend server bears for some time after its start. Without a rate it is not limited.
struct ColdStart
{
    base::Duration duration{0}; ///< Time for which a server is cold after its start.
    double requestsPerSecond = 0; ///< Rate that a cold server bears; 0 means no limit.

    bool isLimited() const
    {
        return duration > base::Duration::zero() && requestsPerSecond > 0;
    }

    std::partial_ordering operator<=>(const ColdStart &) const = default;
};

/// A set of interchangeable backend servers, with the settings of their health detection.
struct Service
{
    base::ServiceId id;
    DetectionPreference prefer = DetectionPreference::FastDetection;
    double floor = 0.5; ///< Share of the service's slots, from 0 to 1, that ejections must leave in use.
    std::string healthPath; ///< Only a hint. Empty if the service has no health path.
    ColdStart coldStart{};

    std::partial_ordering operator<=>(const Service &) const = default;
};

/// A service that receives a share of the requests of a route.
struct RouteTarget
{
    base::ServiceId service;
    double weight = 1; ///< Share of the requests relative to the weights of the other targets of the route.

    auto operator<=>(const RouteTarget &) const = default;
};

/// A rule that assigns requests to a service by host, path prefix and method, and sets how they are handled.
struct Route
{
    base::RouteId id;
    std::string host; ///< Host of the request. Empty matches any host.
    std::string pathPrefix;
    bool onlyBelowPrefix = false; ///< Whether only paths below the prefix match, not the prefix itself.
    std::vector<std::string> methods; ///< Methods of the request. Empty matches any method.
    base::ServiceId service; ///< Service of all requests. With `split`, this is the service of the first target.
    std::vector<RouteTarget> split; ///< Targets that share the requests. If empty, all requests go to `service`.
    std::optional<bool> idempotent; ///< If unset, the method decides: GET, HEAD and OPTIONS are idempotent.
    bool isPublic = false; ///< Whether requests need no key and are not counted for any workspace.
    int priority = 0; ///< 0 is the most urgent. Among waiting requests, the more urgent ones are served first.
    int maxAttempts = 3; ///< Maximum number of backend servers that one request is sent to.
    base::Duration targetLatency{0}; ///< Later answers are worth less to the caller. 0 means that no target is set.
    base::Duration deadline = std::chrono::seconds(10);
    base::Duration retention = std::chrono::hours(1); ///< Time for which the outcome of an Idempotency-Key is kept.
    bool stream = false; ///< Whether answers are forwarded as they arrive instead of being buffered whole first.

    auto operator<=>(const Route &) const = default;
};

/// A backend server that processes the requests of one service on one VM.
struct BackendServer
{
    base::BackendServerId id;
    base::ServiceId service;
    base::VmId vm;
    base::ZoneId zone;
    std::string address; ///< IP address at which the node on `vm` reaches the server.
    std::uint16_t port = 0;
    int slots = 1; ///< Requests that the server processes at once.
    bool drain = false; ///< Whether it receives no new requests, because operators drain it or it is about to stop.
    /// Distinguishes successive starts of a server under the same id. Only a directory provides it. 0 means unknown.
    std::uint64_t incarnation = 0;
    base::TimePoint coldUntil{}; ///< Time until which the server is slow after its start. Only a directory provides it.
    bool evacuated = false; ///< Whether operators evacuate its availability zone. Only a directory provides it.

    /// Whether new requests may be sent to the server.
    bool acceptsRequests() const
    {
        return !drain && !evacuated;
    }

    auto operator<=>(const BackendServer &) const = default;
};

/// Limits for the requests of callers. For an unset field, the settings of each node apply.
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

/// The merged configuration of one revision. Vectors are sorted by id. Workspaces, services, routes and backend servers
/// are found by binary search, and the servers of a service by hash.
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

    /// Returns the same revision with other backend servers. Everything else is shared, so that workspaces and routes
    /// are not copied, because a directory of servers changes far more often than the published configuration.
    ConfigurationPtr withBackendServers(std::vector<BackendServer> servers) const;

    /// The lookups return null if there is no entry with the id.
    const Workspace *workspace(const base::WorkspaceId &id) const;
    const Service *service(const base::ServiceId &id) const;
    const Route *route(const base::RouteId &id) const;
    const BackendServer *backendServer(const base::BackendServerId &id) const;

    /// Returns the workspace that the key with `fingerprint` identifies, or null. No other function maps a key to a
    /// workspace.
    const Workspace *workspaceOfKey(const KeyFingerprint &fingerprint) const;

    /// Returns the backend servers of a service, sorted by id.
    const std::vector<const BackendServer *> &serversOf(const base::ServiceId &service) const;

    /// Returns the VMs that run backend servers of a service, sorted and without duplicates.
    std::vector<base::VmId> vmsOf(const base::ServiceId &service) const;

private:
    struct KeyEntry
    {
        std::uint64_t prefix; ///< KeyFingerprint::prefix(). The workspace has the whole fingerprint.
        std::uint32_t workspace; ///< Index into Published::workspaces.
    };

    /// The published configuration without the backend servers.
    struct Published
    {
        std::vector<Workspace> workspaces;
        std::vector<Service> services;
        std::vector<Route> routes;
        CallerLimits limits;
        std::vector<KeyEntry> keys; ///< Sorted by prefix. A key takes 16 bytes, against about a hundred in a hash map.
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

/// A VM as listed by the platform. The list may be out of date.
struct VmEntry
{
    base::VmId id;
    base::ZoneId zone;
    std::string address; ///< IP address.
    std::uint16_t callerPort = 0; ///< HTTP port for callers.
    std::uint16_t hopPort = 0; ///< HTTP port for requests between nodes.
    std::uint16_t peerPort = 0; ///< Port for messages between nodes.
    std::uint16_t adminPort = 0; ///< HTTP port for operators, with /metrics and /status.
    bool leaving = false; ///< Whether the platform is about to remove the VM.
    /// Whether the VM has no backend server any more. Its node may still serve callers. Only the nodes that have run
    /// since before the server was removed list it, so what nodes assign by the list must not depend on it.
    bool retained = false;

    /// Whether tasks that nodes assign by their lists may be assigned to the VM, such as holding a workspace's tokens.
    bool canHoldTasks() const;

    auto operator<=>(const VmEntry &) const = default;
};

/// The platform's list of VMs, sorted by id.
struct VmList
{
    std::uint64_t version = 0; ///< Increases with each change that the platform publishes.
    std::vector<VmEntry> vms;

    /// Returns the entry of the VM `id`, or null if it is not in the list.
    const VmEntry *find(const base::VmId &id) const;

    auto operator<=>(const VmList &) const = default;
};

/// A configuration file as published on the platform.
struct ConfigurationFile
{
    std::string name;
    std::string text; ///< Content in JSON.

    auto operator<=>(const ConfigurationFile &) const = default;
};

/// Maximum size of a configuration file in bytes. It is the maximum size of a value on the platform.
constexpr std::size_t maxFileBytes = 1'000'000;

/// Merges `files` in the order of their names, validates them, and returns the configuration. Throws the first error, a
/// base::Error with a code 1xxx and the file and JSON pointer. The same input has the same result on every node.
ConfigurationPtr buildConfiguration(base::Revision revision, const std::vector<ConfigurationFile> &files);

/// Returns the fingerprint of a caller's key.
KeyFingerprint fingerprintOf(const std::string &key);

}
