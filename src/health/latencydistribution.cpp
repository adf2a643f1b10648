#include "latencydistribution.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

constexpr double binsPerOctave = 2;
constexpr std::size_t usualBin = 8; ///< The bin whose lower edge is the usual latency.

// Share of answers of arbitrary latency, whatever the measured distribution is. It bounds the evidence of one request:
// without it, a single latency beyond all earlier ones would count as proof.
constexpr double contamination = 0.01;
// Second bound on the evidence of one attempt, for each slowdown. A stall makes several answers very late at once. They
// may be evidence of a hang, but a server that is twice as slow must be detected by a little evidence in many answers.
constexpr std::array<double, LatencyModel::slowdowns> largestEvidence{1, 7};
constexpr double smallestEvidence = -5;

constexpr double decayTotal = 4000;
constexpr double enoughTotal = 200;
constexpr double tailScale = 20; ///< Encoded steps for each unit of the natural logarithm of a tail.

LatencyDistribution normalised(LatencyDistribution distribution)
{
    double total = 0;
    for (const double part : distribution) {
        total += part;
    }
    for (double &part : distribution) {
        part /= total;
    }
    return distribution;
}

LatencyDistribution contaminated(const LatencyDistribution &distribution)
{
    LatencyDistribution outliers{};
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        const double distance = std::abs(static_cast<double>(bin) - static_cast<double>(usualBin));
        outliers[bin] = std::exp2(-distance / binsPerOctave);
    }
    outliers = normalised(outliers);
    LatencyDistribution result{};
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        result[bin] = (1 - contamination) * distribution[bin] + contamination * outliers[bin];
    }
    return result;
}

LatencyDistribution shifted(const LatencyDistribution &distribution, std::size_t bins)
{
    LatencyDistribution result{};
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        result[std::min(bin + bins, distributionBins - 1)] += distribution[bin];
    }
    return result;
}

/// The distribution of a server that is twice as slow.
LatencyDistribution slower(const LatencyDistribution &healthy)
{
    return shifted(healthy, 2);
}

/// The distribution of a server that is four to 32 times as slow or hangs.
LatencyDistribution muchSlower(const LatencyDistribution &healthy)
{
    constexpr double hanging = 0.2;
    constexpr std::array<std::size_t, 4> shifts{4, 6, 8, 10};
    LatencyDistribution result{};
    for (const std::size_t shift : shifts) {
        const LatencyDistribution part = shifted(healthy, shift);
        for (std::size_t bin = 0; bin < distributionBins; ++bin) {
            result[bin] += (1 - hanging) * part[bin] / static_cast<double>(shifts.size());
        }
    }
    result.back() += hanging;
    return result;
}

LatencyDistribution tails(const LatencyDistribution &distribution)
{
    LatencyDistribution result{};
    double tail = 0;
    for (std::size_t bin = distributionBins; bin-- > 0;) {
        tail += distribution[bin];
        result[bin] = std::min(tail, 1.0);
    }
    return result;
}

double evidence(double unhealthy, double healthy, double largest)
{
    if (unhealthy <= 0) {
        return smallestEvidence;
    }
    return std::clamp(std::log(unhealthy / healthy), smallestEvidence, largest);
}

}

std::size_t distributionBin(double ratio)
{
    if (ratio <= 0) {
        return 0;
    }
    const double bin = std::floor(std::log2(ratio) * binsPerOctave) + static_cast<double>(usualBin);
    return static_cast<std::size_t>(std::clamp(bin, 0.0, static_cast<double>(distributionBins - 1)));
}

LatencyDistribution defaultDistribution()
{
    constexpr double sigma = 1.0;
    LatencyDistribution distribution{};
    double below = 0;
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        const double upperEdge = (static_cast<double>(bin + 1) - static_cast<double>(usualBin)) / binsPerOctave;
        const double deviations = upperEdge * std::log(2.0) / sigma;
        const double cumulative = bin + 1 == distributionBins ? 1 : 0.5 * std::erfc(-deviations / std::sqrt(2.0));
        distribution[bin] = cumulative - below;
        below = cumulative;
    }
    return distribution;
}

void LatencyHistogram::add(double ratio)
{
    m_counts[distributionBin(ratio)] += 1;
    m_total += 1;
    if (m_total < decayTotal) {
        return;
    }
    for (double &count : m_counts) {
        count /= 2;
    }
    m_total /= 2;
}

bool LatencyHistogram::hasEnoughAnswers() const
{
    return m_total >= enoughTotal;
}

LatencyDistribution LatencyHistogram::distribution() const
{
    return normalised(m_counts);
}

std::string encodeDistribution(const LatencyDistribution &distribution)
{
    std::string bytes;
    for (const double tail : tails(distribution)) {
        const double steps = tail > 0 ? std::round(-std::log(tail) * tailScale) : 255;
        bytes.push_back(static_cast<char>(static_cast<unsigned char>(std::clamp(steps, 0.0, 255.0))));
    }
    return bytes;
}

bool decodeDistribution(const std::string &bytes, LatencyDistribution &distribution)
{
    if (bytes.size() != distributionBins) {
        return false;
    }
    double above = 0;
    for (std::size_t bin = distributionBins; bin-- > 0;) {
        const double steps = static_cast<unsigned char>(bytes[bin]);
        const double tail = bin == 0 ? 1 : steps >= 255 ? 0 : std::exp(-steps / tailScale);
        distribution[bin] = std::max(tail - above, 0.0);
        above = std::max(tail, above);
    }
    distribution = normalised(distribution);
    return true;
}

LatencyDistribution medianDistribution(const std::vector<LatencyDistribution> &distributions)
{
    std::vector<LatencyDistribution> allTails;
    allTails.reserve(distributions.size());
    for (const LatencyDistribution &distribution : distributions) {
        allTails.push_back(tails(distribution));
    }
    LatencyDistribution result{};
    double above = 0;
    std::vector<double> column(distributions.size());
    for (std::size_t bin = distributionBins; bin-- > 0;) {
        std::transform(allTails.begin(), allTails.end(), column.begin(), [&](const LatencyDistribution &tail) {
            return tail[bin];
        });
        const auto middle = column.begin() + static_cast<std::ptrdiff_t>(column.size() / 2);
        std::nth_element(column.begin(), middle, column.end());
        result[bin] = std::max(*middle - above, 0.0);
        above = std::max(*middle, above);
    }
    return normalised(result);
}

LatencyModel::LatencyModel(const LatencyDistribution &healthyShape)
    : m_ratios()
{
    const LatencyDistribution healthy = contaminated(healthyShape);
    const LatencyDistribution healthyTails = tails(healthy);
    const std::array<LatencyDistribution, slowdowns> unhealthy{slower(healthy), muchSlower(healthy)};
    for (std::size_t slowdown = 0; slowdown < slowdowns; ++slowdown) {
        const LatencyDistribution unhealthyTails = tails(unhealthy[slowdown]);
        for (std::size_t bin = 0; bin < distributionBins; ++bin) {
            m_ratios[slowdown].answered[bin]
                = evidence(unhealthy[slowdown][bin], healthy[bin], largestEvidence[slowdown]);
            m_ratios[slowdown].waiting[bin]
                = std::max(0.0, evidence(unhealthyTails[bin], healthyTails[bin], largestEvidence[slowdown]));
        }
    }
}

double LatencyModel::answered(Slowdown slowdown, double ratio) const
{
    return m_ratios[slowdown].answered[distributionBin(ratio)];
}

double LatencyModel::waiting(Slowdown slowdown, double ratio) const
{
    return m_ratios[slowdown].waiting[distributionBin(ratio)];
}

}
