#include "papayastep/routing/doubtfulserver.h"

namespace papayastep::routing {

DoubtfulServerPolicy::DoubtfulServerPolicy(const DoubtfulServerSettings &settings)
    : m_settings(settings)
{
}

double DoubtfulServerPolicy::expectedWorth(double grayProbability, bool idempotent) const
{
    const double failure = grayProbability * m_settings.grayFailures;
    return (1 - failure) - failure * (idempotent ? m_settings.repeatCost : m_settings.unknownCost);
}

bool DoubtfulServerPolicy::isWorthTrying(double grayProbability, bool idempotent) const
{
    return expectedWorth(grayProbability, idempotent) > 0;
}

}
