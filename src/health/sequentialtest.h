#pragma once

#include <algorithm>

/// Sequential tests (CUSUM) of "unhealthy" against "healthy" and their threshold.
namespace papayastep::health {

/// Parameters from which ejectionThreshold() computes a threshold.
struct FalseEjectionTarget
{
    double requestsPerSecond = 0; ///< Rate of one backend server.
    int servers = 1; ///< Number of servers of the service.
    double allowedPerHalfHour = 1; ///< Allowed false ejections of the service.
};

/// The number of concurrent tests for each backend server: two for slowness and one for failures.
constexpr int testsPerServer = 3;

/// Returns the score at which a server counts as unhealthy.
///
/// A CUSUM of log likelihood ratios with threshold h raises a false alarm on average no more often than every
/// exp(h) observations (Lorden 1971). With `tests x requests per second x servers x 1800 s` observations in half
/// an hour, of which `allowed` may end in an alarm: h = ln(tests x rate x servers x 1800 / allowed).
double ejectionThreshold(const FalseEjectionTarget &target);

/// Page's cumulative sum: it rises with evidence against the server and falls to its base with evidence of health.
class Cusum
{
public:
    /// `base` is the lower bound of the score, and `cap` the upper bound, which limits how long a recovered server
    /// stays suspect.
    void add(double evidence, double base, double cap)
    {
        m_score = std::clamp(m_score + evidence, base, std::max(base, cap));
    }
    void reset()
    {
        m_score = 0;
    }
    double score() const
    {
        return m_score;
    }

private:
    double m_score = 0;
};

/// Log likelihood ratios of a failed and of a successful attempt, given the usual share of failures.
struct FailureModel
{
    double failed = 0;
    double good = 0;

    explicit FailureModel(double usualShare);
};

}
