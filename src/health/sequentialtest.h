#pragma once

#include <algorithm>

/// Sequential tests (CUSUM) of "sick" against "healthy", and where to set their threshold.
namespace papayastep::health {

/// What a threshold is worked out from.
struct FalseEjectionTarget
{
    double requestsPerSecond = 0; ///< Of one backend server.
    int servers = 1; ///< Of the service.
    double allowedPerHalfHour = 1; ///< False ejections of the service.
};

/// The number of tests that each backend server runs side by side: two ways of being slow, and failures.
constexpr int testsPerServer = 3;

/// The score at which a server counts as sick.
///
/// A CUSUM of log likelihood ratios with threshold h raises a false alarm on average no more often than every
/// exp(h) observations (Lorden 1971). With `tests x requests per second x servers x 1800 s` observations in half
/// an hour, of which `allowed` may end in an alarm: h = ln(tests x rate x servers x 1800 / allowed).
double ejectionThreshold(const FalseEjectionTarget &target);

/// Page's cumulative sum: grows with evidence of sickness, and falls back to its base with evidence of health.
class Cusum
{
public:
    /// `base` is what the score falls back to; `cap` bounds it, so that a recovered server is forgiven in time.
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

/// Log likelihood ratios of a failed and of a good attempt, given the usual share of failures.
struct FailureModel
{
    double failed = 0;
    double good = 0;

    explicit FailureModel(double usualShare);
};

}
