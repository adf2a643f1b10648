#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

/// How latencies are spread around the usual one of their route, and how likely a latency is if a server is sick.
namespace papayastep::health {

/// Bins of half an octave of the ratio latency / usual latency. The first and the last are open-ended.
constexpr std::size_t distributionBins = 24;

/// The bin of `ratio`.
std::size_t distributionBin(double ratio);

/// The probability of each bin.
using LatencyDistribution = std::array<double, distributionBins>;

/// A wide log-normal shape, for the time before siblings have told theirs. Wide, so that it errs towards patience.
LatencyDistribution defaultDistribution();

/// Counts of a server's own answers, from which it tells its siblings its shape. Old counts fade.
class LatencyHistogram
{
public:
    void add(double ratio);
    /// Enough answers to say something about the tail.
    bool full() const;
    LatencyDistribution shape() const;

private:
    LatencyDistribution m_counts{};
    double m_total = 0;
};

/// One byte for each bin.
std::string encodeDistribution(const LatencyDistribution &shape);
/// The inverse; false where `bytes` has another length.
bool decodeDistribution(const std::string &bytes, LatencyDistribution &shape);

/// The shape that most of `shapes` agree on: the median of their tails, bin by bin, so that one sick or lying
/// sibling can't stretch what counts as usual.
LatencyDistribution medianDistribution(const std::vector<LatencyDistribution> &shapes);

/// Log likelihood ratios "sick" against "healthy" of a latency, for the two ways of being slow.
/// Both hypotheses come from the siblings' measured shape, so no distribution is assumed.
class LatencyModel
{
public:
    /// The ways of being slow that are tested for.
    enum Slowdown { Slower, MuchSlower };
    static constexpr std::size_t slowdowns = 2;

    explicit LatencyModel(const LatencyDistribution &healthy);

    /// Of an answer whose latency was `ratio` times the usual one.
    double answered(Slowdown slowdown, double ratio) const;
    /// Of an attempt that is `ratio` times the usual latency old and not answered (a censored observation).
    /// Never negative: waiting can only speak for sickness.
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
