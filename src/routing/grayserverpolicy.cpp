#include "papayastep/routing/grayserverpolicy.h"

namespace papayastep::routing {

GrayServerPolicy::GrayServerPolicy(const GrayServerSettings &settings)
    : m_settings(settings)
{
}

double GrayServerPolicy::expectedValue(double grayProbability, bool idempotent) const
{
    const double failure = grayProbability * m_settings.grayFailureRatio;
    return (1 - failure) - failure * (idempotent ? m_settings.repeatCost : m_settings.unknownOutcomeCost);
}

bool GrayServerPolicy::isWorthTrying(double grayProbability, bool idempotent) const
{
    return expectedValue(grayProbability, idempotent) > 0;
}

}
