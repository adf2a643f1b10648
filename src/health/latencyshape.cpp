#include "latencyshape.h"

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
constexpr std::array<double, LatencyModel::ways> largestEvidence{1, 7};
constexpr double smallestEvidence = -5;

constexpr double fadingTotal = 4000;
constexpr double fullTotal = 200;
constexpr double tailScale = 20; ///< Steps of an encoded tail per unit of its logarithm.

LatencyShape normalised(LatencyShape shape)
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

LatencyShape contaminated(const LatencyShape &shape)
{
    LatencyShape outliers{};
    for (std::size_t bin = 0; bin < shapeBins; ++bin) {
        const double distance = std::abs(static_cast<double>(bin) - static_cast<double>(usualBin));
        outliers[bin] = std::exp2(-distance / binsPerOctave);
    }
    outliers = normalised(outliers);
    LatencyShape result{};
    for (std::size_t bin = 0; bin < shapeBins; ++bin) {
        result[bin] = (1 - contamination) * shape[bin] + contamination * outliers[bin];
    }
    return result;
}

LatencyShape shifted(const LatencyShape &shape, std::size_t bins)
{
    LatencyShape result{};
    for (std::size_t bin = 0; bin < shapeBins; ++bin) {
        result[std::min(bin + bins, shapeBins - 1)] += shape[bin];
    }
    return result;
}

/// Twice as slow.
LatencyShape slower(const LatencyShape &healthy)
{
    return shifted(healthy, 2);
}

/// Four to 32 times as slow, or hanging for good.
LatencyShape muchSlower(const LatencyShape &healthy)
{
    constexpr double hanging = 0.2;
    constexpr std::array<std::size_t, 4> shifts{4, 6, 8, 10};
    LatencyShape result{};
    for (const std::size_t shift : shifts) {
        const LatencyShape part = shifted(healthy, shift);
        for (std::size_t bin = 0; bin < shapeBins; ++bin) {
            result[bin] += (1 - hanging) * part[bin] / static_cast<double>(shifts.size());
        }
    }
    result.back() += hanging;
    return result;
}

LatencyShape tails(const LatencyShape &shape)
{
    LatencyShape result{};
    double tail = 0;
    for (std::size_t bin = shapeBins; bin-- > 0;) {
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

std::size_t shapeBin(double ratio)
{
    if (ratio <= 0) {
        return 0;
    }
    const double bin = std::floor(std::log2(ratio) * binsPerOctave) + static_cast<double>(usualBin);
    return static_cast<std::size_t>(std::clamp(bin, 0.0, static_cast<double>(shapeBins - 1)));
}

LatencyShape defaultShape()
{
    constexpr double sigma = 1.0;
    LatencyShape shape{};
    double below = 0;
    for (std::size_t bin = 0; bin < shapeBins; ++bin) {
        const double upperEdge = (static_cast<double>(bin + 1) - static_cast<double>(usualBin)) / binsPerOctave;
        const double deviations = upperEdge * std::log(2.0) / sigma;
        const double cumulative = bin + 1 == shapeBins ? 1 : 0.5 * std::erfc(-deviations / std::sqrt(2.0));
        shape[bin] = cumulative - below;
        below = cumulative;
    }
    return shape;
}

void ShapeCounter::add(double ratio)
{
    m_counts[shapeBin(ratio)] += 1;
    m_total += 1;
    if (m_total < fadingTotal) {
        return;
    }
    for (double &count : m_counts) {
        count /= 2;
    }
    m_total /= 2;
}

bool ShapeCounter::full() const
{
    return m_total >= fullTotal;
}

LatencyShape ShapeCounter::shape() const
{
    return normalised(m_counts);
}

std::string encodeShape(const LatencyShape &shape)
{
    std::string bytes;
    for (const double tail : tails(shape)) {
        const double steps = tail > 0 ? std::round(-std::log(tail) * tailScale) : 255;
        bytes.push_back(static_cast<char>(static_cast<unsigned char>(std::clamp(steps, 0.0, 255.0))));
    }
    return bytes;
}

bool decodeShape(const std::string &bytes, LatencyShape &shape)
{
    if (bytes.size() != shapeBins) {
        return false;
    }
    double above = 0;
    for (std::size_t bin = shapeBins; bin-- > 0;) {
        const double steps = static_cast<unsigned char>(bytes[bin]);
        const double tail = bin == 0 ? 1 : steps >= 255 ? 0 : std::exp(-steps / tailScale);
        shape[bin] = std::max(tail - above, 0.0);
        above = std::max(tail, above);
    }
    shape = normalised(shape);
    return true;
}

LatencyShape medianShape(const std::vector<LatencyShape> &shapes)
{
    std::vector<LatencyShape> allTails;
    allTails.reserve(shapes.size());
    for (const LatencyShape &shape : shapes) {
        allTails.push_back(tails(shape));
    }
    LatencyShape result{};
    double above = 0;
    std::vector<double> column(shapes.size());
    for (std::size_t bin = shapeBins; bin-- > 0;) {
        std::transform(
            allTails.begin(), allTails.end(), column.begin(), [&](const LatencyShape &tail) { return tail[bin]; });
        const auto middle = column.begin() + static_cast<std::ptrdiff_t>(column.size() / 2);
        std::nth_element(column.begin(), middle, column.end());
        result[bin] = std::max(*middle - above, 0.0);
        above = std::max(*middle, above);
    }
    return normalised(result);
}

LatencyModel::LatencyModel(const LatencyShape &healthyShape)
    : m_ratios()
{
    const LatencyShape healthy = contaminated(healthyShape);
    const LatencyShape healthyTails = tails(healthy);
    const std::array<LatencyShape, ways> sick{slower(healthy), muchSlower(healthy)};
    for (std::size_t way = 0; way < ways; ++way) {
        const LatencyShape sickTails = tails(sick[way]);
        for (std::size_t bin = 0; bin < shapeBins; ++bin) {
            m_ratios[way].answered[bin] = evidence(sick[way][bin], healthy[bin], largestEvidence[way]);
            m_ratios[way].waiting[bin]
                = std::max(0.0, evidence(sickTails[bin], healthyTails[bin], largestEvidence[way]));
        }
    }
}

double LatencyModel::answered(Way way, double ratio) const
{
    return m_ratios[way].answered[shapeBin(ratio)];
}

double LatencyModel::waiting(Way way, double ratio) const
{
    return m_ratios[way].waiting[shapeBin(ratio)];
}

}
