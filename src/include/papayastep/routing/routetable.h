#pragma once

#include "papayastep/config/configuration.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// Matches the head of a request to its route.
namespace papayastep::routing {

/// Returns whether requests of `route` with `method` may run more than once: by the route's own setting, or else for
/// GET, HEAD and OPTIONS.
bool isIdempotent(const config::Route &route, std::string_view method);

/// Returns the service of one request of `route`, drawn by the weights if the route is split.
base::ServiceId chooseService(const config::Route &route, std::mt19937_64 &random);

/// The route of a request.
struct RouteMatch
{
    const config::Route *route = nullptr; ///< Valid as long as the table.
    bool idempotent = false;

    auto operator<=>(const RouteMatch &) const = default;
};

/// The routes of one configuration, indexed for matching. It is immutable, so threads can share it.
///
/// Routes of the named host take precedence over routes of any host; then the longest path prefix on a segment border
/// (`/refunds` matches `/refunds` and `/refunds/7`, not `/refundsx`); then a route that names the method over one for
/// any method; then the smaller route id. A route that does not allow the method is ignored.
///
/// A path that a backend server could interpret as another one (dot segments, plain or encoded; empty segments;
/// backslashes) matches no route. Otherwise a caller could reach one route's path under another route's rules, and have
/// a refund treated as idempotent.
class RouteTable
{
public:
    explicit RouteTable(config::ConfigurationPtr configuration);

    /// Returns the route of a request. `host` is as in the Host header (any case, port allowed), `target` as in the
    /// request line (a query is ignored).
    std::optional<RouteMatch> match(std::string_view host, std::string_view method, std::string_view target) const;

    /// Returns the bytes held in addition to the configuration itself.
    std::size_t memoryBytes() const;

private:
    struct Slot
    {
        std::uint32_t fingerprint = 0;
        std::uint32_t group = 0; ///< Index into m_groups plus one; 0: free.
    };

    const config::Route *find(std::string_view host, std::string_view method, std::string_view path) const;
    const config::Route *routeOfGroup(std::uint64_t hash,
                                      std::string_view host,
                                      std::string_view method,
                                      std::string_view prefix,
                                      bool isBelow) const;
    void insertGroup(std::uint32_t group);

    config::ConfigurationPtr m_configuration;
    std::vector<std::uint32_t> m_order; ///< Route indexes; those with the same host and prefix are adjacent.
    std::vector<std::uint32_t> m_groups; ///< Start of each group in m_order, with one more element at the end.
    std::vector<Slot> m_slots; ///< Hash table with open addressing; its size is a power of two.
    std::size_t m_longestPrefix = 0; ///< Length in segments; limits the work for a path with thousands of slashes.
    bool m_hasAnyHost = false;
};

}
