#include "latencydistribution.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

constexpr double binsPerOctave = 2;
constexpr std::size_t usualBin = 8; ///< Its lower edge is the usual latency itself.

// Share of answers that may be anything, whatever the measured shape says. It bounds how much one request can say:
// without it a tail that was never seen before would count as proof.
constexpr double contamination = 0.01;
// The evidence of one attempt is bounded once more for each way of being slow. A stall makes several answers late at
// once, and late by far; they may speak for a hang, but "twice as slow" must be seen in many answers, a little in each.
constexpr std::array<double, LatencyModel::slowdowns> largestEvidence{1, 7};
constexpr double smallestEvidence = -5;

constexpr double fadingTotal = 4000;
constexpr double fullTotal = 200;
constexpr double tailScale = 20; ///< Steps of an encoded tail per unit of its logarithm.

LatencyDistribution normalised(LatencyDistribution shape)
{
    double total = 0;
    for (const double part : shape) {
        total += part;
    }
    for (double &part : shape) {
        part /= total;
    }
    return shape;
}

LatencyDistribution contaminated(const LatencyDistribution &shape)
{
    LatencyDistribution outliers{};
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        const double distance = std::abs(static_cast<double>(bin) - static_cast<double>(usualBin));
        outliers[bin] = std::exp2(-distance / binsPerOctave);
    }
    outliers = normalised(outliers);
    LatencyDistribution result{};
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        result[bin] = (1 - contamination) * shape[bin] + contamination * outliers[bin];
    }
    return result;
}

LatencyDistribution shifted(const LatencyDistribution &shape, std::size_t bins)
{
    LatencyDistribution result{};
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        result[std::min(bin + bins, distributionBins - 1)] += shape[bin];
    }
    return result;
}

/// Twice as slow.
LatencyDistribution slower(const LatencyDistribution &healthy)
{
    return shifted(healthy, 2);
}

/// Four to 32 times as slow, or hanging for good.
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

LatencyDistribution tails(const LatencyDistribution &shape)
{
    LatencyDistribution result{};
    double tail = 0;
    for (std::size_t bin = distributionBins; bin-- > 0;) {
        tail += shape[bin];
        result[bin] = std::min(tail, 1.0);
    }
    return result;
}

double evidence(double sick, double healthy, double largest)
{
    if (sick <= 0) {
        return smallestEvidence;
    }
    return std::clamp(std::log(sick / healthy), smallestEvidence, largest);
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
    LatencyDistribution shape{};
    double below = 0;
    for (std::size_t bin = 0; bin < distributionBins; ++bin) {
        const double upperEdge = (static_cast<double>(bin + 1) - static_cast<double>(usualBin)) / binsPerOctave;
        const double deviations = upperEdge * std::log(2.0) / sigma;
        const double cumulative = bin + 1 == distributionBins ? 1 : 0.5 * std::erfc(-deviations / std::sqrt(2.0));
        shape[bin] = cumulative - below;
        below = cumulative;
    }
    return shape;
}

void LatencyHistogram::add(double ratio)
{
    m_counts[distributionBin(ratio)] += 1;
    m_total += 1;
    if (m_total < fadingTotal) {
        return;
    }
    for (double &count : m_counts) {
        count /= 2;
    }
    m_total /= 2;
}

bool LatencyHistogram::full() const
{
    return m_total >= fullTotal;
}

LatencyDistribution LatencyHistogram::shape() const
{
    return normalised(m_counts);
}

std::string encodeDistribution(const LatencyDistribution &shape)
{
    std::string bytes;
    for (const double tail : tails(shape)) {
        const double steps = tail > 0 ? std::round(-std::log(tail) * tailScale) : 255;
        bytes.push_back(static_cast<char>(static_cast<unsigned char>(std::clamp(steps, 0.0, 255.0))));
    }
    return bytes;
}

bool decodeDistribution(const std::string &bytes, LatencyDistribution &shape)
{
    if (bytes.size() != distributionBins) {
        return false;
    }
    double above = 0;
    for (std::size_t bin = distributionBins; bin-- > 0;) {
        const double steps = static_cast<unsigned char>(bytes[bin]);
        const double tail = bin == 0 ? 1 : steps >= 255 ? 0 : std::exp(-steps / tailScale);
        shape[bin] = std::max(tail - above, 0.0);
        above = std::max(tail, above);
    }
    shape = normalised(shape);
    return true;
}

LatencyDistribution medianDistribution(const std::vector<LatencyDistribution> &shapes)
{
    std::vector<LatencyDistribution> allTails;
    allTails.reserve(shapes.size());
    for (const LatencyDistribution &shape : shapes) {
        allTails.push_back(tails(shape));
    }
    LatencyDistribution result{};
    double above = 0;
    std::vector<double> column(shapes.size());
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
    const std::array<LatencyDistribution, slowdowns> sick{slower(healthy), muchSlower(healthy)};
    for (std::size_t slowdown = 0; slowdown < slowdowns; ++slowdown) {
        const LatencyDistribution sickTails = tails(sick[slowdown]);
        for (std::size_t bin = 0; bin < distributionBins; ++bin) {
            m_ratios[slowdown].answered[bin] = evidence(sick[slowdown][bin], healthy[bin], largestEvidence[slowdown]);
            m_ratios[slowdown].waiting[bin]
                = std::max(0.0, evidence(sickTails[bin], healthyTails[bin], largestEvidence[slowdown]));
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
