#include "sequentialtest.h"

#include <cmath>

namespace papayastep::health {

namespace {

constexpr double halfHourSeconds = 1800;
constexpr double smallestThreshold = 8;
constexpr double smallestFailureShare = 0.002;
constexpr double largestFailureShare = 0.6;
/// Multiple of the siblings' share of failures that counts as healthy without a time limit.
constexpr double failureMargin = 1.5;
constexpr double unhealthyShare = 0.25; ///< Share of the otherwise successful attempts that an unhealthy server fails.

}

double ejectionThreshold(const FalseEjectionTarget &target)
{
    const double observations = testsPerServer * target.requestsPerSecond * target.servers * halfHourSeconds;
    return std::max(smallestThreshold, std::log(observations / target.allowedPerHalfHour));
}

FailureModel::FailureModel(double usualShare)
{
    const double healthy = std::clamp(failureMargin * usualShare, smallestFailureShare, largestFailureShare);
    const double unhealthy = healthy + (1 - healthy) * unhealthyShare;
    failed = std::log(unhealthy / healthy);
    good = std::log((1 - unhealthy) / (1 - healthy));
}

}
