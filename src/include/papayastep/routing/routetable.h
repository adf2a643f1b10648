#pragma once

#include "papayastep/config/configuration.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// From the head of a request to its route.
namespace papayastep::routing {

/// Whether requests of `route` with `method` may run more than once: the route's own word, else GET, HEAD, OPTIONS.
bool isIdempotent(const config::Route &route, std::string_view method);

/// The service of one request of `route`: by its weights where the route is split.
base::ServiceId chooseService(const config::Route &route, std::mt19937_64 &random);

struct RouteMatch
{
    const config::Route *route = nullptr; ///< Lives as long as the table.
    bool idempotent = false;

    auto operator<=>(const RouteMatch &) const = default;
};

/// All routes of one configuration, ready for matching. Immutable, so it is shared between threads.
///
/// Routes of the named host come before routes of any host; then the longest path prefix on a segment border wins
/// (`/refunds` matches `/refunds` and `/refunds/7`, not `/refundsx`); then a route that names the method before one
/// for any method; then the smaller route id. A route that does not allow the method is as if it were not there.
///
/// A path that a backend server could read as another one (dot segments, plain or encoded; empty segments;
/// backslashes) matches nothing: else a caller could reach one route's path under another route's rules, and have a
/// refund treated as idempotent.
class RouteTable
{
public:
    explicit RouteTable(config::ConfigurationPtr configuration);

    /// `host` as in the Host header (any case, port allowed), `target` as in the request line (a query is ignored).
    std::optional<RouteMatch> match(std::string_view host, std::string_view method, std::string_view target) const;

    /// Bytes held besides the configuration itself.
    std::size_t memoryBytes() const;

private:
    struct Slot
    {
        std::uint32_t fingerprint = 0;
        std::uint32_t group = 0; ///< Index into m_groups plus one, 0: free.
    };

    const config::Route *find(std::string_view host, std::string_view method, std::string_view path) const;
    const config::Route *routeOfGroup(std::uint64_t hash,
                                      std::string_view host,
                                      std::string_view method,
                                      std::string_view prefix,
                                      bool isBelow) const;
    void insertGroup(std::uint32_t group);

    config::ConfigurationPtr m_configuration;
    std::vector<std::uint32_t> m_order; ///< Route indexes; those with the same host and prefix stand together.
    std::vector<std::uint32_t> m_groups; ///< Where each group begins in m_order; one more at the end.
    std::vector<Slot> m_slots; ///< Open addressing, a power of two.
    std::size_t m_longestPrefix = 0; ///< In segments; bounds the work for a path with thousands of slashes.
    bool m_hasAnyHost = false;
};

}
