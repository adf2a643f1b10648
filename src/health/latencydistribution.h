#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

/// Distributions of latencies relative to the usual latency of their route, and likelihood ratios of a latency.
namespace papayastep::health {

/// Number of bins, each half an octave wide, of the ratio latency / usual latency. The first and the last are
/// open-ended.
constexpr std::size_t distributionBins = 24;

/// Returns the bin of `ratio`.
std::size_t distributionBin(double ratio);

/// The probability of each bin.
using LatencyDistribution = std::array<double, distributionBins>;

/// A wide log-normal distribution for the time before siblings have reported theirs. It is wide so that errors delay an
/// ejection rather than cause a false one.
LatencyDistribution defaultDistribution();

/// Histogram of a server's own answers, from which its distribution is reported to the siblings. Old counts decay.
class LatencyHistogram
{
public:
    void add(double ratio);
    /// Whether there are enough answers for an estimate of the tail.
    bool hasEnoughAnswers() const;
    LatencyDistribution distribution() const;

private:
    LatencyDistribution m_counts{};
    double m_total = 0;
};

/// Encodes a distribution with one byte for each bin.
std::string encodeDistribution(const LatencyDistribution &distribution);
/// The inverse of encodeDistribution(). Returns false if `bytes` has another length.
bool decodeDistribution(const std::string &bytes, LatencyDistribution &distribution);

/// The median of the tails of `distributions`, bin by bin, so that one unhealthy sibling, or one with wrong reports,
/// cannot widen the usual distribution.
LatencyDistribution medianDistribution(const std::vector<LatencyDistribution> &distributions);

/// Log likelihood ratios "unhealthy" against "healthy" of a latency, for two kinds of slowdown. Both hypotheses derive
/// from the measured distribution of the siblings, so no parametric distribution is assumed.
class LatencyModel
{
public:
    /// The slowdowns that are tested for.
    enum Slowdown { Slower, MuchSlower };
    static constexpr std::size_t slowdowns = 2;

    explicit LatencyModel(const LatencyDistribution &healthy);

    /// The ratio for an answer whose latency was `ratio` times the usual one.
    double answered(Slowdown slowdown, double ratio) const;
    /// The ratio for an attempt that has waited `ratio` times the usual latency without an answer (a censored
    /// observation). It is never negative: waiting can only be evidence against the server.
    double waiting(Slowdown slowdown, double ratio) const;

private:
    struct Ratios
    {
        std::array<double, distributionBins> answered;
        std::array<double, distributionBins> waiting;
    };

    std::array<Ratios, slowdowns> m_ratios;
};

}
