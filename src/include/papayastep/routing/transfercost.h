#pragma once

#include "papayastep/base/identifiers.h"

#include <cstddef>
#include <map>
#include <optional>

namespace papayastep::routing {

/// What the transfer of requests and answers between availability zones costs. Costs are fractions of the value of a
/// request to its caller.
struct ZoneTransferSettings
{
    double costPerKilobyte = 0.0125;
    /// Upper bound. It is below the cost of an answer after the target latency, so that a request rather leaves its
    /// zone than misses its target.
    double maxCost = 0.5;

    auto operator<=>(const ZoneTransferSettings &) const = default;
};

/// Learns the sizes of the requests and answers of each route, and from them the cost of serving a request in another
/// availability zone.
///
/// It is for demand and servers that are spread unevenly over the zones, where some requests have to leave their zone:
/// those with small answers should, so that the servers of the zone have room for those with large ones.
class TransferCost
{
public:
    /// Without settings all routes have the default cost of the placement policy.
    explicit TransferCost(const std::optional<ZoneTransferSettings> &settings = {});

    /// Records the bodies of a request that was answered, in bytes.
    void record(const base::RouteId &route, std::size_t requestBytes, std::size_t answerBytes);

    /// Returns the cost of leaving the zone, at least the default one of LeastCostSettings; empty if the default one
    /// applies, because the route's messages are small or their sizes are not known.
    std::optional<double> zoneCost(const base::RouteId &route) const;

private:
    std::optional<ZoneTransferSettings> m_settings;
    std::map<base::RouteId, double> m_meanBytes; ///< Of a request and its answer together.
};

}
