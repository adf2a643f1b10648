#include "papayastep/routing/transfercost.h"

#include "papayastep/routing/leastcostplacement.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

constexpr std::size_t maxRoutes = 256; ///< Largest number of routes whose sizes are kept.
constexpr double messagesInMean = 16; ///< Number of recent messages that a mean follows.
/// Size of a request and its answer for which the default cost of the placement policy is meant.
constexpr double defaultBytes = 4096;
constexpr double kilobyte = 1024;

}

TransferCost::TransferCost(const std::optional<ZoneTransferSettings> &settings)
    : m_settings(settings)
{
}

void TransferCost::record(const base::RouteId &route, std::size_t requestBytes, std::size_t answerBytes)
{
    if (!m_settings) {
        return;
    }
    if (m_meanBytes.size() >= maxRoutes && !m_meanBytes.contains(route)) {
        m_meanBytes.clear(); // The means of routes in use are restored by their next answers.
    }
    const auto bytes = static_cast<double>(requestBytes + answerBytes);
    double &mean = m_meanBytes.try_emplace(route, bytes).first->second;
    mean += (bytes - mean) / messagesInMean;
}

std::optional<double> TransferCost::zoneCost(const base::RouteId &route) const
{
    const auto found = m_meanBytes.find(route);
    if (!m_settings || found == m_meanBytes.end() || found->second <= defaultBytes) {
        return std::nullopt;
    }
    const double cost = std::min(m_settings->maxCost, m_settings->costPerKilobyte * found->second / kilobyte);
    return std::max(cost, LeastCostSettings().zoneCost);
}

}
