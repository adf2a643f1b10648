#include "sequentialtest.h"

#include <cmath>

namespace papayastep::health {

namespace {

constexpr double halfHourSeconds = 1800;
constexpr double smallestThreshold = 8;
constexpr double smallestFailureShare = 0.002;
constexpr double largestFailureShare = 0.6;
constexpr double failureMargin = 1.5; ///< How far above its siblings a server may stay for ever.
constexpr double sickShare = 0.25; ///< Of the attempts that would otherwise be good.

}

double ejectionThreshold(const FalseEjectionTarget &target)
{
    const double observations = testsPerServer * target.requestsPerSecond * target.servers * halfHourSeconds;
    return std::max(smallestThreshold, std::log(observations / target.allowedPerHalfHour));
}

FailureModel::FailureModel(double usualShare)
{
    const double healthy = std::clamp(failureMargin * usualShare, smallestFailureShare, largestFailureShare);
    const double sick = healthy + (1 - healthy) * sickShare;
    failed = std::log(sick / healthy);
    good = std::log((1 - sick) / (1 - healthy));
}

}
