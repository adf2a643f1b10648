#pragma once

#include "syntheticfleet.h"

#include <deque>

/// The usual outlier detectors of proxies, as baselines of the measurements. Not shipped. They receive more than they
/// would in a front proxy: every outcome of every entry node, at once.
namespace papayastep::health::synthetic {

/// Common base of the baselines: a fixed ejection time and a limit on the number of ejected servers.
class BaselineDetector : public Detector
{
public:
    BaselineDetector(const ServiceProfile &profile, const base::ManualClock &clock);

    void started(int server, const AttemptKey &key, const std::string &route) override;
    void finished(int server, const AttemptKey &key, AttemptOutcome outcome, base::Duration latency) override;
    void hopSent(int entry, int server, const AttemptKey &key) override;
    void hopAcknowledged(int entry, int server, const AttemptKey &key) override;
    void hopEnded(int entry,
                  int server,
                  const AttemptKey &key,
                  HopOutcome outcome,
                  base::Duration latency,
                  bool reached) override;
    void probeFinished(int server, bool good) override;
    bool admits(int server) override;
    void tick(base::TimePoint now) override;
    double weight(int entry, int server) override;
    int busy(int entry, int server) override;
    std::vector<Ejection> takeEjections() override;

protected:
    virtual void record(int server, bool good, base::Duration latency) = 0;
    virtual void evaluate(base::TimePoint now);
    void eject(int server);
    bool isEjected(int server) const;

    ServiceProfile m_profile;
    const base::ManualClock &m_clock;

private:
    std::vector<base::TimePoint> m_ejectedUntil;
    std::vector<int> m_busy;
    std::vector<Ejection> m_ejections;
};

/// Ejects a server after five consecutive failures.
class ConsecutiveFailures final : public BaselineDetector
{
public:
    ConsecutiveFailures(const ServiceProfile &profile, const base::ManualClock &clock);

protected:
    void record(int server, bool good, base::Duration latency) override;

private:
    std::vector<int> m_failures;
};

/// Every ten seconds, ejects servers whose success rate is more than 1.9 standard deviations below the mean.
class SuccessRateOutlier final : public BaselineDetector
{
public:
    SuccessRateOutlier(const ServiceProfile &profile, const base::ManualClock &clock);

protected:
    void record(int server, bool good, base::Duration latency) override;
    void evaluate(base::TimePoint now) override;

private:
    std::vector<int> m_good;
    std::vector<int> m_all;
    base::TimePoint m_evaluatedAt;
};

/// Ejects a server after five consecutive answers that failed or took longer than half a second.
class FixedLatencyLimit final : public BaselineDetector
{
public:
    FixedLatencyLimit(const ServiceProfile &profile, const base::ManualClock &clock);

protected:
    void record(int server, bool good, base::Duration latency) override;

private:
    std::vector<int> m_slow;
};

/// Creates the detector `variant`: papayastep, consecutive-failures, success-rate-outlier or fixed-latency-limit.
/// Throws std::invalid_argument for any other.
std::unique_ptr<Detector> makeDetector(const std::string &variant,
                                       const ServiceProfile &profile,
                                       const base::ManualClock &clock,
                                       std::uint64_t seed,
                                       Link link);

}
