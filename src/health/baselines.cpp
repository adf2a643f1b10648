#include "baselines.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

namespace papayastep::health::synthetic {

namespace {

using namespace std::chrono_literals;

const base::Duration ejectionTime = 30s;
const base::Duration evaluationInterval = 10s;
const base::Duration latencyLimit = 500ms;
constexpr int failuresInARow = 5;
constexpr int smallestVolume = 100;
constexpr double deviations = 1.9;

}

BaselineDetector::BaselineDetector(const ServiceProfile &profile, const base::ManualClock &clock)
    : m_profile(profile)
    , m_clock(clock)
    , m_ejectedUntil(static_cast<std::size_t>(profile.servers))
    , m_busy(m_ejectedUntil.size(), 0)
{
}

void BaselineDetector::started(int server, const AttemptKey &, const std::string &)
{
    ++m_busy[static_cast<std::size_t>(server)];
}

void BaselineDetector::finished(int server, const AttemptKey &, AttemptOutcome outcome, base::Duration latency)
{
    --m_busy[static_cast<std::size_t>(server)];
    record(server, outcome == AttemptOutcome::Success, latency);
}

void BaselineDetector::hopSent(int, int, const AttemptKey &)
{
}

void BaselineDetector::hopAcknowledged(int, int, const AttemptKey &)
{
}

void BaselineDetector::hopEnded(int, int server, const AttemptKey &, HopOutcome outcome, base::Duration latency, bool)
{
    if (outcome == HopOutcome::GivenUp) {
        record(server, false, latency);
    }
}

void BaselineDetector::probeFinished(int, bool)
{
}

bool BaselineDetector::admits(int)
{
    return true;
}

void BaselineDetector::tick(base::TimePoint now)
{
    evaluate(now);
}

void BaselineDetector::evaluate(base::TimePoint)
{
}

double BaselineDetector::weight(int, int server)
{
    return isEjected(server) ? 0 : 1;
}

int BaselineDetector::busy(int, int server)
{
    return m_busy[static_cast<std::size_t>(server)];
}

std::vector<Ejection> BaselineDetector::takeEjections()
{
    return std::exchange(m_ejections, {});
}

bool BaselineDetector::isEjected(int server) const
{
    return m_clock.now() < m_ejectedUntil[static_cast<std::size_t>(server)];
}

void BaselineDetector::eject(int server)
{
    int out = 1;
    for (int other = 0; other < m_profile.servers; ++other) {
        out += isEjected(other) ? 1 : 0;
    }
    if (isEjected(server) || out > (1 - m_profile.floor) * m_profile.servers) {
        return;
    }
    m_ejectedUntil[static_cast<std::size_t>(server)] = m_clock.now() + ejectionTime;
    m_ejections.push_back(Ejection{server, server});
}

ConsecutiveFailures::ConsecutiveFailures(const ServiceProfile &profile, const base::ManualClock &clock)
    : BaselineDetector(profile, clock)
    , m_failures(static_cast<std::size_t>(profile.servers), 0)
{
}

void ConsecutiveFailures::record(int server, bool good, base::Duration)
{
    int &failures = m_failures[static_cast<std::size_t>(server)];
    failures = good ? 0 : failures + 1;
    if (failures >= failuresInARow) {
        failures = 0;
        eject(server);
    }
}

SuccessRateOutlier::SuccessRateOutlier(const ServiceProfile &profile, const base::ManualClock &clock)
    : BaselineDetector(profile, clock)
    , m_good(static_cast<std::size_t>(profile.servers), 0)
    , m_all(m_good.size(), 0)
    , m_evaluatedAt(clock.now())
{
}

void SuccessRateOutlier::record(int server, bool good, base::Duration)
{
    m_good[static_cast<std::size_t>(server)] += good ? 1 : 0;
    ++m_all[static_cast<std::size_t>(server)];
}

void SuccessRateOutlier::evaluate(base::TimePoint now)
{
    if (now - m_evaluatedAt < evaluationInterval) {
        return;
    }
    m_evaluatedAt = now;
    std::vector<std::pair<double, int>> rates;
    for (int server = 0; server < m_profile.servers; ++server) {
        const int all = std::exchange(m_all[static_cast<std::size_t>(server)], 0);
        const int good = std::exchange(m_good[static_cast<std::size_t>(server)], 0);
        if (all >= smallestVolume) {
            rates.emplace_back(static_cast<double>(good) / all, server);
        }
    }
    if (rates.size() < 3) {
        return;
    }
    const auto count = static_cast<double>(rates.size());
    const double mean
        = std::accumulate(rates.begin(), rates.end(), 0.0, [](double sum, const auto &r) { return sum + r.first; })
        / count;
    const double variance
        = std::accumulate(rates.begin(),
                          rates.end(),
                          0.0,
                          [&](double sum, const auto &r) { return sum + (r.first - mean) * (r.first - mean); })
        / count;
    for (const auto &[rate, server] : rates) {
        if (rate < mean - deviations * std::sqrt(variance)) {
            eject(server);
        }
    }
}

FixedLatencyLimit::FixedLatencyLimit(const ServiceProfile &profile, const base::ManualClock &clock)
    : BaselineDetector(profile, clock)
    , m_slow(static_cast<std::size_t>(profile.servers), 0)
{
}

void FixedLatencyLimit::record(int server, bool good, base::Duration latency)
{
    int &slow = m_slow[static_cast<std::size_t>(server)];
    slow = good && latency <= latencyLimit ? 0 : slow + 1;
    if (slow >= failuresInARow) {
        slow = 0;
        eject(server);
    }
}

std::unique_ptr<Detector> makeDetector(const std::string &variant,
                                       const ServiceProfile &profile,
                                       const base::ManualClock &clock,
                                       std::uint64_t seed,
                                       Link link)
{
    if (variant == "papayastep") {
        return std::make_unique<MonitorDetector>(profile, clock, seed, std::move(link));
    }
    if (variant == "consecutive-failures") {
        return std::make_unique<ConsecutiveFailures>(profile, clock);
    }
    if (variant == "success-rate-outlier") {
        return std::make_unique<SuccessRateOutlier>(profile, clock);
    }
    if (variant == "fixed-latency-limit") {
        return std::make_unique<FixedLatencyLimit>(profile, clock);
    }
    throw std::invalid_argument("unknown variant " + variant);
}

}
